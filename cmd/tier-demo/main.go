// Command tier-demo starts a complete serving tier on loopback, runs programs against it, kills two of its processes and
// reports whether a guarantee was violated. The exit status is 1 if one was, or if the demo failed to run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"mastusher/internal/tier/demo"
)

func main() {
	binary := flag.String("binary", "target/mastusher-tier", "the tier's binary")
	folder := flag.String("folder", "", "folder for settings, disks and logs (default: a temporary one that is removed after a good end)")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *binary, *folder); err != nil {
		fmt.Fprintln(os.Stderr, "tier-demo:", err)
		os.Exit(1)
	}
}

// run runs the demo in a folder. If none is given, it uses a temporary folder, which it removes after a successful run.
func run(ctx context.Context, binary, folder string) error {
	temporary := folder == ""
	if temporary {
		created, err := os.MkdirTemp("", "mastusher-tier-")
		if err != nil {
			return err
		}
		folder = created
	}
	if err := demo.Run(ctx, demo.Options{Binary: binary, Folder: folder, Report: os.Stdout}); err != nil {
		return fmt.Errorf("%w\nsettings and logs are in %s", err, folder)
	}
	fmt.Println("No violations.")
	if temporary {
		return os.RemoveAll(folder)
	}
	return nil
}
