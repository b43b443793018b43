//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
)

// call is what all phases know of a message.
type call struct{}

// Front is the name of the front that the message came by: platform or activitypub.
func (call) Front() string { return string(field(fieldFront)) }

// ID is the message's id.
func (call) ID() string { return string(field(fieldID)) }

// Key is the message's idempotency key; "": it has none.
func (call) Key() string { return string(field(fieldKey)) }

// Class is the name of the message's class.
func (call) Class() string { return string(field(fieldClass)) }

// Partner is the number of the partner that the message is for.
func (call) Partner() int { return int(hostNumber(numberPartner)) }

// Message is a message that has arrived and is not taken on yet. It is valid in OnArrival's handler.
type Message struct{ call }

// Body is a copy of the message's body, as the plug-ins before, and SetBody, have left it.
func (Message) Body() []byte { return field(fieldBody) }

// Header is the first value of a header of the client's request, whatever the case of the name; false: it has none.
func (Message) Header(name string) (string, bool) { return header(name) }

// header is the first value of a header of the request on arrival, of the answer upon an answer.
func header(name string) (string, bool) {
	value, ok := readNamed(name, hostGetHeader)
	return string(value), ok
}

// Out is the value of a header that will go out with the message, as this plug-in or one before has set it; false: none
// has.
func (Message) Out(name string) (string, bool) {
	value, ok := readNamed(name, hostOutHeader)
	return string(value), ok
}

// Again tells whether the client has handed the message in before.
func (Message) Again() bool { return hostNumber(numberResubmitted) != 0 }

// Left is the time until the message's deadline, in whole milliseconds; below 0: it has passed.
func (Message) Left() time.Duration { return milliseconds(numberTimeLeft) }

// SetHeader sets a header that goes out with the message each time that it is sent, in the place of one of that name.
// There may be 16 of them, 4,096 bytes in all; a name may have 64 bytes, a value 1,024.
//
// The errors are ErrOwned, ErrUnclean and ErrLarge, and in another phase ErrPhase.
func (Message) SetHeader(name, value string) error {
	namePointer, nameSize := pointerTo(name)
	valuePointer, valueSize := pointerTo(value)
	err := refusalError(hostSetHeader(namePointer, nameSize, valuePointer, valueSize))
	runtime.KeepAlive(name)
	runtime.KeepAlive(value)
	return err
}

// RemoveHeader takes back a header that this plug-in or one before has set. Headers of the protocol can't be removed.
//
// The errors are ErrAbsent, where no plug-in has set it, and in another phase ErrPhase.
func (Message) RemoveHeader(name string) error {
	namePointer, nameSize := pointerTo(name)
	err := refusalError(hostRemoveHeader(namePointer, nameSize))
	runtime.KeepAlive(name)
	return err
}

// SetBody rewrites the body, where the front allows that: activitypub does, up to 64 KB, if the body is one JSON object
// whose id, actor, type and endTime stay as they are and stand there once.
//
// The errors are ErrLocked, ErrLarge and ErrOwned, and in another phase ErrPhase.
func (Message) SetBody(body []byte) error {
	pointer, size := pointerToBytes(body)
	err := refusalError(hostSetBody(pointer, size))
	runtime.KeepAlive(body)
	return err
}

// Reject has the message turned away: it is not taken on, its client is answered with status, and no further plug-in is
// asked. status is 400 to 499, but neither 408 nor 429, which would have the client send it again. why is the reason that the
// client is told, of which 256 bytes are kept; what is not printable ASCII is escaped. The handler goes on to run, and a
// second Reject takes the place of the first.
//
// The errors are ErrLooser for another status, and in another phase ErrPhase.
func (Message) Reject(status int, why string) error {
	pointer, size := pointerTo(why)
	err := refusalError(hostReject(int32(status), pointer, size))
	runtime.KeepAlive(why)
	return err
}
