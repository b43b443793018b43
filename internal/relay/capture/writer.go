package capture

import (
	"errors"
	"fmt"
	"os"
	"time"

	"mastusher/control"
)

// Writer records a module that nothing waits for, such as the simulator's: each turn is taken, however long that lasts.
type Writer struct {
	f    *os.File
	c    *chunker
	turn uint64
	most int
}

// Create begins a capture of a module that has just been made.
func Create(name string, begin Begin) (*Writer, error) {
	c, err := newChunker()
	if err != nil {
		return nil, err
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	w := &Writer{f: f, c: c, most: 64 << 10}
	if _, err := f.Write(headOfFile()); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return w, errors.Join(c.add(TypeBegin, &begin), c.add(TypeState, &State{}))
}

// Turn records one turn.
func (w *Writer) Turn(now time.Duration, events []control.Event, actions []control.Action) error {
	w.turn++
	if err := w.c.add(TypeTurn, &Turn{w.turn, now, events, actions}); err != nil {
		return err
	}
	if w.c.body.Len() < w.most {
		return nil
	}
	return w.c.flushTo(w.f)
}

// Close ends the capture.
func (w *Writer) Close() error { return errors.Join(w.c.flushTo(w.f), w.f.Close()) }
