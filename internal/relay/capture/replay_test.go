package capture

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/control"
)

// TestSnapshot_RestoredAtAnyTurn_DecidesTheSame: a module restored from an encoded snapshot at any turn decides the same as the original
// module for the rest of the run.
func TestSnapshot_RestoredAtAnyTurn_DecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"))
		module, err := control.New(settings(), 5)
		if err != nil {
			t.Fatal(err)
		}
		turns := rapid.IntRange(1, 300).Draw(t, "turns")
		restoredAt := rapid.IntRange(0, turns).Draw(t, "at")
		var restored *control.Sender
		for no := range turns + 100 {
			if no == restoredAt {
				restored = restoreFromBytes(t, module)
			}
			now, events := world.turn(no)
			actions := module.Step(now, events, nil)
			if restored != nil {
				if d := cmp.Diff(actions, restored.Step(now, events, nil)); d != "" {
					t.Fatalf("turn %d, restored at turn %d (-original +restored)\n%s", no, restoredAt, d)
				}
			}
			world.apply(actions)
		}
		if d := cmp.Diff(module.Snapshot(), restored.Snapshot()); d != "" {
			t.Fatalf("the final states differ (-original +restored)\n%s", d)
		}
	})
}

// restoreFromBytes returns a module restored from another one's encoded snapshot.
func restoreFromBytes(t *rapid.T, module *control.Sender) *control.Sender {
	text, err := cbor.Marshal(module.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot control.Snapshot
	if err = cbor.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	restored, err := control.Restore(settings(), &snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestReplay_TenTimes_DecidesTheSame: a capture of a run with faults, from its start or its middle, replays ten times without a difference.
func TestReplay_TenTimes_DecidesTheSame(t *testing.T) {
	for _, from := range []int{0, 700} {
		dir, _ := recordWorld(t, 3, 1500, testLimits, from)
		text := onlyFile(t, dir)
		for range 10 {
			result, err := replayed(text, Options{})
			if err != nil || result.Turns != 1500-from || result.Torn != nil {
				t.Fatalf("%+v, error %v; want all recorded turns and no error", result, err)
			}
		}
	}
}

// TestReplay_AlteredRecord_IsFoundAndExplained: a replay finds the turn with an altered recorded action and explains the difference.
func TestReplay_AlteredRecord_IsFoundAndExplained(t *testing.T) {
	dir, _ := recordWorld(t, 3, 400, testLimits, 0)
	altered, want := alterTurnAfter(t, onlyFile(t, dir), 200)
	_, err := replayed(altered, Options{})
	var difference *DifferenceError
	if !errors.As(err, &difference) || difference.Turn.No != want || len(difference.State) < 2 {
		t.Errorf("error %v, want an explained difference in turn %d; got %+v", err, want, difference)
	}
}

// alterTurnAfter returns a capture with the timeout of the first call after a turn altered, and the number of that call's turn.
func alterTurnAfter(t *testing.T, text []byte, after uint64) (altered []byte, no uint64) {
	t.Helper()
	chunker, err := newChunker()
	if err != nil {
		t.Fatal(err)
	}
	err = openText(t, text).Each(func(record any) error {
		if turn, ok := record.(*Turn); ok && turn.No > after && no == 0 && len(turn.Actions) > 0 && turn.Actions[0].Kind == control.Send {
			turn.Actions[0].Duration++
			no = turn.No
		}
		recordType, _ := typeOf(record)
		return chunker.add(recordType, record)
	})
	file := bytes.NewBuffer(fileHeader())
	if err == nil {
		err = chunker.flushTo(file)
	}
	if err != nil || no == 0 {
		t.Fatal(err, no)
	}
	return file.Bytes(), no
}

// TestReplay_OtherSettings_CountsDifferences: under other settings differences are counted and do not end the replay.
func TestReplay_OtherSettings_CountsDifferences(t *testing.T) {
	dir, _ := recordWorld(t, 6, 600, testLimits, 0)
	fewer := settings()
	fewer.Slots = 2
	res, err := replayed(onlyFile(t, dir), Options{Settings: &fewer})
	if err != nil || res.Differ == 0 || res.Turns != 600 {
		t.Errorf("%+v, error %v; want 600 turns and some that differ", res, err)
	}
}

// TestReplay_Corpus_DecidesTheSame replays captures of past faults: the module's decisions in them must change only on purpose.
func TestReplay_Corpus_DecidesTheSame(t *testing.T) {
	files, _ := filepath.Glob("testdata/*" + Ext)
	if len(files) == 0 {
		t.Fatal("testdata has no captures")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := replayed(text, Options{}); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestReplay_NoTurn_IsSaid: the replay of a capture that ends before its first turn returns ErrNoTurn.
func TestReplay_NoTurn_IsSaid(t *testing.T) {
	chunker, err := newChunker()
	if err != nil {
		t.Fatal(err)
	}
	file := bytes.NewBuffer(fileHeader())
	if err := errors.Join(chunker.add(TypeBegin, &Begin{Settings: settings()}), chunker.flushTo(file)); err != nil {
		t.Fatal(err)
	}
	if _, err := replayed(file.Bytes(), Options{}); !errors.Is(err, ErrNoTurn) {
		t.Errorf("error %v, want %v", err, ErrNoTurn)
	}
}
