package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/simulation"
	"mastusher/internal/relay/fleet/testcluster"
)

// errFleetViolation ends a command whose fleet broke a rule.
var errFleetViolation = errors.New("a rule was broken, or something did not come about")

func fleetCommand() *cobra.Command {
	fleet := &cobra.Command{Use: "fleet", Short: "fleets of real processes with faults between them, and of thousands in virtual time"}
	var relay, out string
	var random, seed uint64
	var most int
	run := &cobra.Command{Use: "run [SCENARIO.toml]", Short: "play a scenario, or one drawn from a seed, with real processes", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) == 0) == (random == 0) {
				return errors.New("run: want a scenario's file, or --random SEED")
			}
			plan := testcluster.Random(random, most)
			if len(args) == 1 {
				var err error
				if plan, err = testcluster.Load(args[0]); err != nil {
					return err
				}
			}
			if seed != 0 {
				plan.Seed = seed
			}
			return runFleet(cmd, plan, relay, out)
		}}
	run.Flags().StringVar(&relay, "relay", "bin/mastusher", "the relay's program")
	run.Flags().StringVar(&out, "out", "", "folder for history, logs and page (default: one that is removed where all is well)")
	run.Flags().Uint64Var(&random, "random", 0, "draw the scenario from this seed")
	run.Flags().Uint64Var(&seed, "seed", 0, "another seed for the links")
	run.Flags().IntVar(&most, "relays", 9, "relays at most, of a drawn one")

	list := &cobra.Command{Use: "list [DIR]", Short: "list the scenarios of a folder", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := testcluster.List(append(args, filepath.Join("deploy", "fleet"))[0])
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, s := range all {
				fmt.Fprintf(t, "%s\t%d relays\t%d voters\t%s\n", s.Name, s.Relays, s.Voters, s.About)
			}
			return t.Flush()
		}}
	var slack time.Duration
	judge := &cobra.Command{Use: "check HISTORY.json", Short: "judge a history again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var h []checker.Entry
			if err := json.Unmarshal(text, &h); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if b := checker.Judge(h, checker.Options{Slack: slack}); b != nil {
				fmt.Fprintln(cmd.OutOrStdout(), b)
				return errFleetViolation
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d entries, no breach\n", len(h))
			return nil
		}}
	judge.Flags().DurationVar(&slack, "slack", 400*time.Millisecond, "by which a call may be seen after it was begun")

	var count, side int
	var first uint64
	soak := &cobra.Command{Use: "soak", Short: "play scenarios drawn from seeds, several side by side", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return soakFleets(cmd, relay, first, count, side, most) }}
	soak.Flags().StringVar(&relay, "relay", "bin/mastusher", "the relay's program")
	soak.Flags().IntVar(&count, "count", 200, "scenarios")
	soak.Flags().IntVar(&side, "side", 4, "side by side")
	soak.Flags().IntVar(&most, "relays", 9, "relays at most")
	soak.Flags().Uint64Var(&first, "first", 1, "seed of the first")

	var sizes []int
	scale := &cobra.Command{Use: "scale", Short: "what a change takes and an idle fleet costs in virtual time, by the number of relays", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "relays\tform\tchange, median of 9\tmost\tchange, a tenth down\tidle: bytes/s a relay\tat the leader\tsteps/s a relay\tµs a step")
			for _, n := range sizes {
				f := simulation.Scale(n)
				fmt.Fprintf(t, "%d\t%v\t%v\t%v\t%v\t%.0f\t%.0f\t%.1f\t%.1f\n", n, f.Form.Round(time.Millisecond), f.Median.Round(100*time.Microsecond),
					f.Most.Round(100*time.Microsecond), f.TenthDown.Round(time.Millisecond), f.Bytes, f.LeaderBytes, f.Steps, f.StepCost)
				_ = t.Flush()
			}
			return nil
		}}
	scale.Flags().IntSliceVar(&sizes, "sizes", []int{5, 30, 300, 1000}, "numbers of relays")
	var relays, changes int
	var rate float64
	var length time.Duration
	var idle bool
	cost := &cobra.Command{Use: "cost", Short: "what relays take alone, as an idle fleet, and while its policy changes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := filepath.Abs(relay)
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "\tmessages/s\tchanges\ttaken on\trefused\tanswers p50\tp99\tp99.9\t% of a core\tMB\tbytes/s a relay")
			for _, c := range []struct {
				name    string
				bare    bool
				changes int
				rate    float64
			}{{"alone, idle", true, 0, 0.001}, {"fleet, idle", false, 0, 0.001}, {"alone", true, 0, rate}, {"fleet", false, 0, rate}, {"fleet, policy changes", false, changes, rate}} {
				if idle && c.rate == rate {
					continue
				}
				dir, err := os.MkdirTemp("", "fleet")
				if err != nil {
					return err
				}
				plan := testcluster.Scenario{Name: c.name, Relays: relays, Voters: min(3, relays-1+relays%2), Seed: 1, Lease: 2 * time.Second, Rate: c.rate}
				r, err := testcluster.Cost(plan, program, dir, c.bare, c.changes, length)
				if err != nil {
					return err
				}
				ms := func(q float64) float64 { return float64(r.Answers.ValueAtQuantile(q)) / 1000 }
				fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.2f\t%.1f\t%.0f\n", c.name, c.rate*float64(relays), r.Changes,
					r.Answers.TotalCount(), r.Refused, ms(50), ms(99), ms(99.9), 100*r.CPU, r.Memory, r.Bytes)
				if err := errors.Join(t.Flush(), os.RemoveAll(dir)); err != nil {
					return err
				}
			}
			return nil
		}}
	cost.Flags().StringVar(&relay, "relay", "bin/mastusher", "the relay's program")
	cost.Flags().IntVar(&relays, "relays", 5, "relays")
	cost.Flags().IntVar(&changes, "changes", 10, "changes of policy")
	cost.Flags().Float64Var(&rate, "rate", 60, "messages/s at each relay")
	cost.Flags().BoolVar(&idle, "idle", false, "only the idle runs: for fleets larger than the machine could load")
	cost.Flags().DurationVar(&length, "for", 20*time.Second, "of each of the five runs")
	fleet.AddCommand(run, list, judge, soak, scale, cost)
	return fleet
}

// runFleet plays one scenario and keeps what is needed to look into it.
func runFleet(cmd *cobra.Command, plan testcluster.Scenario, relay, out string) error {
	keep := out != ""
	if !keep {
		dir, err := os.MkdirTemp("", "fleet")
		if err != nil {
			return err
		}
		out = dir
	}
	relay, err := filepath.Abs(relay)
	if err != nil {
		return err
	}
	if err = os.MkdirAll(out, 0o700); err != nil {
		return err
	}
	if err = plan.Write(filepath.Join(out, "scenario.toml")); err != nil {
		return err
	}
	r, err := testcluster.Play(plan, relay, out, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), r)
	fmt.Fprintf(cmd.OutOrStdout(), "formed in %v; changes took %v; answers p50 %.1f ms, p99 %.1f ms; faults during a change: %v\n", r.Formed.Round(time.Millisecond),
		r.Took, float64(r.Answers.ValueAtQuantile(50))/1000, float64(r.Answers.ValueAtQuantile(99))/1000, r.Struck)
	if keep || r.Bad() {
		if err := r.Save(out); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), "history, logs and page in", out)
	} else if err := os.RemoveAll(out); err != nil {
		return err
	}
	if r.Bad() {
		return errFleetViolation
	}
	return nil
}

// soakFleets plays scenarios of successive seeds.
func soakFleets(cmd *cobra.Command, relay string, first uint64, count, side, most int) error {
	relay, err := filepath.Abs(relay)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	struck, changes, held, bad, taken := map[string]int{}, 0, 0, []string{}, 0
	seeds := make(chan uint64)
	begun := time.Now()
	for range side {
		all.Go(func() {
			for seed := range seeds {
				dir, err := os.MkdirTemp("", "fleet")
				if err != nil {
					continue
				}
				r, err := testcluster.Play(testcluster.Random(seed, most), relay, dir, nil)
				mu.Lock()
				switch {
				case err != nil:
					bad = append(bad, fmt.Sprintf("seed %d: %v", seed, err))
				case r.Bad():
					bad = append(bad, r.String()+"; see "+dir)
					_ = r.Save(dir)
				default:
					_ = os.RemoveAll(dir)
				}
				if err == nil {
					for k, n := range r.Struck {
						struck[k] += n
					}
					changes, held, taken = changes+r.Changes, held+r.Held, taken+r.Taken
				}
				mu.Unlock()
			}
		})
	}
	for i := range count {
		seeds <- first + uint64(i)
		if n := i + 1; n%20 == 0 {
			fmt.Fprintf(cmd.ErrOrStderr(), "%d of %d begun, %v\n", n, count, time.Since(begun).Round(time.Second))
		}
	}
	close(seeds)
	all.Wait()
	slices.Sort(bad)
	for _, b := range bad {
		fmt.Fprintln(cmd.OutOrStdout(), b)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d scenarios in %v, %d bad; %d of %d changes in force, %d messages taken on; faults during a change: %v\n", count,
		time.Since(begun).Round(time.Second), len(bad), held, changes, taken, struck)
	if len(bad) > 0 {
		return errFleetViolation
	}
	return nil
}
