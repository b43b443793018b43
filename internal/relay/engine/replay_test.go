package engine

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
)

// virtual is a shell in the test's time: what calls come to is drawn, and told when its time has come.
type virtual struct {
	calm int // one call in so many fares badly; 0: one in three
	rng  *rand.Rand
	now  time.Time
	due  []dueAt
	tell func(EndpointList) // of the newest watch
	lost func(error)
}

// dueAt is something that happens at a time.
type dueAt struct {
	at time.Time
	do func()
}

func (v *virtual) in(d time.Duration, do func()) { v.due = append(v.due, dueAt{v.now.Add(d), do}) }

// runDue has happen what is due by now, in the order in which it was put there.
func (v *virtual) runDue() {
	due := v.due
	v.due = nil
	for _, d := range due {
		if d.at.After(v.now) {
			v.due = append(v.due, d)
		} else {
			d.do()
		}
	}
}

func (v *virtual) Call(_ Front, s *Attempt, until time.Time, done func([]Outcome)) func() {
	outs := make([]Outcome, len(s.Items))
	took := time.Duration(5+v.rng.IntN(400)) * time.Millisecond
	for i := range outs {
		if v.calm > 0 && v.rng.IntN(v.calm) > 0 {
			continue
		}
		switch v.rng.IntN(12) {
		case 0:
			outs[i] = Outcome{Result: control.Throttled, RetryAfter: time.Duration(v.rng.IntN(900)) * time.Millisecond}
		case 1:
			outs[i].Result, took = control.TimedOut, until.Sub(v.now)
		case 2:
			outs[i].Result = []control.Result{control.Errored, control.NoConnection, control.Reset, control.Rejected, control.Malformed}[v.rng.IntN(5)]
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
		called := make([]Outcome, len(outs))
		for i := range called {
			called[i].Result = control.Cancelled
		}
		v.in(time.Millisecond, func() { end(called) })
	}
}

func (v *virtual) Notify(_ Front, n []Notice, _ time.Time, done func([]bool)) func() {
	taken := make([]bool, len(n))
	ok := v.rng.IntN(3) > 0
	for i := range taken {
		taken[i] = ok && v.rng.IntN(9) > 0
	}
	v.in(time.Duration(20+v.rng.IntN(200))*time.Millisecond, func() { done(taken) })
	return func() {}
}

func (v *virtual) Watch(_ Front, _ int64, changed func(EndpointList), lost func(error)) func() {
	v.tell, v.lost = changed, lost
	return func() {}
}

// randomRun is a core that lives through what a seed draws. The order of the draws counts: the corpus was written by it.
type randomRun struct {
	core         *Core
	shell        *virtual
	rng          *rand.Rand
	destinations []Destination
	turns        int
	inFleet      bool
	listIndex    int64
}

// newRandomRun returns a core on a journal with a few messages, before its first turn.
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
	for i := range rng.IntN(6) { // a restart: some were out, some notices are outstanding
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
	run := &randomRun{core: core, shell: &virtual{rng: rng, now: now}, rng: rng, turns: turns, inFleet: seed%3 == 0, listIndex: 1}
	core.SetShell(run.shell)
	run.destinations = []Destination{{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7}, {Name: "s-2", Zone: "a", Kind: "club-sites", Partner: 8}}
	core.AddFront("platform", &fakeFront{tells: seed%2 == 0}, EndpointList{Destinations: run.destinations})
	return run
}

// submit hands in up to two messages.
func (run *randomRun) submit() {
	rng, now := run.rng, run.shell.now
	for range rng.IntN(3) {
		m := Message{ID: fmt.Sprint("m-", rng.IntN(4*run.turns)), Key: "key", Class: rng.IntN(2), Partner: 7 + rng.IntN(3), Body: make([]byte, rng.IntN(900)),
			Deadline: now.Add(time.Duration(1+rng.IntN(9)) * time.Second), Resubmitted: rng.IntN(5) == 0}
		a := arrival{front: "platform", msg: m, submittedAt: now.Add(-time.Duration(rng.IntN(420)) * time.Millisecond), reply: make(chan Reply, 1)}
		switch rng.IntN(12) {
		case 0: // a plug-in's
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

// disturb withdraws a message, moves discovery, changes the list or loses the watch, now and then.
func (run *randomRun) disturb() {
	rng, v := run.rng, run.shell
	switch rng.IntN(60) {
	case 0:
		run.core.queue <- withdrawn{uint64(rng.IntN(run.turns))}
	case 1:
		run.core.DiscoveryMoved([]string{"platform", "nobody"}[rng.IntN(2)])
	case 2, 3, 4:
		if v.tell != nil {
			run.listIndex++
			d := run.destinations[rng.IntN(2)]
			d.State = control.State(rng.IntN(3))
			if rng.IntN(3) == 0 {
				d.Name += fmt.Sprint("-", run.listIndex)
			}
			v.tell(EndpointList{Index: run.listIndex - int64(rng.IntN(3)), Complete: rng.IntN(6) == 0, Destinations: []Destination{d, run.destinations[0]}})
		}
	case 5:
		if v.lost != nil {
			v.lost(errors.New("the watch is lost"))
		}
	}
}

// govern changes the policy of a relay in a fleet, now and then.
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
	run.core.Govern(mandate, nil)
}

// recordRandomRun has a core live through so many turns, recorded from one of them on, and returns the recorder's folder.
func recordRandomRun(t testing.TB, seed uint64, turns, from int) (dir string, c *Core) {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	run := newRandomRun(t, seed, turns, quiet)
	c, v := run.core, run.shell
	dir = t.TempDir()
	rec, err := capture.New(dir, c.Begin("test", "-"), capture.Limits{Queue: 64, Chunk: 8 << 10, Within: time.Hour, FileSize: 1 << 30, DirSize: 1 << 31}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if from == 0 {
		c.Record(rec)
	}
	c.Restore(v.now)
	for turn := range turns {
		v.now = v.now.Add(time.Duration(5+run.rng.IntN(60)) * time.Millisecond)
		v.runDue()
		if turn+1 == from {
			c.Record(rec)
		}
		run.submit()
		run.disturb()
		run.govern(turn)
		if turn == turns*9/10 {
			c.Drain()
		}
		c.Turn(v.now, c.drainQueue(nil))
	}
	rec.Close()
	if err := rec.Err(); err != nil || rec.Lost.Load() != 0 {
		t.Fatalf("%v, %d turns lost", err, rec.Lost.Load())
	}
	return dir, c
}

func readCore(t testing.TB, dir string, do func(record any) error) error {
	t.Helper()
	files, err := capture.Files(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	f, err := os.Open(files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := capture.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	return r.Each(do)
}

// TestCoreReplay_RecordedRun_DoesTheSame: a whole core that is driven by a capture does what the one did that was recorded, from its start or from the
// middle: with calls out, notices outstanding and on their way, a watch that is lost, a disk that fails, and plug-ins' verdicts.
func TestCoreReplay_RecordedRun_DoesTheSame(t *testing.T) {
	kinds := map[capture.CoreKind]int{}
	actions := map[capture.ActionKind]int{}
	inFlight, outstanding, rejected, failed := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		turns := rapid.IntRange(2, 500).Draw(rt, "turns")
		from := rapid.IntRange(0, turns).Draw(rt, "from")
		dir, last := recordRandomRun(t, rapid.Uint64().Draw(rt, "seed"), turns, from)
		var r CoreReplay
		err := readCore(t, dir, func(record any) error {
			switch v := record.(type) {
			case *capture.Core:
				inFlight += len(v.Attempts)
				for _, f := range v.Fronts {
					outstanding += len(f.Outstanding) + len(f.Sending)
				}
			case *capture.Input:
				for _, e := range v.Events {
					if kinds[e.Kind]++; e.Arrival != nil && e.Arrival.Verdict == uint8(Rejected) {
						rejected++
					}
				}
				if v.Failed {
					failed++
				}
			}
			err := r.Record(record)
			for _, d := range r.recorded.input.Actions {
				actions[d.Kind]++
			}
			r.recorded.input.Actions = nil
			return err
		})
		var d *CoreDifferenceError
		if errors.As(err, &d) {
			rt.Fatalf("%v\nrecorded %+v\ndid      %+v\nmodule told %+v\nreplay      %+v", d, d.Input.Actions, d.Got.Actions, d.Turn, d.ModuleEvents)
		}
		want := turns - from + 1
		if from == 0 {
			want = turns + 1 // Restore's too
		}
		if err != nil || r.Turns != want {
			rt.Fatalf("%d turns, want %d: %v", r.Turns, want, err)
		}
		if got, want := fmt.Sprintf("%+v", r.State()), fmt.Sprintf("%+v", last.state()); got != want {
			rt.Fatalf("in the end\n%s\nwant\n%s", got, want)
		}
	})
	for k := capture.Submitted; k <= capture.Notified; k++ {
		if kinds[k] == 0 {
			t.Errorf("no event of kind %d was replayed", k)
		}
	}
	for k := capture.Replied; k <= capture.MessageFinished; k++ {
		if actions[k] == 0 {
			t.Errorf("no action of kind %d was compared", k)
		}
	}
	if inFlight == 0 || outstanding == 0 || rejected == 0 || failed == 0 {
		t.Errorf("%d calls out and %d notices outstanding where captures begin, %d rejected, %d failures of the disk: want some of each", inFlight, outstanding, rejected, failed)
	}
}

// TestCoreReplay_AlteredRecord_IsFoundInItsTurn: whatever is altered in a record of the core is found in its turn.
func TestCoreReplay_AlteredRecord_IsFoundInItsTurn(t *testing.T) {
	dir, _ := recordRandomRun(t, 10, 400, 100)
	for name, alter := range map[string]func(in *capture.Input) bool{
		"what was done": func(in *capture.Input) bool {
			was := in.Sum
			in.Sum ^= 1 << 40
			return was != 0
		},
		"an outcome": func(in *capture.Input) bool {
			for i := range in.Events {
				if in.Events[i].Kind == capture.AttemptEnded {
					in.Events[i].Outcomes = make([]capture.Outcome, in.Events[i].Items)
					in.Events[i].Outcomes[0].Result = control.Unknown
					return true
				}
			}
			return false
		},
		"the notices taken": func(in *capture.Input) bool {
			for i := range in.Events {
				if t := in.Events[i].Accepted; len(t) > 0 {
					in.Events[i].Accepted = append(t, true)
					return true
				}
			}
			return false
		},
		"a disk that was well": func(in *capture.Input) bool {
			taken := 0 // handed in, and refused because nothing could be written
			for _, e := range in.Events {
				if a := e.Arrival; a != nil && e.Front >= 0 && a.Verdict == 0 && a.QueuedFor < 250*time.Millisecond && a.Partner < 9 {
					taken++
				}
			}
			was := in.Failed && taken > 0
			in.Failed = in.Failed && !was
			return was
		},
		"a plug-in's verdict": func(in *capture.Input) bool {
			for i := range in.Events {
				if a := in.Events[i].Arrival; a != nil && a.Verdict != 0 && in.Events[i].Front >= 0 && a.QueuedFor < 250*time.Millisecond {
					a.Verdict = 0
					return true
				}
			}
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			var r CoreReplay
			var altered time.Duration
			err := readCore(t, dir, func(record any) error {
				if in, ok := record.(*capture.Input); ok && altered == 0 && alter(in) {
					altered = in.Now
				}
				return r.Record(record)
			})
			var d *CoreDifferenceError
			if !errors.As(err, &d) || d.Input.Now != altered || d.Reason == "" {
				t.Errorf("altered at %v: %v", altered, err)
			}
		})
	}
}

var (
	corpus = flag.Bool("corpus", false, "write testdata anew: only where decisions are meant to change")
	hour   = flag.Duration("hour", 0, "replay so long a time at 120 messages/s, and tell how long it takes")
)

// TestCoreReplay_Corpus_DoesTheSame replays whole cores' lives: a restart with messages resumed, discovery that moves, drains, a disk that
// fails and fills up, plug-ins' verdicts. Windows that replay --to-test has cut can stand beside them.
func TestCoreReplay_Corpus_DoesTheSame(t *testing.T) {
	for name, seed := range map[string]uint64{"resumed": 5, "moved": 12, "troubled": 21} {
		file := filepath.Join("testdata", name+capture.Ext)
		if *corpus {
			dir, _ := recordRandomRun(t, seed, 240, 0)
			files, _ := capture.Files(dir)
			text, err := os.ReadFile(files[0])
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	files, _ := filepath.Glob("testdata/*" + capture.Ext)
	if len(files) < 3 {
		t.Fatalf("the corpus is %v", files)
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		var core CoreReplay
		r, err := capture.NewReader(f)
		if err == nil {
			_, err = capture.Replay(r, capture.Options{Core: core.Record})
		}
		if err != nil || core.Turns < 100 {
			t.Errorf("%s: %d turns of the core, %v", file, core.Turns, err)
		}
		_ = f.Close()
	}
}

// TestCoreReplay_Window_BeginsInTheMiddle: a window begins in the middle, with the core as it stood there.
func TestCoreReplay_Window_BeginsInTheMiddle(t *testing.T) {
	dir, _ := recordRandomRun(t, 8, 300, 0)
	files, _ := capture.Files(dir)
	f, err := os.Open(files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := capture.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	var window bytes.Buffer
	turns, err := capture.Window(r, &window, 3*time.Second, 6*time.Second, &CoreReplay{})
	if err != nil || turns < 50 {
		t.Fatalf("%d turns, %v", turns, err)
	}
	if r, err = capture.NewReader(bytes.NewReader(window.Bytes())); err != nil {
		t.Fatal(err)
	}
	var core CoreReplay
	if res, err := capture.Replay(r, capture.Options{Core: core.Record}); err != nil || res.Turns != turns || core.Turns < turns {
		t.Errorf("%d turns, %d of the core, want %d: %v", res.Turns, core.Turns, turns, err)
	}
}

// TestCoreReplay_Hour replays an hour at 120 messages a second.
func TestCoreReplay_Hour(t *testing.T) {
	if *hour == 0 {
		t.Skip("go test ./internal/relay/engine -run Hour -v -args -hour 1h")
	}
	dir := t.TempDir()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg, err := config.Parse([]byte(settings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.MaxOpen, cfg.Settings.Slots = 400, 64
	now := time.Date(2026, 12, 1, 15, 0, 0, 0, time.UTC)
	c, _ := New(cfg, &journal.Memory{}, quiet, now)
	v := &virtual{rng: rand.New(rand.NewPCG(1, 1)), now: now, calm: 10}
	c.SetShell(v)
	var dests []Destination
	for i := range 22 {
		dests = append(dests, Destination{Name: fmt.Sprint("s-", i), Zone: "a", Kind: "news-groups", Partner: i})
	}
	c.AddFront("platform", &fakeFront{}, EndpointList{Destinations: dests})
	rec, err := capture.New(dir, c.Begin("hour", "-"), capture.Limits{Queue: 1 << 16, Chunk: 16 << 10, Within: time.Hour, FileSize: 1 << 40, DirSize: 1 << 41}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	c.Record(rec)
	c.Restore(now)
	next, n := now, 0
	for v.now.Sub(now) < *hour {
		v.now = v.now.Add(5 * time.Millisecond)
		v.runDue()
		for !next.After(v.now) {
			n++
			c.queue <- arrival{front: "platform", msg: Message{ID: fmt.Sprintf("%016x", n*0x9e3779b97f4a7c1), Key: "0123456789abcdef", Class: n % 2, Partner: n % 22, Body: make([]byte, 60),
				Deadline: v.now.Add(9 * time.Second)}, submittedAt: v.now, reply: make(chan Reply, 1)}
			next = next.Add(time.Duration(v.rng.ExpFloat64() * float64(time.Second) / 120))
		}
		if events := c.drainQueue(nil); len(events) > 0 || c.IdleFor(v.now) == 0 {
			c.Turn(v.now, events)
		}
	}
	rec.Close()
	files, _ := capture.Files(dir)
	f, err := os.Open(files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	info, _ := f.Stat()
	for _, whole := range []bool{false, true} {
		r, _ := capture.NewReader(f)
		var core CoreReplay
		o := capture.Options{}
		if whole {
			o.Core = core.Record
		}
		from := time.Now()
		res, err := capture.Replay(r, o)
		t.Logf("%d messages, %d turns, %d of the core, %v, %d lost, %d bytes a message; replayed in %v", n, res.Turns, core.Turns, err, rec.Lost.Load(), info.Size()/int64(n), time.Since(from))
	}
}
