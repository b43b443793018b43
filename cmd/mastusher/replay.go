package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
)

// replayFlags holds the flags of the replay command.
type replayFlags struct {
	until, from, length         time.Duration
	explain, against, windowDir string
}

// replayCommand replays captures, traces a message in them, or extracts a time window from them.
func replayCommand() *cobra.Command {
	o := &replayFlags{}
	cmd := &cobra.Command{Use: "replay FILE...", Short: "reproduce the decisions of captures, or say where they differ", Args: cobra.MinimumNArgs(1),
		Long: "replay feeds what a capture tells to this build's decision module, and to a whole core with the recording in the place of\n" +
			"its clock, fronts and journal. It says that every decision is the same, or stops at the first turn that differs and\n" +
			"prints the turn, both lists of actions and the state that explains them. With --explain, captures that know nothing of\n" +
			"the message are passed over.",
		RunE: o.run}
	f := cmd.Flags()
	f.DurationVar(&o.until, "until", 0, "stop so long after the start")
	f.StringVar(&o.explain, "explain", "", "tell the way of the message with this id, attempt by attempt")
	f.StringVar(&o.against, "against", "", "replay under the settings of this configuration, and tell what changes")
	f.StringVar(&o.windowDir, "to-test", "", "write a window (--from, --for) to this folder, as a capture that tests can replay")
	f.DurationVar(&o.from, "from", 0, "where the window begins, after the start")
	f.DurationVar(&o.length, "for", 10*time.Second, "how long it is")
	return cmd
}

// run replays, traces or extracts from each capture, as the flags say. A message to trace must be in at least one of them.
func (o *replayFlags) run(cmd *cobra.Command, args []string) error {
	out, found := cmd.OutOrStdout(), false
	for _, file := range args {
		err := readCapture(file, func(reader *capture.Reader) error {
			switch {
			case o.explain != "":
				traced, err := printTrace(out, reader, file, o.explain)
				found = found || traced
				return err
			case o.windowDir != "":
				return writeWindow(out, reader, file, o.windowDir, o.from, o.length)
			}
			return replay(out, cmd.ErrOrStderr(), reader, file, o.until, o.against)
		})
		if err != nil {
			return operationError{fmt.Errorf("%s: %w", file, err)}
		}
	}
	if o.explain != "" && !found {
		return operationError{fmt.Errorf("%w: %q", capture.ErrNoMessage, o.explain)}
	}
	return nil
}

// printTrace prints the trace of a message in a capture, and reports whether the capture has the message.
func printTrace(out io.Writer, reader *capture.Reader, file, id string) (found bool, err error) {
	trace, err := capture.Trace(reader, id)
	if errors.Is(err, capture.ErrNoMessage) {
		return false, nil // another capture may have it
	}
	fmt.Fprintln(out, file)
	for _, line := range trace {
		fmt.Fprintln(out, line)
	}
	return true, err
}

// replay replays one capture and prints the result. It returns an error for the first difference.
func replay(out, progress io.Writer, reader *capture.Reader, file string, until time.Duration, against string) error {
	var core engine.CoreReplay
	options, err := replayOptions(progress, file, until, against)
	if err != nil {
		return err
	}
	if against == "" {
		options.Core = core.Record
	}
	began := time.Now()
	res, err := capture.Replay(reader, options)
	var coreDifference *engine.CoreDifferenceError
	if errors.As(err, &coreDifference) {
		printCoreDifference(out, res, coreDifference)
	}
	var difference *capture.DifferenceError
	if errors.As(err, &difference) {
		printDifference(out, res, difference)
	}
	if err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Fprintf(out, "%s: %d turns with %d events over %v replayed in %v", file, res.Turns, res.Events, (res.Last - res.First).Round(time.Millisecond), took.Round(time.Millisecond))
	if against == "" {
		fmt.Fprintln(out, ": every decision is the same")
		if core.Turns > 0 {
			fmt.Fprintf(out, "  so is all that the core did in its %d turns\n", core.Turns)
		}
	} else {
		fmt.Fprintf(out, " under the settings of %s: %d turns differ\n", against, res.Differ)
	}
	printOutcomes(out, res)
	return nil
}

// replayOptions returns the options of a replay up to a time limit, under the settings of another configuration if against is not empty.
func replayOptions(progress io.Writer, file string, until time.Duration, against string) (o capture.Options, err error) {
	shown := time.Now()
	o.Progress = func(share float64) {
		if time.Since(shown) > time.Second {
			shown = time.Now()
			fmt.Fprintf(progress, "%s: %.0f %%\n", file, 100*share)
		}
	}
	if against != "" {
		cfg, err := config.Load(against, os.Getenv)
		if err != nil {
			return o, err
		}
		settings := engine.ModuleSettings(cfg)
		o.Settings = &settings
	}
	if until > 0 {
		first, err := firstTurn(file)
		if err != nil {
			return o, err
		}
		o.Until = first + until
	}
	return o, nil
}

// printOutcomes prints the number of messages by outcome, the events of the relay, and why reading ended early if it did.
func printOutcomes(w io.Writer, res *capture.Result) {
	for _, outcome := range slices.Sorted(maps.Keys(res.Outcomes)) {
		fmt.Fprintf(w, "  %-12s %d\n", outcome, res.Outcomes[outcome])
	}
	for _, note := range res.Notes {
		fmt.Fprintf(w, "  %v: %s\n", note.Now-res.First, note.Text)
	}
	if res.Torn != nil {
		fmt.Fprintln(w, " ", res.Torn)
	}
}

// printDifference prints the first turn in which the decision module decides differently.
func printDifference(w io.Writer, res *capture.Result, d *capture.DifferenceError) {
	fmt.Fprintf(w, "turn %d, %v after the start, differs after %d turns that are the same\n", d.Turn.No, d.Turn.Now-res.First, res.Turns-1)
	printList(w, "events", d.Turn.Events, res.Event)
	printList(w, "recorded", d.Turn.Actions, res.Action)
	printList(w, "decided now", d.Got, res.Action)
	printList(w, "state", d.State, func(s string) string { return s })
}

// printList prints a title, and each element of a list on its own line.
func printList[T any](w io.Writer, title string, all []T, words func(T) string) {
	fmt.Fprintln(w, title)
	for _, v := range all {
		fmt.Fprintln(w, "  ", words(v))
	}
}

// printCoreDifference prints the first turn in which the core acts differently.
func printCoreDifference(w io.Writer, res *capture.Result, d *engine.CoreDifferenceError) {
	if d.Turn != nil && d.ModuleActions != nil && reflect.DeepEqual(d.Turn.Events, d.ModuleEvents) {
		printDifference(w, res, &capture.DifferenceError{Turn: d.Turn, Got: d.ModuleActions, State: capture.Explain(d.State, res, capture.ConcernedEndpoints(d.Turn, d.ModuleActions))})
	}
	fmt.Fprintf(w, "the core's turn %v after the start differs: %s\n", d.Input.Now-res.First, d.Reason)
	printList(w, "events", d.Input.Events, func(e capture.CoreEvent) string { return res.CoreEvent(&e) })
	printList(w, "done now", d.Got.Actions, res.CoreAction)
	var recorded []control.Event
	if d.Turn != nil {
		recorded = d.Turn.Events
	}
	printList(w, "the module was told", recorded, res.Event)
	printList(w, "and now", d.ModuleEvents, res.Event)
}

// firstTurn returns the time of a capture's first turn, on the decision module's clock.
func firstTurn(file string) (at time.Duration, err error) {
	err = readCapture(file, func(reader *capture.Reader) error {
		for {
			chunk, nextErr := reader.Next()
			if nextErr != nil {
				return nextErr
			}
			if chunk.Turns > 0 {
				at = chunk.First
				return nil
			}
		}
	})
	return at, err
}

// writeWindow writes a time window of a capture to a directory, as a new capture.
func writeWindow(w io.Writer, reader *capture.Reader, file, dir string, from, length time.Duration) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := filepath.Join(dir, fmt.Sprintf("%s-%dms%s", strings.TrimSuffix(filepath.Base(file), capture.Ext), from.Milliseconds(), capture.Ext))
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	turns, err := capture.Window(reader, f, from, from+length, &engine.CoreReplay{})
	if err = errors.Join(err, f.Close()); err != nil {
		_ = os.Remove(name)
		return err
	}
	fmt.Fprintf(w, "%s: %d turns; captures in testdata of internal/relay/capture and internal/relay/engine are replayed by their tests\n", name, turns)
	return nil
}
