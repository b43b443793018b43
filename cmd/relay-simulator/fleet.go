package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

func fleetCommand() *cobra.Command {
	fleet := &cobra.Command{Use: "fleet", Short: "fleets of real processes with faults between them, and of thousands in virtual time"}
	fleet.AddCommand(fleetRunCommand(), fleetListCommand(), fleetCheckCommand(), fleetSoakCommand(), fleetScaleCommand(), fleetCostCommand())
	return fleet
}

func relayFlag(cmd *cobra.Command, relay *string) {
	cmd.Flags().StringVar(relay, "relay", "bin/mastusher", "the relay's program")
}

func fleetRunCommand() *cobra.Command {
	var relay, out string
	var random, seed uint64
	var maxRelays int
	cmd := &cobra.Command{Use: "run [SCENARIO.toml]", Short: "play a scenario, or one drawn from a seed, with real processes", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) == 0) == (random == 0) {
				return &argumentError{"run", "want a scenario's file, or --random SEED"}
			}
			plan := testcluster.Random(random, maxRelays)
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
	relayFlag(cmd, &relay)
	cmd.Flags().StringVar(&out, "out", "", "folder for history, logs and page (default: one that is removed where all is well)")
	cmd.Flags().Uint64Var(&random, "random", 0, "draw the scenario from this seed")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "another seed for the links")
	cmd.Flags().IntVar(&maxRelays, "relays", 9, "relays at most, of a drawn one")
	return cmd
}

func fleetListCommand() *cobra.Command {
	return &cobra.Command{Use: "list [DIR]", Short: "list the scenarios of a folder", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := testcluster.List(append(args, filepath.Join("deploy", "fleet"))[0])
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, s := range all {
				fmt.Fprintf(t, "%s\t%d relays\t%d voters\t%s\n", s.Name, s.Relays, s.Voters, s.Description)
			}
			return t.Flush()
		}}
}

func fleetCheckCommand() *cobra.Command {
	var slack time.Duration
	cmd := &cobra.Command{Use: "check HISTORY.json", Short: "judge a history again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var history []checker.Entry
			if err := json.Unmarshal(text, &history); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if b := checker.Check(history, checker.Options{Slack: slack}); b != nil {
				fmt.Fprintln(cmd.OutOrStdout(), b)
				return errFleetViolation
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d entries, no breach\n", len(history))
			return nil
		}}
	cmd.Flags().DurationVar(&slack, "slack", 400*time.Millisecond, "by which a call may be seen after it was begun")
	return cmd
}

func fleetSoakCommand() *cobra.Command {
	var relay string
	var soak fleetSoak
	cmd := &cobra.Command{Use: "soak", Short: "play scenarios drawn from seeds, several side by side", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return soak.run(cmd, relay) }}
	relayFlag(cmd, &relay)
	cmd.Flags().IntVar(&soak.count, "count", 200, "scenarios")
	cmd.Flags().IntVar(&soak.parallel, "side", 4, "side by side")
	cmd.Flags().IntVar(&soak.maxRelays, "relays", 9, "relays at most")
	cmd.Flags().Uint64Var(&soak.firstSeed, "first", 1, "seed of the first")
	return cmd
}

func fleetScaleCommand() *cobra.Command {
	var sizes []int
	cmd := &cobra.Command{Use: "scale", Short: "what a change takes and an idle fleet costs in virtual time, by the number of relays", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "relays\tform\tchange, median of 9\tmost\tchange, a tenth down\tidle: bytes/s a relay\tat the leader\tsteps/s a relay\tµs a step")
			for _, n := range sizes {
				f := simulation.Scale(n)
				fmt.Fprintf(t, "%d\t%v\t%v\t%v\t%v\t%.0f\t%.0f\t%.1f\t%.1f\n", n, f.Formation.Round(time.Millisecond), f.Median.Round(100*time.Microsecond),
					f.Max.Round(100*time.Microsecond), f.TenthDown.Round(time.Millisecond), f.Bytes, f.LeaderBytes, f.Steps, f.StepCost)
				_ = t.Flush()
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&sizes, "sizes", []int{5, 30, 300, 1000}, "numbers of relays")
	return cmd
}

// fleetCost configures a measurement of the resources that relays use.
type fleetCost struct {
	relays, changes int
	rate            float64 // messages/s to each relay, in the runs that are not idle
	length          time.Duration
	idleOnly        bool
}

func fleetCostCommand() *cobra.Command {
	var relay string
	var cost fleetCost
	cmd := &cobra.Command{Use: "cost", Short: "what relays take alone, as an idle fleet, and while its policy changes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cost.run(cmd.OutOrStdout(), relay) }}
	relayFlag(cmd, &relay)
	cmd.Flags().IntVar(&cost.relays, "relays", 5, "relays")
	cmd.Flags().IntVar(&cost.changes, "changes", 10, "changes of policy")
	cmd.Flags().Float64Var(&cost.rate, "rate", 60, "messages/s at each relay")
	cmd.Flags().BoolVar(&cost.idleOnly, "idle", false, "only the idle runs: for fleets larger than the machine could load")
	cmd.Flags().DurationVar(&cost.length, "for", 20*time.Second, "of each of the five runs")
	return cmd
}

// run measures one run after the other and prints a line for each.
func (c *fleetCost) run(w io.Writer, relay string) error {
	program, err := filepath.Abs(relay)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tmessages/s\tchanges\ttaken on\trefused\tanswers p50\tp99\tp99.9\t% of a core\tMB\tbytes/s a relay")
	for _, row := range []struct {
		name    string
		bare    bool
		changes int
		rate    float64
	}{{"alone, idle", true, 0, 0.001}, {"fleet, idle", false, 0, 0.001}, {"alone", true, 0, c.rate}, {"fleet", false, 0, c.rate}, {"fleet, policy changes", false, c.changes, c.rate}} {
		if c.idleOnly && row.rate == c.rate {
			continue
		}
		dir, err := os.MkdirTemp("", "fleet")
		if err != nil {
			return err
		}
		plan := testcluster.Scenario{Name: row.name, Relays: c.relays, Voters: min(3, c.relays-1+c.relays%2), Seed: 1, Lease: 2 * time.Second, Rate: row.rate}
		r, err := testcluster.MeasureCost(plan, program, dir, row.bare, row.changes, c.length)
		if err != nil {
			return err
		}
		ms := func(q float64) float64 { return float64(r.Answers.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.2f\t%.1f\t%.0f\n", row.name, row.rate*float64(c.relays), r.Changes,
			r.Answers.TotalCount(), r.Refused, ms(50), ms(99), ms(99.9), 100*r.CPU, r.Memory, r.Bytes)
		if err := errors.Join(t.Flush(), os.RemoveAll(dir)); err != nil {
			return err
		}
	}
	return nil
}

// runFleet runs one scenario. History, logs and page are kept if out names a directory or if the scenario fails.
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
	r, err := testcluster.RunScenario(plan, relay, out, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), r)
	fmt.Fprintf(cmd.OutOrStdout(), "formed in %v; changes took %v; answers p50 %.1f ms, p99 %.1f ms; faults during a change: %v\n", r.FormationTime.Round(time.Millisecond),
		r.ChangeTimes, float64(r.Answers.ValueAtQuantile(50))/1000, float64(r.Answers.ValueAtQuantile(99))/1000, r.FaultsDuringChange)
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

// fleetSoak configures a soak test: count scenarios with consecutive seeds, some of them in parallel.
type fleetSoak struct {
	count, parallel, maxRelays int
	firstSeed                  uint64
}

// soakResult sums up the scenarios of a soak test. The mutex guards all fields.
type soakResult struct {
	sync.Mutex
	faults                     map[string]int // faults injected during a change of policy, by kind
	changes, inForce, accepted int
	failures                   []string
}

// add adds the result of a scenario, and removes its directory unless the scenario failed.
func (s *soakResult) add(seed uint64, r *testcluster.Result, err error, dir string) {
	s.Lock()
	defer s.Unlock()
	switch {
	case err != nil:
		s.failures = append(s.failures, fmt.Sprintf("seed %d: %v", seed, err))
		return
	case r.Bad():
		s.failures = append(s.failures, r.String()+"; see "+dir)
		_ = r.Save(dir)
	default:
		_ = os.RemoveAll(dir)
	}
	for k, n := range r.FaultsDuringChange {
		s.faults[k] += n
	}
	s.changes, s.inForce, s.accepted = s.changes+r.Changes, s.inForce+r.InForce, s.accepted+r.Accepted
}

// run runs the scenarios and prints those that failed.
func (c *fleetSoak) run(cmd *cobra.Command, relay string) error {
	relay, err := filepath.Abs(relay)
	if err != nil {
		return err
	}
	var workers sync.WaitGroup
	sum := soakResult{faults: map[string]int{}}
	seeds := make(chan uint64)
	started := time.Now()
	for range c.parallel {
		workers.Go(func() {
			for seed := range seeds {
				dir, err := os.MkdirTemp("", "fleet")
				if err != nil {
					continue
				}
				r, err := testcluster.RunScenario(testcluster.Random(seed, c.maxRelays), relay, dir, nil)
				sum.add(seed, r, err, dir)
			}
		})
	}
	for i := range c.count {
		seeds <- c.firstSeed + uint64(i)
		if n := i + 1; n%20 == 0 {
			fmt.Fprintf(cmd.ErrOrStderr(), "%d of %d begun, %v\n", n, c.count, time.Since(started).Round(time.Second))
		}
	}
	close(seeds)
	workers.Wait()
	slices.Sort(sum.failures)
	for _, b := range sum.failures {
		fmt.Fprintln(cmd.OutOrStdout(), b)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d scenarios in %v, %d bad; %d of %d changes in force, %d messages taken on; faults during a change: %v\n", c.count,
		time.Since(started).Round(time.Second), len(sum.failures), sum.inForce, sum.changes, sum.accepted, sum.faults)
	if len(sum.failures) > 0 {
		return errFleetViolation
	}
	return nil
}
