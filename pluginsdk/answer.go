//go:build wasip1

package pluginsdk

import "time"

// Answer is a destination's answer to an attempt to deliver the message. It is valid while OnAnswer's handler runs. A plug-in may only
// make the relay more careful: docs/plugins.md has a table of what may be requested for which answer.
type Answer struct{ call }

// Status returns the answer's HTTP status.
func (Answer) Status() int { return int(hostNumber(numberStatus)) }

// Destination returns the name of the endpoint that answered.
func (Answer) Destination() string { return string(field(fieldDestination)) }

// Header returns the first value of a header of the answer; false: there is no such header. The case of the name does not matter.
func (Answer) Header(name string) (string, bool) { return header(name) }

// Sample returns a copy of the beginning of the answer's body, at most 512 bytes.
func (Answer) Sample() []byte { return field(fieldBody) }

// Told returns the wait that the destination requested, in whole milliseconds; 0: none.
func (Answer) Told() time.Duration { return milliseconds(numberRetryAfter) }

// Wait makes the relay send nothing to the partner for at least d, which is truncated to whole milliseconds and limited to one
// minute. Of several calls the longest wait counts. If d is 0 or less, Wait does nothing.
//
// The error is ErrLooser if the destination has requested a longer wait, if this answer allows no wait, or after a successful
// Refuse. In another phase it is ErrPhase.
func (Answer) Wait(d time.Duration) error { return refusalError(hostWait(d.Milliseconds())) }

// Refuse makes the relay give up the message: it is not sent again.
//
// The error is ErrLooser if the message may have run, if the destination has requested a wait, or after a successful Wait. In another
// phase it is ErrPhase.
func (Answer) Refuse() error { return refusalError(hostRefuse()) }
