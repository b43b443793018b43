// Command mastusher-tier runs the roles of the serving tier (proxy, agent, controller and store) and checks settings files and
// configurations.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"mastusher/internal/tier/command"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, role := range command.Roles() {
		subcommands.Register(role, "roles")
	}
	subcommands.Register(&command.CheckSettings{}, "checks")
	subcommands.Register(&command.CheckConfig{}, "checks")
	subcommands.Register(&command.Version{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
