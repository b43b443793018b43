package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"mastusher/internal/tier/model/schema"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/validation"
)

// CheckSettings is the subcommand that checks a settings file and prints each key that is missing or invalid.
type CheckSettings struct {
	Output io.Writer // nil: standard output
}

// Name implements subcommands.Command.
func (*CheckSettings) Name() string { return "check-settings" }

// Synopsis implements subcommands.Command.
func (*CheckSettings) Synopsis() string { return "name each faulty key of a settings file" }

// Usage implements subcommands.Command.
func (*CheckSettings) Usage() string {
	return "check-settings FILE\n\tRead the settings file of a process. The status is 1 if it has faults; each is named by its key.\n"
}

// SetFlags implements subcommands.Command.
func (*CheckSettings) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *CheckSettings) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return checkFile(c.Output, flags, func(raw []byte) error {
		_, err := settings.Parse(raw)
		return err
	})
}

// CheckConfig is the subcommand that checks a configuration, as the operator sends it, and prints the path of each invalid field.
type CheckConfig struct {
	Output io.Writer // nil: standard output
}

// Name implements subcommands.Command.
func (*CheckConfig) Name() string { return "check-config" }

// Synopsis implements subcommands.Command.
func (*CheckConfig) Synopsis() string { return "name each fault of a configuration" }

// Usage implements subcommands.Command.
func (*CheckConfig) Usage() string {
	return "check-config FILE\n\tRead a configuration (JSON) as the operator sends it. The status is 1 if it has faults; each is named by its place.\n"
}

// SetFlags implements subcommands.Command.
func (*CheckConfig) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *CheckConfig) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return checkFile(c.Output, flags, schema.Check)
}

// checkFile checks the file that the arguments name, of which there must be one, and prints each fault on a line of its own.
func checkFile(output io.Writer, flags *flag.FlagSet, check func(raw []byte) error) subcommands.ExitStatus {
	if output == nil {
		output = os.Stdout
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(output, "one file is to be named")
		return subcommands.ExitUsageError
	}
	raw, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(output, err)
		return subcommands.ExitFailure
	}
	faults := listFaults(check(raw))
	if len(faults) == 0 {
		fmt.Fprintf(output, "%s: no faults\n", flags.Arg(0))
		return subcommands.ExitSuccess
	}
	for _, fault := range faults {
		fmt.Fprintf(output, "%s: %v\n", flags.Arg(0), fault)
	}
	return subcommands.ExitFailure
}

// listFaults returns the field errors in an error, or the error itself if it holds none.
func listFaults(err error) []error {
	faults := validation.FieldErrors(err)
	if err != nil && len(faults) == 0 {
		return []error{err}
	}
	listed := make([]error, 0, len(faults))
	for _, fault := range faults {
		listed = append(listed, fault)
	}
	return listed
}
