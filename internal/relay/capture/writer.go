package capture

import (
	"errors"
	"fmt"
	"os"
	"time"

	"mastusher/control"
)

// Writer records a module that can wait for it, such as the simulator's: every turn is recorded, however long that takes.
type Writer struct {
	file      *os.File
	chunker   *chunker
	turn      uint64
	chunkSize int
}

// Create starts a capture of a module that has not yet made a turn.
func Create(name string, begin Begin) (*Writer, error) {
	c, err := newChunker()
	if err != nil {
		return nil, err
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	w := &Writer{file: f, chunker: c, chunkSize: 64 << 10}
	if _, err := f.Write(fileHeader()); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return w, errors.Join(c.add(TypeBegin, &begin), c.add(TypeState, &State{}))
}

// Turn records one turn.
func (w *Writer) Turn(now time.Duration, events []control.Event, actions []control.Action) error {
	w.turn++
	if err := w.chunker.add(TypeTurn, &Turn{w.turn, now, events, actions}); err != nil {
		return err
	}
	if w.chunker.body.Len() < w.chunkSize {
		return nil
	}
	return w.chunker.flushTo(w.file)
}

// Close ends the capture.
func (w *Writer) Close() error { return errors.Join(w.chunker.flushTo(w.file), w.file.Close()) }
