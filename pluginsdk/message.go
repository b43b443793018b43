//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
)

// call has the methods that are common to all phases.
type call struct{}

// Front returns the name of the front that received the message: platform or activitypub.
func (call) Front() string { return string(field(fieldFront)) }

// ID returns the message's id.
func (call) ID() string { return string(field(fieldID)) }

// Key returns the message's idempotency key; "": it has none.
func (call) Key() string { return string(field(fieldKey)) }

// Class returns the name of the message's class.
func (call) Class() string { return string(field(fieldClass)) }

// Partner returns the number of the partner that the message is for.
func (call) Partner() int { return int(hostNumber(numberPartner)) }

// Message is a message that has arrived and is not accepted yet. It is valid while OnArrival's handler runs.
type Message struct{ call }

// Body returns a copy of the message's body, with the changes of earlier plug-ins and of SetBody.
func (Message) Body() []byte { return field(fieldBody) }

// Header returns the first value of a header of the client's request; false: there is no such header. The case of the name does not
// matter.
func (Message) Header(name string) (string, bool) { return header(name) }

// header returns the first value of a header: of the client's request on arrival, of the destination's answer in the answer phase.
func header(name string) (string, bool) {
	value, ok := readNamed(name, hostGetHeader)
	return string(value), ok
}

// Out returns the value of a header that this plug-in or an earlier one has set, and that will be sent with the message; false: none
// of them has set it.
func (Message) Out(name string) (string, bool) {
	value, ok := readNamed(name, hostOutHeader)
	return string(value), ok
}

// Again reports whether the client has submitted the message before.
func (Message) Again() bool { return hostNumber(numberResubmitted) != 0 }

// Left returns the time until the message's deadline, in whole milliseconds; below 0: the deadline has passed.
func (Message) Left() time.Duration { return milliseconds(numberTimeLeft) }

// SetHeader sets an extra header, which is sent with the message in each attempt. It replaces an extra header with the same name. A
// message may have 16 extra headers with 4,096 bytes in all; a name may have 64 bytes and a value 1,024.
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

// RemoveHeader removes an extra header that this plug-in or an earlier one has set. Headers of the protocol can't be removed.
//
// The errors are ErrAbsent, if no plug-in has set the header, and in another phase ErrPhase.
func (Message) RemoveHeader(name string) error {
	namePointer, nameSize := pointerTo(name)
	err := refusalError(hostRemoveHeader(namePointer, nameSize))
	runtime.KeepAlive(name)
	return err
}

// SetBody replaces the body, if the front allows that. The front activitypub allows a body of up to 64 KB that is one JSON object, in
// which id, actor, type and endTime are unchanged and occur once.
//
// The errors are ErrLocked, ErrLarge and ErrOwned, and in another phase ErrPhase.
func (Message) SetBody(body []byte) error {
	pointer, size := pointerToBytes(body)
	err := refusalError(hostSetBody(pointer, size))
	runtime.KeepAlive(body)
	return err
}

// Reject makes the relay reject the message: it is not accepted, the client is answered with status, and no further plug-in is called.
// status must be in 400 to 499, except 408 and 429, which would make the client send the message again. why is the reason that the
// client receives. It is truncated to 256 bytes, and escaped if it has anything but printable ASCII. The handler continues to run, and
// a second Reject replaces the first.
//
// The errors are ErrLooser for any other status, and in another phase ErrPhase.
func (Message) Reject(status int, why string) error {
	pointer, size := pointerTo(why)
	err := refusalError(hostReject(int32(status), pointer, size))
	runtime.KeepAlive(why)
	return err
}
