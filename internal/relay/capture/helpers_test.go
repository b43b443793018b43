package capture

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"mastusher/control"
)

var testLimits = Limits{Queue: 1 << 12, Chunk: 4 << 10, Within: time.Hour, FileSize: 1 << 30, DirSize: 1 << 32}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// newModule returns a decision module with the tests' settings.
func newModule(t testing.TB, seed uint64) *control.Sender {
	t.Helper()
	module, err := control.New(settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	return module
}

// recordTurn steps a module with the next turn of a world, and records it with the calls that the core makes.
func recordTurn(recorder *Recorder, module *control.Sender, world *world, no int) {
	now, events := world.turn(no)
	if recorder.WantsState() {
		recorder.State(module.Snapshot(), nil, []Name{{1, "platform", "s-1"}}, nil)
	}
	for _, message := range arrived(events) {
		recorder.Message(message)
	}
	actions := module.Step(now, events, nil)
	recorder.Turn(now, events, actions)
	recorder.Tick(time.Now())
	world.apply(actions)
}

// arrived returns a Message record for each message that arrives in a turn.
func arrived(events []control.Event) (messages []Message) {
	for _, event := range events {
		if event.Kind == control.Arrived {
			messages = append(messages, Message{event.ID, "platform", fmt.Sprint("m-", event.ID)})
		}
	}
	return messages
}

// recordWorld runs a world and records it from the turn with number from on. It returns the recorder and its folder.
func recordWorld(t testing.TB, seed uint64, turns int, limits Limits, from int) (dir string, recorder *Recorder) {
	t.Helper()
	dir = t.TempDir()
	recorder, err := New(dir, Begin{Relay: "test", Seed: 5, Settings: settings()}, limits, quiet)
	if err != nil {
		t.Fatal(err)
	}
	module, world := newModule(t, 5), newWorld(seed)
	for no := range turns {
		if no >= from {
			recordTurn(recorder, module, world, no)
			continue
		}
		now, events := world.turn(no)
		world.apply(module.Step(now, events, nil))
	}
	recorder.Close()
	if err := recorder.Err(); err != nil {
		t.Fatal(err)
	}
	return dir, recorder
}

// onlyFile returns the content of a folder's single capture.
func onlyFile(t testing.TB, dir string) []byte {
	t.Helper()
	files, err := Files(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("files %v, error %v; want one file", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// openText returns a reader of a capture's bytes.
func openText(t testing.TB, text []byte) *Reader {
	t.Helper()
	reader, err := NewReader(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return reader
}

// replayed replays a capture's bytes.
func replayed(text []byte, o Options) (*Result, error) {
	reader, err := NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	return Replay(reader, o)
}
