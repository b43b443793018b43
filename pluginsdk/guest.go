//go:build wasip1

package pluginsdk

import (
	"errors"
	"runtime"
	"time"
	"unsafe"
)

// The host's functions, ABI 2.

//go:wasmimport mastusher_v2 get
func hostGet(field uint32, at unsafe.Pointer, room uint32) int32

//go:wasmimport mastusher_v2 number
func hostNumber(which uint32) int64

//go:wasmimport mastusher_v2 get_header
func hostGetHeader(name unsafe.Pointer, n uint32, at unsafe.Pointer, room uint32) int32

//go:wasmimport mastusher_v2 out_header
func hostOutHeader(name unsafe.Pointer, n uint32, at unsafe.Pointer, room uint32) int32

//go:wasmimport mastusher_v2 set_header
func hostSetHeader(name unsafe.Pointer, n uint32, value unsafe.Pointer, v uint32) int32

//go:wasmimport mastusher_v2 remove_header
func hostRemoveHeader(name unsafe.Pointer, n uint32) int32

//go:wasmimport mastusher_v2 set_body
func hostSetBody(at unsafe.Pointer, n uint32) int32

//go:wasmimport mastusher_v2 reject
func hostReject(status int32, why unsafe.Pointer, n uint32) int32

//go:wasmimport mastusher_v2 wait
func hostWait(ms int64) int32

//go:wasmimport mastusher_v2 refuse
func hostRefuse() int32

//go:wasmimport mastusher_v2 log
func hostLog(at unsafe.Pointer, n uint32)

//go:wasmimport mastusher_v2 random
func hostRandom() uint64

//go:wasmimport mastusher_v2 store_get
func hostStoreGet(key unsafe.Pointer, n uint32, at unsafe.Pointer, room uint32) int32

//go:wasmimport mastusher_v2 store_set
func hostStoreSet(key unsafe.Pointer, n uint32, value unsafe.Pointer, v uint32, ms int64) int32

//go:wasmimport mastusher_v2 store_delete
func hostStoreDelete(key unsafe.Pointer, n uint32)

// Why the relay did not do what it was asked for.
var (
	ErrOwned   = errors.New("pluginsdk: the protocol owns it")
	ErrUnclean = errors.New("pluginsdk: characters that a header can't hold")
	ErrLarge   = errors.New("pluginsdk: too large, or too many")
	ErrPhase   = errors.New("pluginsdk: not in this phase")
	ErrLocked  = errors.New("pluginsdk: this front does not allow it")
	ErrLooser  = errors.New("pluginsdk: it would make the relay less careful")
	ErrAbsent  = errors.New("pluginsdk: there is no such thing")
)

var refusals = []error{nil, ErrOwned, ErrUnclean, ErrLarge, ErrPhase, ErrLocked, ErrLooser, ErrAbsent}

func refusal(n int32) error {
	if n <= 0 && int(-n) < len(refusals) {
		return refusals[-n]
	}
	return errors.New("pluginsdk: refused")
}

const (
	fieldFront = iota
	fieldID
	fieldKey
	fieldClass
	fieldBody
	fieldTo
	fieldHow
	fieldConfig
	fieldName
)

const (
	numPhase = iota
	numPartner
	numLeft
	numAgain
	numStatus
	numWait
	numResult
	numNow
)

// room is where the host writes; what is read is copied out of it.
var room = make([]byte, 4096)

// read has the host write something and returns a copy.
func read(get func(at unsafe.Pointer, room uint32) int32) ([]byte, bool) {
	for {
		n := get(unsafe.Pointer(unsafe.SliceData(room)), uint32(len(room)))
		if n < 0 {
			return nil, false
		}
		if int(n) <= len(room) {
			return append(make([]byte, 0, n), room[:n]...), true
		}
		room = make([]byte, n)
	}
}

func field(n uint32) string {
	b, _ := read(func(at unsafe.Pointer, room uint32) int32 { return hostGet(n, at, room) })
	return string(b)
}

func str(s string) (unsafe.Pointer, uint32) {
	return unsafe.Pointer(unsafe.StringData(s)), uint32(len(s))
}

// about is what all phases know of a message.
type about struct{}

// Front is the wire that it came by: platform or activitypub.
func (about) Front() string { return field(fieldFront) }

// ID is the message's id.
func (about) ID() string { return field(fieldID) }

// Key is its idempotency key; empty: it has none.
func (about) Key() string { return field(fieldKey) }

// Class is the name of its class.
func (about) Class() string { return field(fieldClass) }

// Partner is the number of the partner that it is for.
func (about) Partner() int { return int(hostNumber(numPartner)) }

// Message is one that has arrived and is not taken on yet.
type Message struct{ about }

// Body is the message's body, as the plug-ins before have left it.
func (Message) Body() []byte {
	b, _ := read(func(at unsafe.Pointer, room uint32) int32 { return hostGet(fieldBody, at, room) })
	return b
}

// Header is a header of the client's request.
func (Message) Header(name string) (string, bool) { return header(name) }

func header(name string) (string, bool) {
	p, n := str(name)
	b, ok := read(func(at unsafe.Pointer, room uint32) int32 { return hostGetHeader(p, n, at, room) })
	runtime.KeepAlive(name)
	return string(b), ok
}

// Out is a header that will go out with the message, as far as a plug-in has set it.
func (Message) Out(name string) (string, bool) {
	p, n := str(name)
	b, ok := read(func(at unsafe.Pointer, room uint32) int32 { return hostOutHeader(p, n, at, room) })
	runtime.KeepAlive(name)
	return string(b), ok
}

// Again tells whether it has been handed in before.
func (Message) Again() bool { return hostNumber(numAgain) != 0 }

// Left is the time until its deadline.
func (Message) Left() time.Duration { return time.Duration(hostNumber(numLeft)) * time.Millisecond }

// SetHeader sets a header that goes out with the message, each time that it is sent.
func (Message) SetHeader(name, value string) error {
	p, n := str(name)
	q, v := str(value)
	err := refusal(hostSetHeader(p, n, q, v))
	runtime.KeepAlive(name)
	runtime.KeepAlive(value)
	return err
}

// RemoveHeader takes back a header that a plug-in before has set.
func (Message) RemoveHeader(name string) error {
	p, n := str(name)
	err := refusal(hostRemoveHeader(p, n))
	runtime.KeepAlive(name)
	return err
}

// SetBody rewrites the body, where the front allows that.
func (Message) SetBody(b []byte) error {
	err := refusal(hostSetBody(unsafe.Pointer(unsafe.SliceData(b)), uint32(len(b))))
	runtime.KeepAlive(b)
	return err
}

// Reject has the message turned away with a status from 400 to 499, but neither 408 nor 429.
func (Message) Reject(status int, why string) error {
	p, n := str(why)
	err := refusal(hostReject(int32(status), p, n))
	runtime.KeepAlive(why)
	return err
}

// Answer is what a destination has answered to an attempt.
type Answer struct{ about }

// Status is the answer's status.
func (Answer) Status() int { return int(hostNumber(numStatus)) }

// Destination is the name of the endpoint that answered.
func (Answer) Destination() string { return field(fieldTo) }

// Header is a header of the answer.
func (Answer) Header(name string) (string, bool) { return header(name) }

// Sample is the beginning of the answer's body.
func (Answer) Sample() []byte {
	b, _ := read(func(at unsafe.Pointer, room uint32) int32 { return hostGet(fieldBody, at, room) })
	return b
}

// Told is the wait that the destination has told; 0: none.
func (Answer) Told() time.Duration { return time.Duration(hostNumber(numWait)) * time.Millisecond }

// Wait has the relay send nothing to the partner for at least d.
func (Answer) Wait(d time.Duration) error { return refusal(hostWait(d.Milliseconds())) }

// Refuse has the message given up for good.
func (Answer) Refuse() error { return refusal(hostRefuse()) }

// Ended is the end of a message that was taken on.
type Ended struct{ about }

// How is delivered, handed_back, given_up or withdrawn.
func (Ended) How() string { return field(fieldHow) }

// Config is the JSON that the configuration has for this plug-in; empty: none.
func Config() string { return field(fieldConfig) }

// Name is the plug-in's name in the configuration.
func Name() string { return field(fieldName) }

// Now is the relay's clock, which stands still during a call.
func Now() time.Time { return time.UnixMilli(hostNumber(numNow)) }

// Random is a number that is the same whenever this plug-in sees this message again, under the same seed.
func Random() uint64 { return hostRandom() }

// Log writes a line to the relay's log.
func Log(text string) {
	p, n := str(text)
	hostLog(p, n)
	runtime.KeepAlive(text)
}

// Get reads from the plug-in's store.
func Get(key string) ([]byte, bool) {
	p, n := str(key)
	b, ok := read(func(at unsafe.Pointer, room uint32) int32 { return hostStoreGet(p, n, at, room) })
	runtime.KeepAlive(key)
	return b, ok
}

// Set writes to the store, for a time or, with 0, for good.
func Set(key string, value []byte, ttl time.Duration) error {
	p, n := str(key)
	err := refusal(hostStoreSet(p, n, unsafe.Pointer(unsafe.SliceData(value)), uint32(len(value)), ttl.Milliseconds()))
	runtime.KeepAlive(key)
	runtime.KeepAlive(value)
	return err
}

// Delete drops a key of the store.
func Delete(key string) {
	p, n := str(key)
	hostStoreDelete(p, n)
	runtime.KeepAlive(key)
}

var (
	arrival func(Message)
	answer  func(Answer)
	ended   func(Ended)
)

// OnArrival registers what is done when a message arrives.
func OnArrival(do func(Message)) { arrival = do }

// OnAnswer registers what is done when a destination has answered.
func OnAnswer(do func(Answer)) { answer = do }

// OnEnd registers what is done when a message is over.
func OnEnd(do func(Ended)) { ended = do }

//go:wasmexport mastusher_abi_2
func mask() (m uint32) {
	if arrival != nil {
		m |= 1
	}
	if answer != nil {
		m |= 2
	}
	if ended != nil {
		m |= 4
	}
	return m
}

//go:wasmexport on_arrival
func onArrival() int32 { arrival(Message{}); return 0 }

//go:wasmexport on_answer
func onAnswer() int32 { answer(Answer{}); return 0 }

//go:wasmexport on_end
func onEnd() int32 { ended(Ended{}); return 0 }
