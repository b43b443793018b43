// Command tier-soak plays random troubles on tiers of real processes on loopback, and counts what broke a rule. Its status is 1 if
// something did.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"mastusher/internal/tier/soak"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&play{}, "")
	subcommands.Register(&role{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// play is the command that plays seeds.
type play struct {
	binary string
	folder string
	seeds  int
	first  uint64
	length time.Duration
	keep   bool
}

// Name implements subcommands.Command.
func (*play) Name() string { return "play" }

// Synopsis implements subcommands.Command.
func (*play) Synopsis() string { return "play seeds of troubles" }

// Usage implements subcommands.Command.
func (*play) Usage() string {
	return "play [flags]\n\tPlay seeds one after the other. The folders of those that broke a rule are kept.\n"
}

// SetFlags implements subcommands.Command.
func (p *play) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.binary, "binary", "target/mastusher-tier", "the tier's binary")
	flags.StringVar(&p.folder, "folder", filepath.Join(os.TempDir(), "mastusher-soak"), "folder for settings, disks and logs")
	flags.IntVar(&p.seeds, "seeds", 10, "how many seeds are played")
	flags.Uint64Var(&p.first, "first", 1, "the first seed")
	flags.BoolVar(&p.keep, "keep", false, "keep the folders of all seeds")
	flags.DurationVar(&p.length, "length", 20*time.Second, "how long troubles come in each")
}

// Execute implements subcommands.Command.
func (p *play) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	for number := range p.seeds {
		if ctx.Err() != nil {
			break
		}
		broken, err := p.playOne(ctx, p.first+uint64(number))
		if err != nil {
			fmt.Fprintln(os.Stderr, "tier-soak:", err)
			return subcommands.ExitFailure
		}
		if broken {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds broke a rule\n", failed, p.seeds)
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// playOne plays a seed in a folder of its own, and keeps that if a rule was broken.
func (p *play) playOne(ctx context.Context, seed uint64) (broken bool, err error) {
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	folder := filepath.Join(p.folder, fmt.Sprintf("seed-%d", seed))
	if err = os.RemoveAll(folder); err != nil {
		return false, err
	}
	if err = os.MkdirAll(folder, 0o755); err != nil {
		return false, err
	}
	report, err := os.Create(filepath.Join(folder, "report.log"))
	if err != nil {
		return false, err
	}
	defer report.Close()
	plan := soak.RandomPlan(seed, p.length)
	began := time.Now()
	result, err := soak.Run(ctx, soak.Options{Plan: plan, Binary: p.binary, PartitionCommand: []string{self, "role"}, Folder: folder, Report: report})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed=%d large=%t cuts=%t closing=%s tookS=%.1f %s\n", seed, plan.Large, plan.Partitions, plan.Closing.Kind, time.Since(began).Seconds(), result.Text())
	if len(result.Violations) == 0 {
		if p.keep {
			return false, nil
		}
		return false, os.RemoveAll(folder)
	}
	fmt.Printf("  plan %s\n  report and logs: %s\n", plan.Text(), folder)
	for _, violation := range result.Violations {
		fmt.Printf("  %v\n", violation)
	}
	return true, nil
}

// role is the command that runs a role of a tier whose network can be cut.
type role struct{}

// Name implements subcommands.Command.
func (*role) Name() string { return "role" }

// Synopsis implements subcommands.Command.
func (*role) Synopsis() string { return "run a role in a network that can be cut (for play)" }

// Usage implements subcommands.Command.
func (*role) Usage() string { return "role NAME\n\tRun a role of the tier, as play tells it to.\n" }

// SetFlags implements subcommands.Command.
func (*role) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*role) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := soak.RunRole(ctx, flags.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, "tier-soak: process ends:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
