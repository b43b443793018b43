package engine

import (
	"errors"
	"fmt"

	"mastusher/internal/relay/capture"
)

// Errors for a recorded event that does not match the state of the replayed core: either the capture was altered or an earlier turn already
// differed. Their texts become the Reason of a CoreDifferenceError.
var (
	errMandateMissing      = errors.New("recorded change of mandate has no mandate")
	errSharedLimitsMissing = errors.New("recorded grant of quota has no limits")
	errNoticesNotInFlight  = errors.New("recorded result of a notify call does not match the number of notices in flight")
	errArrivalMissing      = errors.New("recorded submission has no message")
)

// unknownFrontError reports the number of a front that the replayed core does not have.
type unknownFrontError int

// Error names the front.
func (number unknownFrontError) Error() string {
	return fmt.Sprintf("front %d does not exist", int(number))
}

// unknownEventKindError reports a kind of event that this version can't replay.
type unknownEventKindError capture.CoreKind

// Error names the kind.
func (kind unknownEventKindError) Error() string {
	return fmt.Sprintf("unknown event kind %d", capture.CoreKind(kind))
}

// attemptMismatchError reports the number of an attempt that is not in flight, or has another number of items than the recorded one.
type attemptMismatchError uint64

// Error names the attempt and both possible mismatches.
func (number attemptMismatchError) Error() string {
	return fmt.Sprintf("attempt %d is not in flight, or has another number of messages than recorded", uint64(number))
}
