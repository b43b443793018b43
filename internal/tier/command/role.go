package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// storeRole is the name of the role that keeps programs' state.
const storeRole = "store"

// Role is the subcommand that runs one role of the tier until the process is told to end.
type Role struct {
	name     string
	synopsis string
	place    string // where it runs, for the usage text
	run      func(p *process, ctx context.Context) error
}

// Roles returns the subcommands of all roles.
func Roles() []*Role {
	return []*Role{
		{
			name:     "proxy",
			synopsis: "carry clients' requests to endpoints on an edge machine",
			place:    "on an edge machine, beside an agent",
			run:      (*process).runProxy,
		},
		{
			name:     "agent",
			synopsis: "hold the control link of an edge machine and feed its proxy",
			place:    "beside a proxy",
			run:      (*process).runAgent,
		},
		{
			name:     "controller",
			synopsis: "take the operator's orders and keep the configuration on a core machine",
			place:    "on a core machine",
			run:      (*process).runController,
		},
		{
			name:     storeRole,
			synopsis: "hold shards of programs' state on a storage machine",
			place:    "on a storage machine",
			run:      (*process).runStore,
		},
	}
}

// Name implements subcommands.Command.
func (r *Role) Name() string { return r.name }

// Synopsis implements subcommands.Command.
func (r *Role) Synopsis() string { return r.synopsis }

// Usage implements subcommands.Command.
func (r *Role) Usage() string {
	return r.name + "\n\tRun " + r.place + ". " + settingsVariable + " holds the path of the settings file.\n"
}

// SetFlags implements subcommands.Command.
func (*Role) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (r *Role) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p, err := newProcess(r.name)
	if err != nil {
		return logFailure(fallbackLogger(r.name), err)
	}
	stopping, stop := notifyTermination(ctx)
	defer stop()
	if err := p.logShutdown(stopping, func() error { return r.run(p, stopping) }); err != nil {
		return logFailure(p.logger, err)
	}
	return subcommands.ExitSuccess
}
