// Command mastusher is a relay for messages to partner systems.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/activitypub"
	"mastusher/internal/relay/config"
)

// version is set by the linker for releases.
var version = "devel"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code: 0 for success, 1 for a failed operation, 2 for an invalid command line, 3 for
// a change that is not over yet.
func run(args []string, out, errs io.Writer) int {
	root := commands()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	// With --help, cobra does not check the arguments: it would print the parent's help for a subcommand that does not exist, and the exit
	// code would be 0.
	var unknown error
	help := root.HelpFunc()
	root.SetHelpFunc(func(cmd *cobra.Command, args []string) {
		if unknown = unknownSubcommand(cmd); unknown == nil {
			help(cmd, args)
		}
	})
	err := cmp.Or(root.Execute(), unknown)
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "mastusher:", err)
	if errors.As(err, new(operationError)) {
		return 1
	}
	if errors.As(err, new(changePendingError)) {
		return 3
	}
	fmt.Fprintln(errs, `"mastusher --help" tells more`)
	return 2
}

// unknownSubcommand returns an error if the arguments name a subcommand that cmd does not have, and nil otherwise.
func unknownSubcommand(cmd *cobra.Command) error {
	if !cmd.HasSubCommands() || cmd.Flags().NArg() == 0 {
		return nil
	}
	unknown := &unknownCommandError{name: cmd.Flags().Arg(0), parent: cmd.CommandPath()}
	if near := cmd.SuggestionsFor(unknown.name); len(near) > 0 {
		unknown.nearest = near[0]
	}
	return unknown
}

// options holds the flags that all commands share.
type options struct{ file, level, format string }

// commands returns the root command with all subcommands. Without a subcommand the relay is run.
func commands() *cobra.Command {
	o := &options{}
	const long = "mastusher relays messages to partner systems.\n\nWithout a command it serves.\n\n" +
		"The serving tier is a program of its own: mastusher-tier runs its roles (proxy, agent, controller, store),\n" +
		"each named by a command, and checks its files (check-settings, check-config)."
	root := &cobra.Command{Use: "mastusher", Short: "mastusher relays messages to partner systems",
		Args: func(cmd *cobra.Command, _ []string) error { return unknownSubcommand(cmd) },
		Long: long,
		RunE: o.serve, SilenceUsage: true, SilenceErrors: true, SuggestionsMinimumDistance: 2}
	flags := root.PersistentFlags()
	flags.StringVar(&o.file, "config", "", "configuration file (default: the one that RELAY_CONFIG names)")
	flags.StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	flags.StringVar(&o.format, "log-format", "text", "text or json")
	_ = root.RegisterFlagCompletionFunc("log-level", cobra.FixedCompletions([]string{"debug", "info", "warn", "error"}, cobra.ShellCompDirectiveNoFileComp))
	_ = root.RegisterFlagCompletionFunc("log-format", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "run the relay (the default)", Args: cobra.NoArgs, RunE: o.serve},
		&cobra.Command{Use: "check-config", Short: "read the configuration and name the first faulty key", Args: cobra.NoArgs, RunE: o.checkConfig},
		&cobra.Command{Use: "make-key FILE", Short: "write a new key for the ActivityPub front to FILE and FILE.pub", Args: cobra.ExactArgs(1), RunE: makeKey},
		&cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs, Run: printVersion},
		pluginCommand(o),
		captureCommand(o),
		replayCommand(),
	)
	root.AddCommand(fleetCommands(o)...)
	return root
}

// serve runs the relay.
func (o *options) serve(cmd *cobra.Command, _ []string) error {
	received := receiveSignals()
	log, err := o.logger(cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	load := func() (*config.Config, error) { return config.Load(o.file, os.Getenv) }
	cfg, err := load()
	if err != nil {
		return operationError{err}
	}
	if err := serve(cfg, log, received, load); err != nil {
		log.Error("relay stopped", "err", err)
		return operationError{err}
	}
	return nil
}

func (o *options) checkConfig(cmd *cobra.Command, _ []string) error {
	if _, err := config.Load(o.file, os.Getenv); err != nil {
		return operationError{err}
	}
	cmd.Println("the configuration is good")
	return nil
}

func makeKey(_ *cobra.Command, args []string) error {
	if err := activitypub.MakeKey(args[0]); err != nil {
		return operationError{fmt.Errorf("make-key: %w", err)}
	}
	return nil
}

func printVersion(cmd *cobra.Command, _ []string) {
	name := version
	if info, ok := debug.ReadBuildInfo(); ok && name == "devel" && info.Main.Version != "" {
		name = info.Main.Version
	}
	fmt.Fprintln(cmd.OutOrStdout(), "mastusher", name, runtime.Version())
}

// logger returns the logger that the flags specify.
func (o *options) logger(w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.level)); err != nil {
		return nil, &argumentError{"--log-level", fmt.Sprintf("%q is none of debug, info, warn, error", o.level)}
	}
	handlerOptions := &slog.HandlerOptions{Level: level}
	switch strings.ToLower(o.format) {
	case "text":
		return slog.New(slog.NewTextHandler(w, handlerOptions)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, handlerOptions)), nil
	}
	return nil, &argumentError{"--log-format", fmt.Sprintf("%q is neither text nor json", o.format)}
}
