// Command relay-simulator runs simulated worlds of package simulator in virtual time, load tests on a real relay process, and fleets of
// relays with injected faults. The relay's program links none of it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/experiment"
	"mastusher/internal/relay/simulator/policy"
	"mastusher/internal/relay/simulator/report"
)

func main() {
	if err := command(os.Stdout, os.Stderr).Execute(); err != nil {
		os.Exit(1)
	}
}

// command returns the root command.
func command(out, progress io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "relay-simulator", Short: "try routing, limits and retries in an emulator, in virtual time", SilenceUsage: true}
	root.SetOut(out)
	root.SetErr(progress)
	root.AddCommand(runCommand(), sweepCommand(progress), compareCommand(progress), plotCommand(), shrinkCommand(), soakCommand(progress), listCommand(), demoCommand(progress), loadCommand(progress), fleetCommand())
	return root
}

// loadWorld reads the file of a world. A seed other than 0 replaces the seed in the file.
func loadWorld(file string, seed uint64) (*simulator.World, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	w, err := simulator.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if seed != 0 {
		w.Seed = seed
	}
	return w, nil
}

// runCommand runs a world once.
func runCommand() *cobra.Command {
	var name, page string
	var seed uint64
	cmd := &cobra.Command{Use: "run WORLD", Short: "play a world under one policy", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		w, err := loadWorld(args[0], seed)
		if err != nil {
			return err
		}
		res, err := experiment.RunWorld(w, name)
		if err != nil {
			return err
		}
		printResult(cmd.OutOrStdout(), res)
		if page != "" {
			if err := writePage(page, &experiment.Results{Version: experiment.Version, Name: w.Name, World: encodeWorld(w),
				Cells: []experiment.Cell{{Policy: name, Seed: w.Seed, Result: res}}}); err != nil {
				return err
			}
		}
		if len(res.ViolationCounts) > 0 {
			return errRulesViolated
		}
		return nil
	}}
	cmd.Flags().StringVar(&name, "policy", "module", "one of "+strings.Join(experiment.PolicyNames(), ", "))
	cmd.Flags().Uint64Var(&seed, "seed", 0, "in the place of the world's")
	cmd.Flags().StringVar(&page, "html", "", "write a page with plots there")
	return cmd
}

func encodeWorld(w *simulator.World) string {
	var b strings.Builder
	_ = toml.NewEncoder(&b).Encode(w)
	return b.String()
}

// printResult prints the result of a run, with examples of violated rules.
func printResult(w io.Writer, r *simulator.Result) {
	fmt.Fprintf(w, "%s, seed %d, under %s: worth %.3f; %d messages, %d delivered, %d given up, %d late\n", r.World, r.Seed, r.Policy, r.Value, r.Messages,
		r.Delivered, r.Abandoned, r.Expired)
	fmt.Fprintf(w, "  %d busy replies, %d handed in again; %d calls, %d turned away, %d failed; %d turns; decisions %s\n", r.Refused, r.Resubmitted, r.Calls,
		r.Throttled, r.Failed, r.Turns, r.Hash)
	for _, l := range r.Latencies {
		fmt.Fprintf(w, "  %-10s p50 %8.1f ms  p90 %8.1f  p99 %8.1f  most %8.1f\n", l.Class, l.P50, l.P90, l.P99, l.Max)
	}
	fmt.Fprintf(w, "  took %v, %.1f µs a message\n", r.WallTime.Round(time.Millisecond), float64(r.WallTime.Nanoseconds())/1000/float64(max(r.Messages, 1)))
	fmt.Fprintf(w, "  the fleet: %s\n", fleetText(r))
	rules := make([]string, 0, len(r.ViolationCounts))
	for rule, n := range r.ViolationCounts {
		rules = append(rules, fmt.Sprintf("  broken: %s, %d times", rule, n))
	}
	slices.Sort(rules)
	for _, line := range append(rules, r.ViolationSamples[:min(len(r.ViolationSamples), 5)]...) {
		fmt.Fprintln(w, line)
	}
}

// fleetText formats the statistics about all relays together.
func fleetText(r *simulator.Result) string {
	f := r.Fleet
	s := fmt.Sprintf("in step %.3f, over %.2f, wasted %.3f, regain %.0f s, unequal %.3f", f.PeakSenderShare, f.PeakOverload, f.ThrottledPerMessage, f.RecoverySeconds, f.Unfairness)
	if n := r.ViolationCounts["cold returns"]; n > 0 {
		s += fmt.Sprintf(", %d pushed over", n)
	}
	if f.SharingBytesPerSecond > 0 {
		s += fmt.Sprintf(", %.0f bytes/s a relay to share", f.SharingBytesPerSecond)
	}
	return s
}

// sweepCommand runs an experiment.
func sweepCommand(progress io.Writer) *cobra.Command {
	var file, page string
	cores := runtime.GOMAXPROCS(0)
	cmd := &cobra.Command{Use: "sweep EXPERIMENT", Short: "play an experiment on all cores", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		x, err := experiment.Parse(string(text))
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		return runExperiment(cmd.OutOrStdout(), progress, x, cores, file, page)
	}}
	cmd.Flags().StringVarP(&file, "out", "o", "", "write the results there, for plot")
	cmd.Flags().StringVar(&page, "html", "", "write a page with plots there")
	cmd.Flags().IntVar(&cores, "cores", cores, "runs at once")
	return cmd
}

// runExperiment runs an experiment, prints its runs, and writes results and page if their files are named. It returns errRulesViolated if a
// rule was violated.
func runExperiment(out, progress io.Writer, x *experiment.Experiment, cores int, file, page string) error {
	from := time.Now()
	res, err := x.Run(cores, func(done, of int) {
		left := time.Duration(float64(time.Since(from)) / float64(done) * float64(of-done))
		fmt.Fprintf(progress, "\r%d of %d runs, about %v left   ", done, of, left.Round(time.Second))
	})
	fmt.Fprintln(progress)
	if err != nil {
		return err
	}
	broken := printCells(out, res)
	if file != "" {
		err = res.Save(file)
	}
	if page != "" {
		err = errors.Join(err, writePage(page, res))
	}
	if err == nil && broken {
		err = errRulesViolated
	}
	return err
}

// printCells prints a line for each run, and reports whether any run violated a rule.
func printCells(out io.Writer, res *experiment.Results) (broken bool) {
	fmt.Fprintf(out, "%12s %-12s %6s %7s %9s %9s %9s %9s %10s %s\n", res.SweepKey, "policy", "seed", "worth", "messages", "refused", "calls", "µs/msg", "turns", "decisions")
	for _, c := range res.Cells {
		r := c.Result
		fmt.Fprintf(out, "%12g %-12s %6d %7.3f %9d %9d %9d %9.1f %10d %s", c.SweepValue, c.Policy, c.Seed, r.Value, r.Messages, r.Refused, r.Calls,
			float64(r.WallTime.Nanoseconds())/1000/float64(max(r.Messages, 1)), r.Turns, r.Hash)
		if r.HeapBytes > 0 {
			fmt.Fprintf(out, " %8.1f MB", float64(r.HeapBytes)/1e6)
		}
		if res.SweepKey == "relays" {
			fmt.Fprintf(out, " %s", fleetText(r))
		}
		for rule, n := range r.ViolationCounts {
			fmt.Fprintf(out, " BROKEN %s ×%d", rule, n)
			broken = true
		}
		fmt.Fprintln(out)
	}
	return broken
}

// compareCommand runs a world under several policies.
func compareCommand(progress io.Writer) *cobra.Command {
	var policies []string
	var seeds int
	var page string
	cmd := &cobra.Command{Use: "compare WORLD", Short: "play a world under several policies", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		w, err := loadWorld(args[0], 0)
		if err != nil {
			return err
		}
		x := &experiment.Experiment{Name: w.Name, Policies: policies, World: *w}
		for s := range max(seeds, 1) {
			x.Seeds = append(x.Seeds, w.Seed+uint64(s))
		}
		for _, p := range policies {
			if policy.ByName[p] == nil {
				return &argumentError{"--policies", fmt.Sprintf("%q is none of %s", p, strings.Join(experiment.PolicyNames(), ", "))}
			}
		}
		return runExperiment(cmd.OutOrStdout(), progress, x, runtime.GOMAXPROCS(0), "", page)
	}}
	cmd.Flags().StringSliceVar(&policies, "policies", experiment.PolicyNames(), "their names")
	cmd.Flags().IntVar(&seeds, "seeds", 3, "how many, from the world's on")
	cmd.Flags().StringVar(&page, "html", "", "write a page with plots there")
	return cmd
}

// plotCommand plots results that sweep has written.
func plotCommand() *cobra.Command {
	return &cobra.Command{Use: "plot RESULTS PAGE", Short: "draw the results of a sweep as a page", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		res, err := experiment.Load(args[0])
		if err != nil {
			return err
		}
		return writePage(args[1], res)
	}}
}

func writePage(file string, res *experiment.Results) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(report.Write(f, res), f.Close())
}

// violatesRule reports whether a policy violates a rule in a world; an empty rule stands for any.
func violatesRule(w *simulator.World, name, rule string) bool {
	res, err := experiment.RunWorld(w, name)
	return err == nil && (rule == "" && len(res.ViolationCounts) > 0 || res.ViolationCounts[rule] > 0)
}

// shrinkCommand searches for the smallest world in which a policy still violates a rule.
func shrinkCommand() *cobra.Command {
	var name, rule string
	var runs int
	cmd := &cobra.Command{Use: "shrink WORLD", Short: "find the smallest world in which a policy still breaks a rule", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		w, err := loadWorld(args[0], 0)
		if err != nil {
			return err
		}
		fails := func(w *simulator.World) bool { return violatesRule(w, name, rule) }
		if !fails(w) {
			return errNoViolation
		}
		small := simulator.Shrink(w, runs, fails)
		fmt.Fprint(cmd.OutOrStdout(), encodeWorld(small))
		res, err := experiment.RunWorld(small, name)
		if err == nil {
			printResult(cmd.ErrOrStderr(), res)
		}
		return err
	}}
	cmd.Flags().StringVar(&name, "policy", "module", "its name")
	cmd.Flags().StringVar(&rule, "rule", "", "only this one")
	cmd.Flags().IntVar(&runs, "runs", 400, "that may be played")
	return cmd
}

// worldSoak runs worlds with consecutive seeds for a time, and shrinks the first in which the policy violates the rule (empty: any rule).
type worldSoak struct {
	policy, rule string
	length       time.Duration
	firstSeed    uint64
}

// soakCommand searches random worlds for violated rules.
func soakCommand(progress io.Writer) *cobra.Command {
	var soak worldSoak
	cmd := &cobra.Command{Use: "soak", Short: "play worlds that seeds draw, and look for broken rules", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return soak.run(cmd.OutOrStdout(), progress) }}
	cmd.Flags().StringVar(&soak.policy, "policy", "module", "its name")
	cmd.Flags().StringVar(&soak.rule, "rule", "", "only this one")
	cmd.Flags().DurationVar(&soak.length, "for", time.Minute, "how long")
	cmd.Flags().Uint64Var(&soak.firstSeed, "seed", 1, "the first")
	return cmd
}

// run runs the worlds. It returns errRulesViolated at the first violation.
func (s *worldSoak) run(out, progress io.Writer) error {
	until, shown := time.Now().Add(s.length), time.Now()
	worlds := 0
	for seed := s.firstSeed; time.Now().Before(until); seed++ {
		world := simulator.Random(seed)
		if worlds++; violatesRule(world, s.policy, s.rule) {
			return s.printSmallest(out, world, seed)
		}
		if time.Since(shown) > time.Second {
			shown = time.Now()
			fmt.Fprintf(progress, "\r%d worlds, %v left   ", worlds, time.Until(until).Round(time.Second))
		}
	}
	fmt.Fprintf(progress, "\n")
	fmt.Fprintf(out, "%d worlds from seed %d on, under %s: no rule was broken\n", worlds, s.firstSeed, s.policy)
	return nil
}

// printSmallest shrinks a world in which a rule is violated, and prints the result of the smaller one.
func (s *worldSoak) printSmallest(out io.Writer, world *simulator.World, seed uint64) error {
	small := simulator.Shrink(world, 300, func(w *simulator.World) bool { return violatesRule(w, s.policy, s.rule) })
	fmt.Fprintf(out, "# seed %d breaks a rule; the smallest world that still does:\n%s", seed, encodeWorld(small))
	res, err := experiment.RunWorld(small, s.policy)
	if err == nil {
		printResult(out, res)
	}
	return errors.Join(errRulesViolated, err)
}

// listCommand lists the names that worlds and experiments may use.
func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "tell the policies, rules, troubles and keys to sweep that there are", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		w := cmd.OutOrStdout()
		fmt.Fprintln(w, "policies:", strings.Join(experiment.PolicyNames(), ", "))
		fmt.Fprintln(w, "troubles:", strings.Join(simulator.FaultKinds(), ", "))
		var rules []string
		for _, r := range simulator.Rules {
			rules = append(rules, string(r))
		}
		fmt.Fprintln(w, "rules:", strings.Join(rules, ", "))
		fmt.Fprintln(w, "keys to sweep:", strings.Join(experiment.SweepKeys(), ", "))
	}}
}
