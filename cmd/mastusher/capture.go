package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
)

// recorder starts and stops captures of the running core's decisions.
type recorder struct {
	cfg     *config.Config
	core    *engine.Core
	log     *slog.Logger
	mu      sync.Mutex
	current *capture.Recorder
}

// start begins a capture, unless one is already running.
func (r *recorder) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.cfg.Capture
	switch {
	case c.Dir == "":
		r.log.Warn("capture not started, configuration has no capture.dir")
		return
	case r.current != nil && r.current.Err() == nil:
		r.log.Info("capture already running", "dir", c.Dir)
		return
	}
	current, err := capture.New(c.Dir, r.core.Begin(r.cfg.Name, build()), capture.Limits{Queue: r.cfg.Limits.CaptureQueue,
		Chunk: r.cfg.Limits.CaptureChunk, Within: r.cfg.Limits.CaptureWithin, FileSize: c.FileSize, DirSize: c.DirSize}, r.log)
	if err != nil {
		r.log.Error("capture not started", "err", err)
		return
	}
	r.current = current
	r.core.Record(current)
	r.log.Info("capture started", "dir", c.Dir)
}

// stop ends the running capture, if any. A running core closes the capture's recorder itself.
func (r *recorder) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		r.core.Record(nil)
		r.current = nil
	}
}

// close closes the recorder of the running capture, if any. It must be called after the core has stopped.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		r.current.Close()
		r.current = nil
	}
}

// build identifies the program in a capture: its version and the VCS revision that it was built from.
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

// captureCommand starts and stops captures in a running relay by signals, and summarizes capture files.
func captureCommand(o *options) *cobra.Command {
	root := &cobra.Command{Use: "capture", Short: "switch the recording of decisions in a running relay, and look at captures"}
	root.AddCommand(captureSignalCommand(o, "start", "have a relay record from now on (SIGUSR1)", syscall.SIGUSR1),
		captureSignalCommand(o, "stop", "have it stop (SIGUSR2)", syscall.SIGUSR2),
		&cobra.Command{Use: "info FILE...", Short: "tell what captures hold", Args: cobra.MinimumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				for _, file := range args {
					if err := captureInfo(cmd.OutOrStdout(), file); err != nil {
						return operationError{fmt.Errorf("%s: %w", file, err)}
					}
				}
				return nil
			}})
	return root
}

// captureSignalCommand returns a command that sends a running relay the signal that starts or stops a capture.
func captureSignalCommand(o *options, use, short string, signal syscall.Signal) *cobra.Command {
	var pid int
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		cfg, err := config.Load(o.file, os.Getenv)
		if err != nil {
			return operationError{err}
		}
		if cfg.Capture.Dir == "" { // the signal would kill a relay of a version without captures
			return operationError{config.NewKeyError("capture.dir", "missing: where captures go")}
		}
		return sendSignal(pid, signal)
	}}
	pidFlag(cmd, &pid)
	return cmd
}

// pidFlag adds the required flag for the process ID of a running relay.
func pidFlag(cmd *cobra.Command, pid *int) {
	cmd.Flags().IntVar(pid, "pid", 0, "process of the relay")
	_ = cmd.MarkFlagRequired("pid")
}

// sendSignal sends a signal to a running relay.
func sendSignal(pid int, signal syscall.Signal) error {
	if err := syscall.Kill(pid, signal); err != nil {
		return operationError{fmt.Errorf("--pid %d: %w", pid, err)}
	}
	return nil
}

// readCapture opens a capture file and calls do with its reader.
func readCapture(file string, do func(*capture.Reader) error) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	reader, err := capture.NewReader(f)
	if err != nil {
		return err
	}
	return do(reader)
}

// captureSummary counts the contents of a capture.
type captureSummary struct {
	begin                                 capture.Begin
	chunks, turns, events, messages, gaps int
	first, last                           time.Duration // times of the first and last turn, on the decision module's clock
}

// add counts one record.
func (s *captureSummary) add(record any) error {
	switch record := record.(type) {
	case *capture.Begin:
		s.begin = *record
	case *capture.Turn:
		if s.turns == 0 {
			s.first = record.Now
		}
		s.turns++
		s.events += len(record.Events)
		s.last = record.Now
	case *capture.Message:
		s.messages++
	case *capture.Gap:
		s.gaps++
	}
	return nil
}

// print prints the counts, the relay, its build, and the time and duration of the capture.
func (s *captureSummary) print(out io.Writer, file string) {
	at := time.UnixMicro(s.begin.At).Add(s.first - s.begin.Clock).UTC()
	fmt.Fprintf(out, "%s: relay %s, build %s\n  from %s for %v; %d turns, %d events, %d messages, %d gaps in %d chunks\n", file, s.begin.Relay,
		strings.TrimSpace(s.begin.Build), at.Format("2006-01-02 15:04:05.000"), (s.last - s.first).Round(time.Millisecond), s.turns, s.events, s.messages,
		s.gaps, s.chunks)
}

// captureInfo prints a summary of a capture and, if it could not be read to its end, why.
func captureInfo(out io.Writer, file string) error {
	return readCapture(file, func(reader *capture.Reader) error {
		var summary captureSummary
		for {
			chunk, err := reader.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return err
			}
			summary.chunks++
			if err := reader.Records(chunk, summary.add); err != nil {
				return err
			}
		}
		summary.print(out, file)
		if reader.Torn != nil {
			fmt.Fprintf(out, "  read up to the last whole chunk: %v\n", reader.Torn)
		}
		return nil
	})
}
