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

// replayCoverage counts what the replays of TestCoreReplay_RecordedRun_DoesTheSame have covered: the test proves nothing about a kind that
// no replay contains.
type replayCoverage struct {
	events      map[capture.CoreKind]int
	actions     map[capture.ActionKind]int
	inFlight    int // attempts at the starts of captures
	outstanding int // notices at the starts of captures
	rejected    int // messages that an inspector rejected
	failed      int // turns whose journal could not be written
}

// record counts what a record of a capture contains.
func (coverage *replayCoverage) record(record any) {
	switch v := record.(type) {
	case *capture.Core:
		coverage.inFlight += len(v.Attempts)
		for _, front := range v.Fronts {
			coverage.outstanding += len(front.Outstanding) + len(front.Sending)
		}
	case *capture.Input:
		for _, event := range v.Events {
			coverage.events[event.Kind]++
			if event.Arrival != nil && event.Arrival.Verdict == uint8(Rejected) {
				coverage.rejected++
			}
		}
		if v.Failed {
			coverage.failed++
		}
	}
}

// check fails the test for each kind that no replay has covered.
func (coverage *replayCoverage) check(t *testing.T) {
	t.Helper()
	for kind := capture.Submitted; kind <= capture.NoticesAnswered; kind++ {
		if coverage.events[kind] == 0 {
			t.Errorf("no event of kind %d was replayed", kind)
		}
	}
	for kind := capture.Replied; kind <= capture.MessageFinished; kind++ {
		if coverage.actions[kind] == 0 {
			t.Errorf("no action of kind %d was compared", kind)
		}
	}
	if coverage.inFlight == 0 || coverage.outstanding == 0 || coverage.rejected == 0 || coverage.failed == 0 {
		t.Errorf("%d calls in flight and %d notices outstanding at the starts of captures, %d rejected messages, %d failed flushes: want some of each",
			coverage.inFlight, coverage.outstanding, coverage.rejected, coverage.failed)
	}
}

// TestCoreReplay_RecordedRun_DoesTheSame: a core that is driven by a capture does the same as the recorded core, from its start or from the
// middle: with calls in flight, notices outstanding and in flight, lost watches, failed writes of the journal, and plug-ins' rulings.
func TestCoreReplay_RecordedRun_DoesTheSame(t *testing.T) {
	coverage := &replayCoverage{events: map[capture.CoreKind]int{}, actions: map[capture.ActionKind]int{}}
	rapid.Check(t, func(check *rapid.T) {
		turns := rapid.IntRange(2, 500).Draw(check, "turns")
		from := rapid.IntRange(0, turns).Draw(check, "from")
		dir, last := recordRandomRun(t, rapid.Uint64().Draw(check, "seed"), turns, from)
		replayed := replayRecordedRun(t, check, dir, coverage)
		want := turns - from + 1
		if from == 0 {
			want = turns + 1 // including that of Restore
		}
		if replayed.Turns != want {
			check.Fatalf("%d turns, want %d", replayed.Turns, want)
		}
		if got, want := fmt.Sprintf("%+v", replayed.State()), fmt.Sprintf("%+v", last.state()); got != want {
			check.Fatalf("final state\n%s\nwant\n%s", got, want)
		}
	})
	coverage.check(t)
}

// replayRecordedRun replays the capture in dir and fails the check at the first turn that differs.
func replayRecordedRun(t *testing.T, check *rapid.T, dir string, coverage *replayCoverage) *CoreReplay {
	t.Helper()
	replay := &CoreReplay{}
	err := readCore(t, dir, func(record any) error {
		coverage.record(record)
		err := replay.Record(record)
		for _, action := range replay.recorded.input.Actions {
			coverage.actions[action.Kind]++
		}
		replay.recorded.input.Actions = nil
		return err
	})
	var difference *CoreDifferenceError
	if errors.As(err, &difference) {
		check.Fatalf("%v\nrecorded actions %+v\nreplayed actions %+v\nrecorded module turn  %+v\nreplayed module events %+v", difference, difference.Input.Actions,
			difference.Got.Actions, difference.Turn, difference.ModuleEvents)
	}
	if err != nil {
		check.Fatalf("after %d turns: %v", replay.Turns, err)
	}
	return replay
}

// alterations each change one part of a turn's record; false if the turn does not have that part.
var alterations = map[string]func(in *capture.Input) bool{
	"checksum of actions": alterSum,
	"outcome":             alterOutcome,
	"accepted notices":    alterAcceptedNotices,
	"journal failure":     alterDiskFailure,
	"plug-in's ruling":    alterRuling,
}

func alterSum(in *capture.Input) bool {
	was := in.Sum
	in.Sum ^= 1 << 40
	return was != 0
}

func alterOutcome(in *capture.Input) bool {
	for i := range in.Events {
		if in.Events[i].Kind == capture.AttemptEnded {
			in.Events[i].Outcomes = make([]capture.Outcome, in.Events[i].Items)
			in.Events[i].Outcomes[0].Result = control.Unknown
			return true
		}
	}
	return false
}

func alterAcceptedNotices(in *capture.Input) bool {
	for i := range in.Events {
		if accepted := in.Events[i].Accepted; len(accepted) > 0 {
			in.Events[i].Accepted = append(accepted, true)
			return true
		}
	}
	return false
}

// alterDiskFailure clears the failure of the journal in a turn that refused messages because of it.
func alterDiskFailure(in *capture.Input) bool {
	refused := 0 // messages that were refused because the journal could not be written
	for _, event := range in.Events {
		if a := event.Arrival; a != nil && event.Front >= 0 && a.Verdict == 0 && a.QueuedFor < 250*time.Millisecond && a.Partner < 9 {
			refused++
		}
	}
	was := in.Failed && refused > 0
	in.Failed = in.Failed && !was
	return was
}

func alterRuling(in *capture.Input) bool {
	for i := range in.Events {
		if a := in.Events[i].Arrival; a != nil && a.Verdict != 0 && in.Events[i].Front >= 0 && a.QueuedFor < 250*time.Millisecond {
			a.Verdict = 0
			return true
		}
	}
	return false
}

// TestCoreReplay_AlteredRecord_IsFoundInItsTurn: a replay reports an altered record at the altered turn.
func TestCoreReplay_AlteredRecord_IsFoundInItsTurn(t *testing.T) {
	dir, _ := recordRandomRun(t, 10, 400, 100)
	for name, alter := range alterations {
		t.Run(name, func(t *testing.T) {
			var replay CoreReplay
			var altered time.Duration
			err := readCore(t, dir, func(record any) error {
				if in, ok := record.(*capture.Input); ok && altered == 0 && alter(in) {
					altered = in.Now
				}
				return replay.Record(record)
			})
			var difference *CoreDifferenceError
			if !errors.As(err, &difference) || difference.Input.Now != altered || difference.Reason == "" {
				t.Errorf("altered at %v: error %v, want a difference at that time", altered, err)
			}
		})
	}
}

var (
	corpus = flag.Bool("corpus", false, "rewrite testdata; only for intended changes of decisions")
	hour   = flag.Duration("hour", 0, "length of a run at 120 messages/s to record and replay; logs how long the replay takes")
)

// TestCoreReplay_Corpus_DoesTheSame replays recorded runs of complete cores: a restart with resumed messages, discovery that moves, drains,
// a journal that fails and fills up, plug-ins' rulings. Captures cut by replay --to-test can be added to the folder.
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
		t.Fatalf("the corpus has only %v, want at least 3 captures", files)
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
			t.Errorf("%s: %d turns of the core replayed, error %v", file, core.Turns, err)
		}
		_ = f.Close()
	}
}

// TestCoreReplay_Window_BeginsInTheMiddle: a window that is cut from the middle of a capture begins with the core's state at that time.
func TestCoreReplay_Window_BeginsInTheMiddle(t *testing.T) {
	dir, _ := recordRandomRun(t, 8, 300, 0)
	r := openCapture(t, dir)
	var window bytes.Buffer
	turns, err := capture.Window(r, &window, 3*time.Second, 6*time.Second, &CoreReplay{})
	if err != nil || turns < 50 {
		t.Fatalf("window of %d turns, error %v, want at least 50", turns, err)
	}
	if r, err = capture.NewReader(bytes.NewReader(window.Bytes())); err != nil {
		t.Fatal(err)
	}
	var core CoreReplay
	if res, err := capture.Replay(r, capture.Options{Core: core.Record}); err != nil || res.Turns != turns || core.Turns < turns {
		t.Errorf("%d turns of the module and %d of the core replayed, want %d: error %v", res.Turns, core.Turns, turns, err)
	}
}

// TestCoreReplay_Hour records and replays a run at 120 messages per second, of the length of the flag -hour.
func TestCoreReplay_Hour(t *testing.T) {
	if *hour == 0 {
		t.Skip("go test ./internal/relay/engine -run Hour -v -args -hour 1h")
	}
	recorded := recordHour(t, *hour)
	f, err := os.Open(recorded.file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		t.Fatal(err)
	}
	for _, withCore := range []bool{false, true} {
		reader, err := capture.NewReader(f)
		if err != nil {
			t.Fatal(err)
		}
		var replay CoreReplay
		options := capture.Options{}
		if withCore {
			options.Core = replay.Record
		}
		from := time.Now()
		result, err := capture.Replay(reader, options)
		t.Logf("%d messages, %d turns of the module, %d of the core, error %v, %d turns lost, %d bytes per message; replayed in %v", recorded.messages, result.Turns,
			replay.Turns, err, recorded.lost, info.Size()/int64(recorded.messages), time.Since(from))
	}
}

// recordedHour is a capture of a core under load.
type recordedHour struct {
	file     string
	messages int
	lost     uint64 // turns
}

// recordHour records a core with 22 destinations for the given length of virtual time, at 120 messages per second.
func recordHour(t *testing.T, length time.Duration) recordedHour {
	t.Helper()
	dir := t.TempDir()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg, err := config.Parse([]byte(settings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.MaxOpen, cfg.Settings.Slots = 400, 64
	start := time.Date(2026, 12, 1, 15, 0, 0, 0, time.UTC)
	core, err := New(cfg, &journal.Memory{}, quiet, start)
	if err != nil {
		t.Fatal(err)
	}
	shell := &virtualShell{rng: rand.New(rand.NewPCG(1, 1)), now: start, failureInterval: 10}
	core.SetShell(shell)
	var destinations []Destination
	for i := range 22 {
		destinations = append(destinations, Destination{Name: fmt.Sprint("s-", i), Zone: "a", Kind: "news-groups", Partner: i})
	}
	core.AddFront("platform", &fakeFront{}, EndpointList{Destinations: destinations})
	recorder, err := capture.New(dir, core.Begin("hour", "-"), capture.Limits{Queue: 1 << 16, Chunk: 16 << 10, Within: time.Hour,
		FileSize: 1 << 40, DirSize: 1 << 41}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	core.Record(recorder)
	core.Restore(start)
	messages := shell.submitMessages(core, length)
	recorder.Close()
	files, err := capture.Files(dir)
	if err != nil {
		t.Fatal(err)
	}
	return recordedHour{files[0], messages, recorder.Lost.Load()}
}

// submitMessages runs a core for a time, submits messages at random times, on average 120 per second, and returns their number.
func (v *virtualShell) submitMessages(core *Core, length time.Duration) (messages int) {
	const perSecond = 120
	next, end := v.now, v.now.Add(length)
	for v.now.Before(end) {
		v.now = v.now.Add(5 * time.Millisecond)
		v.runDue()
		for !next.After(v.now) {
			messages++
			core.queue <- arrival{front: "platform", msg: Message{ID: fmt.Sprintf("%016x", messages*0x9e3779b97f4a7c1),
				Key: "0123456789abcdef", Class: messages % 2, Partner: messages % 22, Body: make([]byte, 60),
				Deadline: v.now.Add(9 * time.Second)}, submittedAt: v.now, reply: make(chan Reply, 1)}
			next = next.Add(time.Duration(v.rng.ExpFloat64() * float64(time.Second) / perSecond))
		}
		if events := core.drainQueue(nil); len(events) > 0 || core.IdleFor(v.now) == 0 {
			core.Turn(v.now, events)
		}
	}
	return messages
}
