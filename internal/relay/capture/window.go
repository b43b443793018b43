package capture

import (
	"errors"
	"io"
	"maps"
	"slices"
	"time"
)

// Driver replays the whole core in parallel with the module; see engine.CoreReplay.
type Driver interface {
	Record(record any) error
	State() *Core // the state of the core; nil: not known
}

// Window writes the part of source between two times since its start to out, as a self-contained capture. That begins with the
// module's state, as a replay has it at from, and with the core's state if the driver core is not nil. Window returns the number
// of turns written, and ErrEmptyWindow if there are none.
func Window(source *Reader, out io.Writer, from, to time.Duration, core Driver) (turns int, err error) {
	chunks, err := newChunker()
	if err != nil {
		return 0, err
	}
	index, err := source.Index()
	if err != nil {
		return 0, err
	}
	if _, err := out.Write(fileHeader()); err != nil {
		return 0, err
	}
	window := &windowWriter{chunker: chunks, out: out, player: newPlayer(), core: core, from: from, to: to, captureStart: firstTurn(index)}
	begin := 0 // index of the chunk with the last state before the window
	for i := range index {
		if index[i].State && index[i].First <= window.captureStart+from {
			begin = i
		}
	}
	if err := window.player.seekTo(source, index, begin); err != nil {
		return 0, err
	}
	if begin > 0 && core != nil {
		if err := core.Record(&window.player.result.Begin); err != nil {
			return 0, err
		}
	}
	if err := source.Each(window.record); err != nil && !errors.Is(err, errStop) {
		return window.turns, err
	}
	if window.turns == 0 {
		return 0, ErrEmptyWindow
	}
	return window.turns, chunks.flushTo(out)
}

// windowWriter replays a capture and writes the records within a window.
type windowWriter struct {
	chunker                *chunker
	out                    io.Writer
	player                 *player
	core                   Driver
	from, to, captureStart time.Duration
	started                bool
	turns                  int
	err                    error
}

// write appends a record, unless an earlier write failed. It sets err if it fails.
func (w *windowWriter) write(record any) {
	recordType, known := typeOf(record)
	if w.err != nil || !known {
		return
	}
	if w.err = w.chunker.add(recordType, record); w.err == nil && w.chunker.body.Len() > 64<<10 {
		w.err = w.chunker.flushTo(w.out)
	}
}

// record writes a record if it lies in the window, and replays it.
func (w *windowWriter) record(record any) error {
	switch record := record.(type) {
	case *Turn:
		if w.player.module == nil || w.player.inGap {
			break
		}
		if record.Now-w.captureStart > w.to {
			return errStop
		}
		if record.Now-w.captureStart >= w.from && !w.started {
			w.start()
		}
		if w.started {
			w.turns++
			w.write(record)
		}
	case *Name, *Message, *Note:
		if w.started {
			w.write(record)
		}
	case *Input:
		if w.started && w.core != nil {
			w.write(record)
		}
	}
	if w.err != nil {
		return w.err
	}
	// A window may be cut to examine a difference, so it holds what was recorded, and a difference does not end it.
	if err := w.player.record(record); err != nil && !errors.As(err, new(*DifferenceError)) {
		return err
	}
	if w.core != nil {
		_ = w.core.Record(record)
	}
	return nil
}

// start writes the records with which the window begins: Begin, names, open messages and states.
func (w *windowWriter) start() {
	w.started = true
	snapshot := w.player.module.Snapshot()
	w.write(&w.player.result.Begin)
	var core *Core
	if w.core != nil {
		core = w.core.State()
	}
	openMessages := map[uint64]bool{} // messages that have not ended
	for _, m := range snapshot.Messages {
		openMessages[m.ID] = true
	}
	if core != nil {
		for _, m := range core.Messages {
			openMessages[m.Ref] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(w.player.result.Names)) {
		name := w.player.result.Names[number]
		w.write(&name)
	}
	for _, ref := range slices.Sorted(maps.Keys(openMessages)) {
		if known, ok := w.player.result.Messages[ref]; ok {
			w.write(&known)
		}
	}
	w.write(&State{snapshot})
	if core != nil {
		w.write(core)
	}
}
