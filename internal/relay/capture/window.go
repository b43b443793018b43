package capture

import (
	"errors"
	"io"
	"maps"
	"slices"
	"time"
)

// Driver is a replay of the whole core beside that of the module; see engine.CoreReplay.
type Driver interface {
	Record(record any) error
	State() *Core // nil: it has none
}

// Window writes the part of a capture between two times since its start to w, as a capture that stands for itself: it
// begins with the module's state as a replay has it then, and with the core's if there is a driver (nil: without). It
// returns how many turns that is.
func Window(r *Reader, w io.Writer, from, to time.Duration, core Driver) (turns int, err error) {
	chunks, err := newChunker()
	if err != nil {
		return 0, err
	}
	index, err := r.Index()
	if err != nil {
		return 0, err
	}
	if _, err := w.Write(fileHeader()); err != nil {
		return 0, err
	}
	window := &windowWriter{chunker: chunks, out: w, player: newPlayer(), core: core, from: from, to: to, captureStart: firstTurn(index)}
	begin := 0 // the last state before the window
	for i := range index {
		if index[i].State && index[i].First <= window.captureStart+from {
			begin = i
		}
	}
	if err := window.player.seekTo(r, index, begin); err != nil {
		return 0, err
	}
	if begin > 0 && core != nil {
		if err := core.Record(&window.player.result.Begin); err != nil {
			return 0, err
		}
	}
	if err := r.Each(window.record); err != nil && !errors.Is(err, errStop) {
		return window.turns, err
	}
	if window.turns == 0 {
		return 0, errors.New("capture: there is no turn in that window")
	}
	return window.turns, chunks.flushTo(w)
}

// windowWriter writes the records of a window.
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

func (k *windowWriter) write(record any) {
	t, known := typeOf(record)
	if k.err != nil || !known {
		return
	}
	if k.err = k.chunker.add(t, record); k.err == nil && k.chunker.body.Len() > 64<<10 {
		k.err = k.chunker.flushTo(k.out)
	}
}

func (k *windowWriter) record(record any) error {
	switch v := record.(type) {
	case *Turn:
		if k.player.module == nil || k.player.inGap {
			break
		}
		if v.Now-k.captureStart > k.to {
			return errStop
		}
		if v.Now-k.captureStart >= k.from && !k.started {
			k.start()
		}
		if k.started {
			k.turns++
			k.write(v)
		}
	case *Name, *Message, *Note:
		if k.started {
			k.write(v)
		}
	case *Input:
		if k.started && k.core != nil {
			k.write(v)
		}
	}
	if k.err != nil {
		return k.err
	}
	// What differs may be what the test is for: the window is of what was recorded, and goes on.
	if err := k.player.record(record); err != nil && !errors.As(err, new(*DifferenceError)) {
		return err
	}
	if k.core != nil {
		_ = k.core.Record(record)
	}
	return nil
}

// begin writes what the window begins with.
func (k *windowWriter) start() {
	k.started = true
	x := k.player.module.Snapshot()
	k.write(&k.player.result.Begin)
	var core *Core
	if k.core != nil {
		core = k.core.State()
	}
	unfinished := map[uint64]bool{} // the others are over
	for _, m := range x.Messages {
		unfinished[m.ID] = true
	}
	if core != nil {
		for _, m := range core.Messages {
			unfinished[m.Ref] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(k.player.result.Names)) {
		name := k.player.result.Names[n]
		k.write(&name)
	}
	for _, ref := range slices.Sorted(maps.Keys(unfinished)) {
		if known, ok := k.player.result.Messages[ref]; ok {
			k.write(&known)
		}
	}
	k.write(&State{x})
	if core != nil {
		k.write(core)
	}
}
