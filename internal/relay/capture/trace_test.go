package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestWindow_StandsForItself: a window replays without the capture that it was cut from.
func TestWindow_StandsForItself(t *testing.T) {
	dir, _ := recordWorld(t, 6, 1000, testLimits, 0)
	var window bytes.Buffer
	turns, err := Window(openText(t, onlyFile(t, dir)), &window, 5*time.Second, 9*time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	result, err := replayed(window.Bytes(), Options{})
	if err != nil || result.Turns != turns || turns < 50 || result.Last-result.First > 4*time.Second {
		t.Errorf("window of %d turns: %+v, error %v", turns, result, err)
	}
}

// TestWindow_BehindLastTurn_IsEmpty: a window after the capture's last turn is an error.
func TestWindow_BehindLastTurn_IsEmpty(t *testing.T) {
	dir, _ := recordWorld(t, 6, 100, testLimits, 0)
	if _, err := Window(openText(t, onlyFile(t, dir)), io.Discard, time.Hour, 2*time.Hour, nil); !errors.Is(err, ErrEmptyWindow) {
		t.Errorf("error %v, want %v", err, ErrEmptyWindow)
	}
}

// TestTrace_OneMessage: a trace begins with the message's arrival; an unknown id is an error.
func TestTrace_OneMessage(t *testing.T) {
	dir, _ := recordWorld(t, 6, 600, testLimits, 0)
	text := onlyFile(t, dir)
	trace, err := Trace(openText(t, text), "m-20")
	if text := strings.Join(trace, "\n"); err != nil || !strings.Contains(text, "m-20 arrives") {
		t.Errorf("error %v, want the arrival of m-20 in\n%s", err, text)
	}
	if _, err := Trace(openText(t, text), "nobody"); !errors.Is(err, ErrNoMessage) {
		t.Errorf("a message that is not in the capture: error %v, want %v", err, ErrNoMessage)
	}
}

// TestIndex_EarlierChunksDamaged_AreNotRead: a trace or window is made from the last state before it, so damage in earlier chunks does
// not matter.
func TestIndex_EarlierChunksDamaged_AreNotRead(t *testing.T) {
	capture := damagedCapture(t)
	if index, err := openText(t, capture.text).Index(); err != nil || len(index) != 3 || !index[2].State || index[1].Turns != 200 {
		t.Fatalf("index %+v, error %v", index, err)
	}
	late := fmt.Sprint("m-", capture.lastRef-20)
	if trace, err := Trace(openText(t, capture.text), late); err != nil || !strings.Contains(strings.Join(trace, "\n"), late+" arrives") {
		t.Errorf("error %v, want the late message's arrival in\n%s", err, strings.Join(trace, "\n"))
	}
	if _, err := Trace(openText(t, capture.text), "m-3"); err != nil { // before the damage
		t.Error(err)
	}
	var window bytes.Buffer
	turns, err := Window(openText(t, capture.text), &window, capture.secondState+time.Second, capture.secondState+3*time.Second, nil)
	if err != nil || turns < 20 {
		t.Fatalf("window of %d turns, error %v; want at least 20", turns, err)
	}
	if result, err := replayed(window.Bytes(), Options{}); err != nil || result.Turns != turns {
		t.Errorf("replay of the window: %+v, error %v", result, err)
	}
	if result, err := replayed(capture.text, Options{}); err != nil || result.Turns != 100 || result.Torn == nil {
		t.Errorf("replay of the whole capture: %+v, error %v; want it read up to the damaged chunk", result, err)
	}
}

// damaged is a capture of three chunks, of 100, 200 and 300 turns. The first and the third begin with a state; the second is damaged.
type damaged struct {
	text        []byte
	secondState time.Duration // time since the start of the state in the third chunk, the second state of the capture
	lastRef     uint64        // number of the last message that arrived
}

func damagedCapture(t *testing.T) (capture damaged) {
	t.Helper()
	chunker, err := newChunker()
	if err != nil {
		t.Fatal(err)
	}
	file := bytes.NewBuffer(fileHeader())
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	module, world := newModule(t, 5), newWorld(9)
	must(chunker.add(TypeBegin, &Begin{Relay: "test", Seed: 5, Settings: settings()}))
	must(chunker.add(TypeState, &State{module.Snapshot()}))
	damagedByte, startedAt := 0, time.Duration(0)
	for no := range 600 {
		now, events := world.turn(no)
		switch no {
		case 0:
			startedAt = now
		case 100:
			must(chunker.flushTo(file))
			damagedByte = file.Len() + chunkHead + 200
		case 300:
			must(chunker.flushTo(file))
			capture.secondState = now - startedAt
			must(chunker.add(TypeState, &State{module.Snapshot()}))
		}
		for _, message := range arrived(events) {
			must(chunker.add(TypeMessage, &message))
		}
		actions := module.Step(now, events, nil)
		must(chunker.add(TypeTurn, &Turn{uint64(no + 1), now, events, actions}))
		world.apply(actions)
	}
	must(chunker.flushTo(file))
	capture.text, capture.lastRef = file.Bytes(), world.lastRef
	capture.text[damagedByte] ^= 1
	return capture
}
