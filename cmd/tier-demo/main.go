// Command tier-demo starts a whole serving tier on loopback, plays programs on it, kills two of its processes and
// reports whether it kept its word. Its status is 1 if it didn't.
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
	if err := play(ctx, *binary, *folder); err != nil {
		fmt.Fprintln(os.Stderr, "tier-demo:", err)
		os.Exit(1)
	}
}

func play(ctx context.Context, binary, folder string) error {
	temporary := folder == ""
	if temporary {
		made, err := os.MkdirTemp("", "mastusher-tier-")
		if err != nil {
			return err
		}
		folder = made
	}
	if err := demo.Run(ctx, demo.Options{Binary: binary, Folder: folder, Report: os.Stdout}); err != nil {
		return fmt.Errorf("%w\nsettings and logs are in %s", err, folder)
	}
	fmt.Println("The tier kept its word: no rule broken.")
	if temporary {
		return os.RemoveAll(folder)
	}
	return nil
}
