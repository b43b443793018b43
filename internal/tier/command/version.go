package command

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"
)

// Version is the subcommand that prints the version of this build.
type Version struct {
	Output io.Writer // nil: standard output
}

// Name implements subcommands.Command.
func (*Version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Version) Synopsis() string { return "tell which build this is" }

// Usage implements subcommands.Command.
func (*Version) Usage() string {
	return "version\n\tTell the build's version, its revision and the version of Go.\n"
}

// SetFlags implements subcommands.Command.
func (*Version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (v *Version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	output := v.Output
	if output == nil {
		output = os.Stdout
	}
	built, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(output, "mastusher-tier: built without information about its version")
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(output, "mastusher-tier %s, revision %s, %s\n", cmp.Or(built.Main.Version, "devel"), revision(built), built.GoVersion)
	return subcommands.ExitSuccess
}

// revision returns the VCS revision of the sources, or "unknown".
func revision(built *debug.BuildInfo) string {
	for _, setting := range built.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
