// Package command holds the subcommands of mastusher-tier: one for each role (proxy, agent, controller, store), and those that
// check a settings file or a configuration and print the version.
//
// A role reads its settings, builds its parts from the other packages, joins the membership, and runs until SIGTERM or SIGINT,
// after which it must end within the grace time of the settings. SIGHUP, or a change of the settings file, has it read the
// file again. What a role depends on outside of itself is an Environment, so that tests and the soak run several roles in one
// process.
package command
