package capture

import (
	"errors"
	"fmt"

	"mastusher/control"
)

var (
	// ErrNotCapture is returned for a file that does not begin as a capture does.
	ErrNotCapture = errors.New("capture: this is no capture")
	// ErrVersion is returned for a capture of another major version.
	ErrVersion = errors.New("capture: another version")
	// ErrGap is returned where turns are missing: what follows can't be reproduced up to the next state.
	ErrGap = errors.New("capture: turns are missing")
	// ErrNoTurn is returned by Replay for a capture in which no turn can be replayed.
	ErrNoTurn = errors.New("capture: no turn can be replayed")
	// ErrEmptyWindow is returned by Window where no turn lies between its two times.
	ErrEmptyWindow = errors.New("capture: there is no turn in that window")
	// ErrNoMessage is returned where a capture knows nothing of a message.
	ErrNoMessage = errors.New("capture: no message has that id")

	// errStop ends reading where all that was asked for has been read; no caller of the package sees it.
	errStop = errors.New("capture: as far as was asked")
)

// TornError is why reading ended before the end of a file: what follows can't be trusted to be in place.
type TornError struct {
	Offset int64 // bytes from the start of the file, where the last complete chunk ends
	Size   int64 // of the file, in bytes
	Reason string
}

// Error returns the place and the reason.
func (e *TornError) Error() string {
	return fmt.Sprintf("capture: at byte %d of %d: %s", e.Offset, e.Size, e.Reason)
}

// ChunkError is returned for a chunk that is complete, but whose records can't be read.
type ChunkError struct {
	Offset int64 // bytes from the start of the file, where the chunk begins
	Err    error // nil: the body holds bytes that are no record
}

// Error returns the place and the cause.
func (e *ChunkError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("capture: the chunk at byte %d holds what is no record", e.Offset)
	}
	return fmt.Sprintf("capture: the chunk at byte %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause: an error of the decompressor or of the CBOR decoder, or nil.
func (e *ChunkError) Unwrap() error { return e.Err }

// DifferenceError is the first turn in which a replay decides otherwise than the capture tells.
type DifferenceError struct {
	Turn *Turn
	Got  []control.Action
	// State is what explains it: the destinations concerned, as the replay has them after the turn.
	State []string
}

// Error names the turn.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("capture: turn %d differs", e.Turn.No)
}
