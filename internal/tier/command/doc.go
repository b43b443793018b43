// Package command implements the subcommands of mastusher-tier: one for each role (proxy, agent, controller, store), and those that
// check a settings file or a configuration and print the version.
//
// A role reads its settings, creates its components from the other packages, joins the membership, and runs until SIGTERM or SIGINT,
// after which it must end within the grace time of the settings. On SIGHUP, or when the settings file changes, it reloads the
// file. The external dependencies of a role are in an Environment, so that tests and the soak test run several roles in one
// process.
package command
