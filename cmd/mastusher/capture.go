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
				return workError{err}
			}
			if cfg.Capture.Dir == "" { // the signal would end a relay that knows nothing of captures
				return workError{config.NewKeyError("capture.dir", "missing: where captures go")}
			}
			if err := syscall.Kill(pid, sig); err != nil {
				return workError{fmt.Errorf("--pid %d: %w", pid, err)}
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
						return workError{fmt.Errorf("%s: %w", file, err)}
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
