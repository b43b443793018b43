// Command tier-soak injects random faults, drawn from seeds, into tiers of real processes on loopback, and counts violations of
// their guarantees. The exit status is 1 if there are any.
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
	subcommands.Register(&playCommand{}, "")
	subcommands.Register(&roleCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// playCommand runs the plans of a range of seeds.
type playCommand struct {
	binary string
	folder string
	seeds  int
	first  uint64
	length time.Duration
	large  bool
	keep   bool
}

// Name implements subcommands.Command.
func (*playCommand) Name() string { return "play" }

// Synopsis implements subcommands.Command.
func (*playCommand) Synopsis() string { return "run fault injection for a range of seeds" }

// Usage implements subcommands.Command.
func (*playCommand) Usage() string {
	return "play [flags]\n\tRun the seeds one after the other. The folders of those with violations are kept.\n"
}

// SetFlags implements subcommands.Command.
func (p *playCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.binary, "binary", "target/mastusher-tier", "the tier's binary")
	flags.StringVar(&p.folder, "folder", filepath.Join(os.TempDir(), "mastusher-soak"), "folder for settings, disks and logs")
	flags.IntVar(&p.seeds, "seeds", 10, "number of seeds")
	flags.Uint64Var(&p.first, "first", 1, "the first seed")
	flags.BoolVar(&p.large, "large", false, "run every plan with five controllers and six stores, and not one in four")
	flags.BoolVar(&p.keep, "keep", false, "keep the folders of all seeds")
	flags.DurationVar(&p.length, "length", 20*time.Second, "for how long each injects faults")
}

// Execute implements subcommands.Command.
func (p *playCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0 // seeds with violations
	for number := range p.seeds {
		if ctx.Err() != nil {
			break
		}
		violated, err := p.runSeed(ctx, p.first+uint64(number))
		if err != nil {
			fmt.Fprintln(os.Stderr, "tier-soak:", err)
			return subcommands.ExitFailure
		}
		if violated {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds have violations\n", failed, p.seeds)
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runSeed runs the plan of a seed in a folder of its own, and keeps the folder if there are violations.
func (p *playCommand) runSeed(ctx context.Context, seed uint64) (violated bool, err error) {
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
	plan.Large = plan.Large || p.large
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

// roleCommand runs a role of a tier whose network can be partitioned.
type roleCommand struct{}

// Name implements subcommands.Command.
func (*roleCommand) Name() string { return "role" }

// Synopsis implements subcommands.Command.
func (*roleCommand) Synopsis() string {
	return "run a role on a network that can be partitioned (for play)"
}

// Usage implements subcommands.Command.
func (*roleCommand) Usage() string { return "role NAME\n\tRun a role of the tier. Called by play.\n" }

// SetFlags implements subcommands.Command.
func (*roleCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*roleCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := soak.RunRole(ctx, flags.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, "tier-soak: process ends:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
