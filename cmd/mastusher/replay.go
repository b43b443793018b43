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

func replayCommand() *cobra.Command {
	var until, from, length time.Duration
	var explain, against, test string
	cmd := &cobra.Command{Use: "replay FILE...", Short: "reproduce the decisions of captures, or say where they differ", Args: cobra.MinimumNArgs(1),
		Long: "replay feeds what a capture tells to this build's decision module, and to a whole core with the recording in the place of\n" +
			"its clock, fronts and journal. It says that every decision is the same, or stops at the first turn that differs and\n" +
			"prints the turn, both lists of actions and the state that explains them. With --explain, captures that know nothing of\n" +
			"the message are passed over.",
		RunE: func(cmd *cobra.Command, args []string) error {
			w := cmd.OutOrStdout()
			found := false
			for _, file := range args {
				err := reading(file, func(r *capture.Reader) error {
					switch {
					case explain != "":
						lines, err := capture.Trace(r, explain)
						if errors.Is(err, capture.ErrNoMessage) {
							return nil // it may stand in another
						}
						found = true
						fmt.Fprintln(w, file)
						for _, line := range lines {
							fmt.Fprintln(w, line)
						}
						return err
					case test != "":
						return writeTest(w, r, file, test, from, length)
					}
					return replay(w, cmd.ErrOrStderr(), r, file, until, against)
				})
				if err != nil {
					return workError{fmt.Errorf("%s: %w", file, err)}
				}
			}
			if explain != "" && !found {
				return workError{fmt.Errorf("%w: %q", capture.ErrNoMessage, explain)}
			}
			return nil
		}}
	f := cmd.Flags()
	f.DurationVar(&until, "until", 0, "stop so long after the start")
	f.StringVar(&explain, "explain", "", "tell the way of the message with this id, attempt by attempt")
	f.StringVar(&against, "against", "", "replay under the settings of this configuration, and tell what changes")
	f.StringVar(&test, "to-test", "", "write a window (--from, --for) to this folder, as a capture that tests can replay")
	f.DurationVar(&from, "from", 0, "where the window begins, after the start")
	f.DurationVar(&length, "for", 10*time.Second, "how long it is")
	return cmd
}

// replay replays one capture and prints what came of it; its error is the first difference.
func replay(w, progress io.Writer, r *capture.Reader, file string, until time.Duration, against string) error {
	var core engine.CoreReplay
	o, err := replayOptions(progress, file, until, against)
	if err != nil {
		return err
	}
	if against == "" {
		o.Core = core.Record
	}
	began := time.Now()
	res, err := capture.Replay(r, o)
	var coreDifference *engine.CoreDifferenceError
	if errors.As(err, &coreDifference) {
		coreDiffers(w, res, coreDifference)
	}
	var difference *capture.DifferenceError
	if errors.As(err, &difference) {
		moduleDiffers(w, res, difference)
	}
	if err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Fprintf(w, "%s: %d turns with %d events over %v replayed in %v", file, res.Turns, res.Events, (res.Last - res.First).Round(time.Millisecond), took.Round(time.Millisecond))
	if against == "" {
		fmt.Fprintln(w, ": every decision is the same")
		if core.Turns > 0 {
			fmt.Fprintf(w, "  so is all that the core did in its %d turns\n", core.Turns)
		}
	} else {
		fmt.Fprintf(w, " under the settings of %s: %d turns differ\n", against, res.Differ)
	}
	printOutcomes(w, res)
	return nil
}

// replayOptions are those of a replay of so much of a file, under the settings of another configuration if against is not empty.
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

// printOutcomes prints how messages ended, what happened to the relay, and why reading ended early.
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

func moduleDiffers(w io.Writer, res *capture.Result, d *capture.DifferenceError) {
	fmt.Fprintf(w, "turn %d, %v after the start, differs after %d turns that are the same\n", d.Turn.No, d.Turn.Now-res.First, res.Turns-1)
	list(w, "events", d.Turn.Events, res.Event)
	list(w, "recorded", d.Turn.Actions, res.Action)
	list(w, "decided now", d.Got, res.Action)
	list(w, "state", d.State, func(s string) string { return s })
}

func list[T any](w io.Writer, title string, all []T, words func(T) string) {
	fmt.Fprintln(w, title)
	for _, v := range all {
		fmt.Fprintln(w, "  ", words(v))
	}
}

func coreDiffers(w io.Writer, res *capture.Result, d *engine.CoreDifferenceError) {
	if d.Turn != nil && d.ModuleActions != nil && reflect.DeepEqual(d.Turn.Events, d.ModuleEvents) {
		moduleDiffers(w, res, &capture.DifferenceError{Turn: d.Turn, Got: d.ModuleActions, State: capture.Explain(d.State, res, capture.Concerned(d.Turn, d.ModuleActions))})
	}
	fmt.Fprintf(w, "the core's turn %v after the start differs: %s\n", d.Input.Now-res.First, d.Reason)
	list(w, "events", d.Input.Events, func(e capture.CoreEvent) string { return res.CoreEvent(&e) })
	list(w, "done now", d.Got.Actions, res.CoreAction)
	var recorded []control.Event
	if d.Turn != nil {
		recorded = d.Turn.Events
	}
	list(w, "the module was told", recorded, res.Event)
	list(w, "and now", d.ModuleEvents, res.Event)
}

// firstTurn is when a capture's first turn was, on the module's clock.
func firstTurn(file string) (at time.Duration, err error) {
	err = reading(file, func(r *capture.Reader) error {
		for {
			chunk, nextErr := r.Next()
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

func writeTest(w io.Writer, r *capture.Reader, file, dir string, from, length time.Duration) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := filepath.Join(dir, fmt.Sprintf("%s-%dms%s", strings.TrimSuffix(filepath.Base(file), capture.Ext), from.Milliseconds(), capture.Ext))
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	turns, err := capture.Window(r, f, from, from+length, &engine.CoreReplay{})
	if err = errors.Join(err, f.Close()); err != nil {
		_ = os.Remove(name)
		return err
	}
	fmt.Fprintf(w, "%s: %d turns; captures in testdata of internal/relay/capture and internal/relay/engine are replayed by their tests\n", name, turns)
	return nil
}
