package engine

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
)

// virtualShell is a shell in virtual time: it draws the outcomes of calls at random, and reports them when they are due.
type virtualShell struct {
	failureInterval int // one item in so many may fail, and a third of these do; 0: any item may
	rng             *rand.Rand
	now             time.Time
	timers          []timer
	changed         func(EndpointList) // callback of the newest watch
	lost            func(error)
}

// timer is a function to call at a time.
type timer struct {
	at time.Time
	do func()
}

// in calls do after d.
func (v *virtualShell) in(d time.Duration, do func()) {
	v.timers = append(v.timers, timer{v.now.Add(d), do})
}

// runDue calls the functions that are due, in the order in which they were added.
func (v *virtualShell) runDue() {
	timers := v.timers
	v.timers = nil
	for _, timer := range timers {
		if timer.at.After(v.now) {
			v.timers = append(v.timers, timer)
		} else {
			timer.do()
		}
	}
}

func (v *virtualShell) Call(_ Front, s *Attempt, until time.Time, done func([]Outcome)) func() {
	outs := make([]Outcome, len(s.Items))
	took := time.Duration(5+v.rng.IntN(400)) * time.Millisecond
	for i := range outs {
		if v.failureInterval > 0 && v.rng.IntN(v.failureInterval) > 0 {
			continue
		}
		switch v.rng.IntN(12) {
		case 0:
			outs[i] = Outcome{Result: control.Throttled, RetryAfter: time.Duration(v.rng.IntN(900)) * time.Millisecond}
		case 1:
			outs[i].Result, took = control.TimedOut, until.Sub(v.now)
		case 2:
			outs[i].Result = []control.Result{control.Errored, control.NoConnection, control.Reset, control.Rejected,
				control.Malformed}[v.rng.IntN(5)]
		case 3:
			outs[i] = Outcome{Final: true, Reported: true, Share: v.rng.Float64(), Limit: 9.5}
		}
	}
	ended := false
	end := func(outs []Outcome) {
		if !ended {
			ended = true
			done(outs)
		}
	}
	v.in(took, func() { end(outs) })
	return func() {
		canceled := make([]Outcome, len(outs))
		for i := range canceled {
			canceled[i].Result = control.Cancelled
		}
		v.in(time.Millisecond, func() { end(canceled) })
	}
}

func (v *virtualShell) Notify(_ Front, n []Notice, _ time.Time, done func([]bool)) func() {
	accepted := make([]bool, len(n))
	ok := v.rng.IntN(3) > 0
	for i := range accepted {
		accepted[i] = ok && v.rng.IntN(9) > 0
	}
	v.in(time.Duration(20+v.rng.IntN(200))*time.Millisecond, func() { done(accepted) })
	return func() {}
}

func (v *virtualShell) Watch(_ Front, _ int64, changed func(EndpointList), lost func(error)) func() {
	v.changed, v.lost = changed, lost
	return func() {}
}

// randomRun drives a core with random events from a seed. The order of the draws must not change: the recorded corpus depends on it.
type randomRun struct {
	core         *Core
	shell        *virtualShell
	rng          *rand.Rand
	destinations []Destination
	turns        int
	inFleet      bool
	listIndex    int64
}

// newRandomRun returns a run whose core's journal has a few messages, before the first turn.
func newRandomRun(t testing.TB, seed uint64, turns int, quiet *slog.Logger) *randomRun {
	t.Helper()
	cfg, err := config.Parse([]byte(settings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.MaxOpen = 30
	rng := rand.New(rand.NewPCG(seed, 1))
	memory := &journal.Memory{Full: func(*journal.Entry) bool { return rng.IntN(30) == 0 }, Failed: func() error {
		if rng.IntN(60) == 0 {
			return errors.New("the disk fails")
		}
		return nil
	}}
	now := time.Date(2026, 12, 1, 15, 0, 0, 0, time.UTC)
	for i := range rng.IntN(6) { // as after a restart: some attempts were in flight, some notices are outstanding
		e := &journal.Entry{ID: fmt.Sprint("old-", i), Front: "platform", Destination: 7 + i%2, Class: i % 2, Deadline: now.Add(6 * time.Second)}
		memory.Restore(e)
		switch i % 3 {
		case 0:
			memory.Schedule(e, now.Add(-time.Second), "s-1")
		case 1:
			memory.EndWithNotice(e, journal.Notice{HandedBack: true, RetryAfter: time.Second})
		}
	}
	core, err := New(cfg, memory, quiet, now)
	if err != nil {
		t.Fatal(err)
	}
	run := &randomRun{core: core, shell: &virtualShell{rng: rng, now: now}, rng: rng, turns: turns, inFleet: seed%3 == 0, listIndex: 1}
	core.SetShell(run.shell)
	run.destinations = []Destination{{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7}, {Name: "s-2", Zone: "a", Kind: "club-sites",
		Partner: 8}}
	core.AddFront("platform", &fakeFront{notifiesDeliveries: seed%2 == 0}, EndpointList{Destinations: run.destinations})
	return run
}

// submit submits up to two messages.
func (run *randomRun) submit() {
	rng, now := run.rng, run.shell.now
	for range rng.IntN(3) {
		m := Message{ID: fmt.Sprint("m-", rng.IntN(4*run.turns)), Key: "key", Class: rng.IntN(2), Partner: 7 + rng.IntN(3),
			Body: make([]byte, rng.IntN(900)), Deadline: now.Add(time.Duration(1+rng.IntN(9)) * time.Second), Resubmitted: rng.IntN(5) == 0}
		a := arrival{front: "platform", msg: m, submittedAt: now.Add(-time.Duration(rng.IntN(420)) * time.Millisecond), reply: make(chan Reply, 1)}
		switch rng.IntN(12) {
		case 0: // as a plug-in's ruling
			a.ruling = Ruling{Rejected, 418, "not here"}
		case 1:
			a.msg.ExtraHeaders = []string{"X-Desk", fmt.Sprint(rng.IntN(2))}
		case 2:
			a.msg.MayHaveRunAt = now.Add(-time.Second)
		case 3:
			a.front = "nobody"
		}
		run.core.queue <- a
	}
}

// disturb occasionally withdraws a message, moves discovery, changes the list or loses the watch.
func (run *randomRun) disturb() {
	rng, v := run.rng, run.shell
	switch rng.IntN(60) {
	case 0:
		run.core.queue <- withdrawn{uint64(rng.IntN(run.turns))}
	case 1:
		run.core.DiscoveryMoved([]string{"platform", "nobody"}[rng.IntN(2)])
	case 2, 3, 4:
		if v.changed != nil {
			run.listIndex++
			d := run.destinations[rng.IntN(2)]
			d.State = control.State(rng.IntN(3))
			if rng.IntN(3) == 0 {
				d.Name += fmt.Sprint("-", run.listIndex)
			}
			v.changed(EndpointList{Index: run.listIndex - int64(rng.IntN(3)), Complete: rng.IntN(6) == 0, Destinations: []Destination{d,
				run.destinations[0]}})
		}
	case 5:
		if v.lost != nil {
			v.lost(errors.New("the watch is lost"))
		}
	}
}

// govern occasionally changes the mandate of a relay in a fleet.
func (run *randomRun) govern(turn int) {
	rng := run.rng
	if !run.inFleet || turn <= 2 || rng.IntN(8) != 0 {
		return
	}
	mandate := Mandate{Mandate: capture.Mandate{Version: uint64(turn / 40), Worth: []float64{1 + rng.Float64(), 3}, Attempts: []int{rng.IntN(4), 0}},
		Until: run.shell.now.Add(time.Duration(rng.IntN(900)-100) * time.Millisecond)}
	switch rng.IntN(5) {
	case 0:
		mandate.Halted = mandate.Version + 1
	case 1:
		mandate.Shut = []int{8}
	case 2:
		mandate.Closed, mandate.Stamp = true, true
	}
	run.core.SetMandate(mandate, nil)
}

// recordRandomRun runs a core for a number of turns, records it from the given turn on, and returns the capture's folder.
func recordRandomRun(t testing.TB, seed uint64, turns, from int) (dir string, core *Core) {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	run := newRandomRun(t, seed, turns, quiet)
	core, shell := run.core, run.shell
	dir = t.TempDir()
	rec, err := capture.New(dir, core.Begin("test", "-"), capture.Limits{Queue: 64, Chunk: 8 << 10, Within: time.Hour, FileSize: 1 << 30,
		DirSize: 1 << 31}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if from == 0 {
		core.Record(rec)
	}
	core.Restore(shell.now)
	for turn := range turns {
		shell.now = shell.now.Add(time.Duration(5+run.rng.IntN(60)) * time.Millisecond)
		shell.runDue()
		if turn+1 == from {
			core.Record(rec)
		}
		run.submit()
		run.disturb()
		run.govern(turn)
		if turn == turns*9/10 {
			core.Drain()
		}
		core.Turn(shell.now, core.drainQueue(nil))
	}
	rec.Close()
	if err := rec.Err(); err != nil || rec.Lost.Load() != 0 {
		t.Fatalf("recorder: error %v, %d turns lost", err, rec.Lost.Load())
	}
	return dir, core
}

// readCore calls do with each record of the only capture in dir, until do returns an error.
func readCore(t testing.TB, dir string, do func(record any) error) error {
	t.Helper()
	return openCapture(t, dir).Each(do)
}

// openCapture opens the only capture in dir; its file is closed when the test ends.
func openCapture(t testing.TB, dir string) *capture.Reader {
	t.Helper()
	files, err := capture.Files(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("captures %v, error %v, want one capture", files, err)
	}
	f, err := os.Open(files[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	reader, err := capture.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	return reader
}
