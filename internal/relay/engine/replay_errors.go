package engine

import (
	"errors"
	"fmt"

	"mastusher/internal/relay/capture"
)

// The errors of a recorded event that does not fit the state of the replayed core: the capture was altered, or an earlier turn already
// differed. Their texts are reasons of a CoreDifferenceError.
var (
	errMandateMissing      = errors.New("what the fleet lets the relay do is missing")
	errSharedLimitsMissing = errors.New("what the relay may spend is missing")
	errNoticesNotInFlight  = errors.New("no call with so many notices is out")
	errArrivalMissing      = errors.New("a message handed in is missing")
)

// unknownFrontError is the number of a front that the replayed core does not have.
type unknownFrontError int

// Error names the front.
func (number unknownFrontError) Error() string {
	return fmt.Sprintf("there is no front %d", int(number))
}

// unknownEventKindError is a kind of event that this version does not replay.
type unknownEventKindError capture.CoreKind

// Error names the kind.
func (kind unknownEventKindError) Error() string {
	return fmt.Sprintf("an event of kind %d is not known", capture.CoreKind(kind))
}

// attemptMismatchError is the number of an attempt that is not in flight, or has another number of items than the recorded one.
type attemptMismatchError uint64

// Error names the attempt.
func (number attemptMismatchError) Error() string {
	return fmt.Sprintf("route step %d is not out, or carries something else", uint64(number))
}
