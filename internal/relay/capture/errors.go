package capture

import (
	"errors"
	"fmt"

	"mastusher/control"
)

var (
	// ErrNotCapture is returned for a file that does not begin with a capture's head.
	ErrNotCapture = errors.New("capture: not a capture file")
	// ErrVersion is returned for a capture of another major version.
	ErrVersion = errors.New("capture: unsupported version")
	// ErrGap is returned where turns are missing: turns after the gap can't be replayed until the next recorded state.
	ErrGap = errors.New("capture: turns are missing")
	// ErrNoTurn is returned by Replay for a capture in which no turn can be replayed.
	ErrNoTurn = errors.New("capture: no turn can be replayed")
	// ErrEmptyWindow is returned by Window if no turn lies between its two times.
	ErrEmptyWindow = errors.New("capture: no turn in the window")
	// ErrNoMessage is returned if a capture has no message with the given id.
	ErrNoMessage = errors.New("capture: no message has that id")

	// errStop ends reading once everything requested has been read. It is never returned to callers of the package.
	errStop = errors.New("capture: reading stopped at the requested end")
)

// TornError tells why reading ended before the end of a file. The chunks after Offset can't be located reliably.
type TornError struct {
	Offset int64 // bytes from the start of the file, where the last complete chunk ends
	Size   int64 // of the file, in bytes
	Reason string
}

// Error returns the offset and the reason.
func (e *TornError) Error() string {
	return fmt.Sprintf("capture: at byte %d of %d: %s", e.Offset, e.Size, e.Reason)
}

// ChunkError is returned for a complete chunk whose records can't be read.
type ChunkError struct {
	Offset int64 // bytes from the start of the file, where the chunk begins
	Err    error // nil: the body holds bytes that are not a record
}

// Error returns the offset and the cause.
func (e *ChunkError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("capture: the chunk at byte %d holds bytes that are not a record", e.Offset)
	}
	return fmt.Sprintf("capture: the chunk at byte %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause: an error of the decompressor or the CBOR decoder, or nil.
func (e *ChunkError) Unwrap() error { return e.Err }

// DifferenceError reports the first turn in which a replay decides differently from the recording.
type DifferenceError struct {
	Turn *Turn
	Got  []control.Action // the replay's actions
	// State explains the difference: a line for each destination concerned, as the replay has it after the turn; see Explain.
	State []string
}

// Error names the turn.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("capture: turn %d differs", e.Turn.No)
}
