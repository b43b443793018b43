//go:build wasip1

package pluginsdk

import "time"

// Answer is what a destination has answered to an attempt. It is valid in OnAnswer's handler. A plug-in may only make
// the relay more careful: docs/plugins.md has the table of what may be asked for upon which answer.
type Answer struct{ call }

// Status is the answer's HTTP status.
func (Answer) Status() int { return int(hostNumber(numberStatus)) }

// Destination is the name of the endpoint that answered.
func (Answer) Destination() string { return string(field(fieldDestination)) }

// Header is the first value of a header of the answer, whatever the case of the name; false: it has none.
func (Answer) Header(name string) (string, bool) { return header(name) }

// Sample is a copy of the beginning of the answer's body, 512 bytes at most.
func (Answer) Sample() []byte { return field(fieldBody) }

// Told is the wait that the destination has told, in whole milliseconds; 0: none.
func (Answer) Told() time.Duration { return milliseconds(numberRetryAfter) }

// Wait has the relay send nothing to the partner for at least d, which is cut to whole milliseconds, and to a minute at
// most. Of several calls the longest counts. d of 0 or less asks for nothing.
//
// The errors are ErrLooser, where the destination has told a longer wait, or the answer allows none, or a Refuse has been
// granted; and in another phase ErrPhase.
func (Answer) Wait(d time.Duration) error { return refusalError(hostWait(d.Milliseconds())) }

// Refuse has the message given up for good.
//
// The errors are ErrLooser, where the message may have run, or the destination has told a wait, or a Wait has been granted; and
// in another phase ErrPhase.
func (Answer) Refuse() error { return refusalError(hostRefuse()) }
