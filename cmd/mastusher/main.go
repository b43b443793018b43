// Command mastusher is a relay for messages to partner systems.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/pflag"

	"mastusher/internal/activitypub"
	"mastusher/internal/config"
)

const usage = `mastusher relays messages to partner systems.

Usage:
  mastusher [serve] [flags]     run the relay (the default)
  mastusher check-config        read the configuration, say what is wrong with it, and exit
  mastusher make-key FILE       write a new key for the ActivityPub front to FILE and FILE.pub
  mastusher version             print the version

Flags:
`

// version is set by the linker for releases.
var version = "devel"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := pflag.NewFlagSet("mastusher", pflag.ContinueOnError)
	file := flags.String("config", "", "configuration file (default: the one that RELAY_CONFIG names)")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return 0
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "mastusher:", err)
		return 2
	}
	command := "serve"
	if flags.NArg() > 0 {
		command = flags.Arg(0)
	}
	if command == "make-key" && flags.NArg() == 2 {
		if err := activitypub.MakeKey(flags.Arg(1)); err != nil {
			fmt.Fprintln(os.Stderr, "mastusher: make-key:", err)
			return 1
		}
		return 0
	}
	if flags.NArg() > 1 {
		fmt.Fprintf(os.Stderr, "mastusher: %s does not take these arguments\n", command)
		return 2
	}
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(*level)); err != nil {
		fmt.Fprintln(os.Stderr, "mastusher: --log-level:", err)
		return 2
	}
	switch command {
	case "version":
		v := version
		if info, ok := debug.ReadBuildInfo(); ok && v == "devel" && info.Main.Version != "" {
			v = info.Main.Version
		}
		fmt.Println("mastusher", v, runtime.Version())
		return 0
	case "serve", "check-config":
	default:
		fmt.Fprintf(os.Stderr, "mastusher: no command %q\n", command)
		flags.Usage()
		return 2
	}
	cfg, err := config.Load(*file, os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mastusher:", err)
		return 1
	}
	if command == "check-config" {
		fmt.Println("the configuration is good")
		return 0
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: lv}))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	again := func() (*config.Config, error) { return config.Load(*file, os.Getenv) }
	if err := serve(cfg, log, signals, again); err != nil {
		log.Error("the relay stops", "error", err)
		return 1
	}
	return 0
}
