package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/simulator/loadtest"
	"mastusher/internal/relay/simulator/report"
)

// demoScript returns the steps of the demo, sped up by the factor quick.
func demoScript(quick float64) []loadtest.Step {
	after := func(seconds float64) time.Duration { return time.Duration(seconds / quick * float64(time.Second)) }
	set := func(partner int, change func(*loadtest.Behavior)) func(*loadtest.LoadTest) {
		return func(test *loadtest.LoadTest) {
			behavior := test.Behavior(partner)
			change(&behavior)
			test.SetBehavior(partner, behavior)
		}
	}
	kill := func(test *loadtest.LoadTest) {
		test.Kill()
		if err := test.Start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return []loadtest.Step{
		{At: after(6), Text: "partner 1 hangs", Do: set(1, func(b *loadtest.Behavior) { b.Hangs = true })},
		{At: after(12), Text: "partner 1 answers again", Do: set(1, func(b *loadtest.Behavior) { b.Hangs = false })},
		{At: after(16), Text: "partner 2 refuses all, with a wait of 0.8 s", Do: set(2, func(b *loadtest.Behavior) { b.RetryAfter = 800 * time.Millisecond })},
		{At: after(21), Text: "partner 2 takes calls again", Do: set(2, func(b *loadtest.Behavior) { b.RetryAfter = 0 })},
		{At: after(26), Text: "the endpoint of partner 3 drains, another takes its place", Do: func(test *loadtest.LoadTest) {
			test.PublishStatus(demoPartners, 3, "ready")
			test.PublishStatus(3, 3, "draining")
		}},
		{At: after(28), Text: "the old endpoint of partner 3 is gone", Do: func(test *loadtest.LoadTest) { test.PublishStatus(3, 3, "gone") }},
		{At: after(36), Text: "the relay is killed (SIGKILL) and started again", Do: kill},
		{At: after(43), Text: "partner 4 hangs", Do: set(4, func(b *loadtest.Behavior) { b.Hangs = true })},
		{At: after(45), Text: "the relay is killed while calls hang, and started again", Do: kill},
		{At: after(49), Text: "partner 4 answers again", Do: set(4, func(b *loadtest.Behavior) { b.Hangs = false })},
	}
}

const demoPartners = 6

func demoCommand(progress io.Writer) *cobra.Command {
	var relay, page string
	var quick float64
	cmd := &cobra.Command{Use: "demo", Short: "play a minute on a relay, with an outage, a drain and two kills, and tell what became of each message", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if quick < 1 || quick > 20 {
				return &argumentError{"--quick", "want 1 to 20"}
			}
			plan := loadtest.Plan{Partners: demoPartners, Rate: 25, Length: time.Duration(55 / quick * float64(time.Second)), MaxMessages: 5000, Seed: 1, Class: "match-event",
				Timeout: 16 * time.Second, Behavior: loadtest.Behavior{ServiceTime: 60 * time.Millisecond}, Steps: demoScript(quick)}
			return runLoadTest(cmd.OutOrStdout(), progress, plan, relay, page, "A minute of a relay")
		}}
	cmd.Flags().StringVar(&relay, "relay", "bin/mastusher", "the relay's program")
	cmd.Flags().StringVar(&page, "html", "demo.html", "write the page there")
	cmd.Flags().Float64Var(&quick, "quick", 1, "play it so many times as fast")
	return cmd
}

func loadCommand(progress io.Writer) *cobra.Command {
	var relay, page string
	plan := loadtest.Plan{Seed: 1, Class: "match-event", Timeout: 16 * time.Second}
	cmd := &cobra.Command{Use: "load", Short: "drive a relay over the platform's protocol, with stand-ins around it, open loop", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case plan.Rate <= 0 || plan.Rate > 5000:
				return &argumentError{"--rate", "want above 0, up to 5,000"}
			case plan.Length <= 0 || plan.Length > time.Hour:
				return &argumentError{"--for", "want a time above 0, up to an hour"}
			case plan.Partners < 1 || plan.Partners > 200:
				return &argumentError{"--partners", "want 1 to 200"}
			case plan.MaxMessages < 1 || plan.MaxMessages > 1_000_000:
				return &argumentError{"--most", "want 1 to 1,000,000"}
			}
			return runLoadTest(cmd.OutOrStdout(), progress, plan, relay, page, "A load on a relay")
		}}
	flags := cmd.Flags()
	flags.StringVar(&relay, "relay", "bin/mastusher", "the relay's program, which is started with a configuration of its own")
	flags.StringVar(&page, "html", "", "write a page there, with each message")
	flags.Float64Var(&plan.Rate, "rate", 100, "messages a second")
	flags.DurationVar(&plan.Length, "for", 20*time.Second, "how long")
	flags.IntVar(&plan.MaxMessages, "most", 100_000, "messages in all")
	flags.IntVar(&plan.Partners, "partners", 20, "stand-in partners")
	flags.DurationVar(&plan.Behavior.ServiceTime, "takes", 60*time.Millisecond, "time that a partner takes for a call")
	flags.Uint64Var(&plan.Seed, "seed", 1, "of arrivals")
	return cmd
}

// runLoadTest runs a load test on a relay, prints the result, and writes the page if one is named. It returns an error if a message is lost
// or delivered twice.
func runLoadTest(out, progress io.Writer, plan loadtest.Plan, relay, page, title string) error {
	dir, err := os.MkdirTemp("", "relay-simulator")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	test, err := loadtest.New(plan, relay, dir)
	if err != nil {
		return err
	}
	defer test.Close()
	traces := test.Run(func(at time.Duration, sent, answered int) {
		fmt.Fprintf(progress, "\r%v of %v: %d messages due, %d settled with their clients   ", at.Round(time.Second), plan.Length.Round(time.Second), sent, answered)
	})
	fmt.Fprintln(progress)
	printLoadTest(out, test, traces)
	if page != "" {
		if err := writeLoadTestPage(page, title, plan.Length, test, traces); err != nil {
			return err
		}
		fmt.Fprintln(out, "what happened to each message:", page)
	}
	for _, trace := range traces {
		if trace.Outcome == loadtest.OutcomeLost || trace.Outcome == loadtest.OutcomeDeliveredTwice {
			return &outcomeError{id: trace.ID, outcome: trace.Outcome}
		}
	}
	return nil
}

// printLoadTest prints the timeline, the number of messages by outcome, and the latency of their acceptance.
func printLoadTest(out io.Writer, test *loadtest.LoadTest, traces []*loadtest.MessageTrace) {
	for _, e := range test.Timeline {
		fmt.Fprintf(out, "%8.3f s  %s\n", e.At.Seconds(), e.What)
	}
	counts := map[string]int{}
	for _, trace := range traces {
		counts[trace.Outcome]++
	}
	fmt.Fprintf(out, "%d messages:", len(traces))
	for _, outcome := range loadtest.Outcomes() {
		fmt.Fprintf(out, " %d %s,", counts[outcome], outcome)
		delete(counts, outcome)
	}
	for outcome, n := range counts { // outcomes that loadtest.Outcomes does not list; there should be none
		fmt.Fprintf(out, " %d %s,", n, outcome)
	}
	fmt.Fprintf(out, " taken on within p50 %.1f ms, p99 %.1f ms of when they were due\n", float64(test.AcceptLatency.ValueAtPercentile(50))/1e6,
		float64(test.AcceptLatency.ValueAtPercentile(99))/1e6)
}

// writeLoadTestPage writes an HTML page with the trace of each message.
func writeLoadTestPage(page, title string, length time.Duration, test *loadtest.LoadTest, traces []*loadtest.MessageTrace) error {
	f, err := os.Create(page)
	if err != nil {
		return err
	}
	defer f.Close()
	return report.WriteLoadTest(f, title, length, test.Timeline, traces)
}
