package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
)

// recorder starts and stops captures of a running core.
type recorder struct {
	cfg  *config.Config
	core *engine.Core
	log  *slog.Logger
	mu   sync.Mutex
	on   *capture.Recorder
}

// start begins a capture, unless one is under way.
func (r *recorder) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.cfg.Capture
	switch {
	case c.Dir == "":
		r.log.Warn("capture not started, configuration has no capture.dir")
		return
	case r.on != nil && r.on.Err() == nil:
		r.log.Info("capture already running", "dir", c.Dir)
		return
	}
	on, err := capture.New(c.Dir, r.core.Begin(r.cfg.Name, build()), capture.Limits{Queue: r.cfg.Limits.CaptureQueue,
		Chunk: r.cfg.Limits.CaptureChunk, Within: r.cfg.Limits.CaptureWithin, FileSize: c.FileSize, DirSize: c.DirSize}, r.log)
	if err != nil {
		r.log.Error("capture not started", "err", err)
		return
	}
	r.on = on
	r.core.Record(on)
	r.log.Info("capture started", "dir", c.Dir)
}

// stop ends the capture that is under way. While the core runs it closes the recorder itself.
func (r *recorder) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on != nil {
		r.core.Record(nil)
		r.on = nil
	}
}

// close ends it once the core has stopped.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on != nil {
		r.on.Close()
		r.on = nil
	}
}

func build() string {
	text := version
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
				text += " " + s.Value
			}
		}
	}
	return text
}

func captureCommand(o *options) *cobra.Command {
	root := &cobra.Command{Use: "capture", Short: "switch the recording of decisions in a running relay, and look at captures"}
	signal := func(use, short string, sig syscall.Signal) *cobra.Command {
		var pid int
		cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := config.Load(o.file, os.Getenv)
			if err != nil {
				return errWork{err}
			}
			if cfg.Capture.Dir == "" { // the signal would end a relay that knows nothing of captures
				return errWork{&config.KeyError{Key: "capture.dir", Reason: "missing: where captures go"}}
			}
			if err := syscall.Kill(pid, sig); err != nil {
				return errWork{fmt.Errorf("--pid %d: %w", pid, err)}
			}
			return nil
		}}
		cmd.Flags().IntVar(&pid, "pid", 0, "process of the relay")
		_ = cmd.MarkFlagRequired("pid")
		return cmd
	}
	root.AddCommand(signal("start", "have a relay record from now on (SIGUSR1)", syscall.SIGUSR1),
		signal("stop", "have it stop (SIGUSR2)", syscall.SIGUSR2),
		&cobra.Command{Use: "info FILE...", Short: "tell what captures hold", Args: cobra.MinimumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				for _, file := range args {
					if err := captureInfo(cmd.OutOrStdout(), file); err != nil {
						return errWork{fmt.Errorf("%s: %w", file, err)}
					}
				}
				return nil
			}})
	return root
}

// reading opens a capture.
func reading(file string, do func(*capture.Reader) error) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := capture.NewReader(f)
	if err != nil {
		return err
	}
	return do(r)
}

func captureInfo(w io.Writer, file string) error {
	return reading(file, func(r *capture.Reader) error {
		var begin capture.Begin
		chunks, turns, events, messages, gaps := 0, 0, 0, 0, 0
		var first, last time.Duration
		for {
			c, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return err
			}
			chunks++
			err = r.Records(c, func(record any) error {
				switch v := record.(type) {
				case *capture.Begin:
					begin = *v
				case *capture.Turn:
					if turns == 0 {
						first = v.Now
					}
					turns, events, last = turns+1, events+len(v.Events), v.Now
				case *capture.Message:
					messages++
				case *capture.Gap:
					gaps++
				}
				return nil
			})
			if err != nil {
				return err
			}
		}
		at := time.UnixMicro(begin.At).Add(first - begin.Clock).UTC()
		fmt.Fprintf(w, "%s: relay %s, build %s\n  from %s for %v; %d turns, %d events, %d messages, %d gaps in %d chunks\n", file, begin.Relay,
			strings.TrimSpace(begin.Build), at.Format("2006-01-02 15:04:05.000"), (last - first).Round(time.Millisecond), turns, events, messages, gaps, chunks)
		if r.Torn != nil {
			fmt.Fprintf(w, "  read up to the last whole chunk: %v\n", r.Torn)
		}
		return nil
	})
}

func replayCommand(o *options) *cobra.Command {
	var until, from, length time.Duration
	var explain, against, test string
	cmd := &cobra.Command{Use: "replay FILE...", Short: "reproduce the decisions of captures, or say where they differ", Args: cobra.MinimumNArgs(1),
		Long: "replay feeds what a capture tells to this build's decision module, and to a whole core with the recording in the place of\n" +
			"its clock, fronts and journal. It says that every decision is the same, or stops at the first turn that differs and\n" +
			"prints the turn, both lists of actions and the state that explains them. With --explain, captures that know nothing of\n" +
			"the message are passed over.",
		RunE: func(cmd *cobra.Command, args []string) error {
			w := cmd.OutOrStdout()
			told := false
			for _, file := range args {
				err := reading(file, func(r *capture.Reader) error {
					switch {
					case explain != "":
						lines, err := capture.Story(r, explain)
						if errors.Is(err, capture.ErrNoMessage) {
							return nil // it may stand in another
						}
						told = true
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
					return errWork{fmt.Errorf("%s: %w", file, err)}
				}
			}
			if explain != "" && !told {
				return errWork{fmt.Errorf("%w: %q", capture.ErrNoMessage, explain)}
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

func replay(w, progress io.Writer, r *capture.Reader, file string, until time.Duration, against string) error {
	o := capture.Options{}
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
			return err
		}
		set := engine.ModuleSettings(cfg)
		o.Settings = &set
	}
	if until > 0 {
		first, err := firstTurn(file)
		if err != nil {
			return err
		}
		o.Until = first + until
	}
	var core engine.CoreReplay
	if against == "" {
		o.Core = core.Record
	}
	began := time.Now()
	res, err := capture.Replay(r, o)
	var cd *engine.CoreDifference
	if errors.As(err, &cd) {
		coreDiffers(w, res, cd)
	}
	var d *capture.Difference
	if errors.As(err, &d) {
		moduleDiffers(w, res, d)
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
	keys := make([]string, 0, len(res.Outcomes))
	for k := range res.Outcomes {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "  %-12s %d\n", k, res.Outcomes[k])
	}
	for _, n := range res.Notes {
		fmt.Fprintf(w, "  %v: %s\n", n.Now-res.First, n.Text)
	}
	if res.Torn != nil {
		fmt.Fprintln(w, " ", res.Torn)
	}
	return nil
}

func moduleDiffers(w io.Writer, res *capture.Result, d *capture.Difference) {
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

func coreDiffers(w io.Writer, res *capture.Result, d *engine.CoreDifference) {
	if d.Turn != nil && d.ModuleActions != nil && reflect.DeepEqual(d.Turn.Events, d.ModuleEvents) {
		moduleDiffers(w, res, &capture.Difference{Turn: d.Turn, Got: d.ModuleActions, State: capture.Explain(d.State, res, capture.Concerned(d.Turn, d.ModuleActions))})
	}
	fmt.Fprintf(w, "the core's turn %v after the start differs: %s\n", d.Input.Now-res.First, d.Reason)
	list(w, "events", d.Input.Events, func(e capture.CoreEvent) string { return res.CoreEvent(&e) })
	list(w, "done now", d.Got.Actions, res.CoreAction)
	var was []control.Event
	if d.Turn != nil {
		was = d.Turn.Events
	}
	list(w, "the module was told", was, res.Event)
	list(w, "and now", d.ModuleEvents, res.Event)
}

// firstTurn is when a capture's first turn was, on the module's clock.
func firstTurn(file string) (at time.Duration, err error) {
	err = reading(file, func(r *capture.Reader) error {
		for {
			c, err := r.Next()
			if err != nil {
				return err
			}
			if c.Turns > 0 {
				at = c.First
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
