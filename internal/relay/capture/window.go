package capture

import (
	"errors"
	"io"
	"maps"
	"slices"
	"time"
)

// Driver is a replay of the whole core beside that of the module; see relay.Rerun.
type Driver interface {
	Record(record any) error
	State() *Core // nil: it has none
}

// Window writes the part of a capture between two times since its start to w, as a capture that stands for itself: it
// begins with the module's state as a replay has it then, and with the core's if there is a driver (nil: without). It
// returns how many turns that is.
func Window(r *Reader, w io.Writer, from, to time.Duration, core Driver) (turns int, err error) {
	c, err := newChunker()
	if err != nil {
		return 0, err
	}
	index, err := r.Index()
	if err != nil {
		return 0, err
	}
	if _, err := w.Write(headOfFile()); err != nil {
		return 0, err
	}
	cut := &cutter{c: c, w: w, p: newPlayer(), core: core, from: from, to: to, start: firstTurn(index)}
	begin := 0 // the last state before the window
	for i := range index {
		if index[i].State && index[i].First <= cut.start+from {
			begin = i
		}
	}
	if err := cut.p.jump(r, index, begin); err != nil {
		return 0, err
	}
	if begin > 0 && core != nil {
		if err := core.Record(&cut.p.res.Begin); err != nil {
			return 0, err
		}
	}
	if err := r.Each(cut.record); err != nil && !errors.Is(err, errUntil) {
		return cut.turns, err
	}
	if cut.turns == 0 {
		return 0, errors.New("capture: there is no turn in that window")
	}
	return cut.turns, c.flushTo(w)
}

// cutter writes the records of a window.
type cutter struct {
	c               *chunker
	w               io.Writer
	p               *player
	core            Driver
	from, to, start time.Duration
	begun           bool
	turns           int
	err             error
}

func (k *cutter) put(record any) {
	t, known := typeOf(record)
	if k.err != nil || !known {
		return
	}
	if k.err = k.c.add(t, record); k.err == nil && k.c.body.Len() > 64<<10 {
		k.err = k.c.flushTo(k.w)
	}
}

func (k *cutter) record(record any) error {
	switch v := record.(type) {
	case *Turn:
		if k.p.mod == nil || k.p.gap {
			break
		}
		if v.Now-k.start > k.to {
			return errUntil
		}
		if v.Now-k.start >= k.from && !k.begun {
			k.begin()
		}
		if k.begun {
			k.turns++
			k.put(v)
		}
	case *Name, *Message, *Note:
		if k.begun {
			k.put(v)
		}
	case *Input:
		if k.begun && k.core != nil {
			k.put(v)
		}
	}
	if k.err != nil {
		return k.err
	}
	// What differs may be what the test is for: the window is of what was recorded, and goes on.
	if err := k.p.record(record); err != nil && !errors.As(err, new(*Difference)) {
		return err
	}
	if k.core != nil {
		_ = k.core.Record(record)
	}
	return nil
}

// begin writes what the window begins with.
func (k *cutter) begin() {
	k.begun = true
	x := k.p.mod.Snapshot()
	k.put(&k.p.res.Begin)
	var core *Core
	if k.core != nil {
		core = k.core.State()
	}
	held := map[uint64]bool{} // the others are over
	for _, m := range x.Messages {
		held[m.ID] = true
	}
	if core != nil {
		for _, m := range core.Messages {
			held[m.Ref] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(k.p.res.Names)) {
		name := k.p.res.Names[n]
		k.put(&name)
	}
	for _, ref := range slices.Sorted(maps.Keys(held)) {
		if known, ok := k.p.res.Messages[ref]; ok {
			k.put(&known)
		}
	}
	k.put(&State{x})
	if core != nil {
		k.put(core)
	}
}
