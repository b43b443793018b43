package wire

import (
	"encoding/binary"
	"math"
)

// Reply builds one frame of actions; its zero value is ready for Begin. Times are microseconds. It is not safe for concurrent use.
type Reply struct {
	frame   []byte // reused for the next reply
	actions uint32 // number of actions in the frame
}

// Begin starts the reply to batch number seq, and invalidates what Bytes has returned for the previous reply.
func (r *Reply) Begin(seq uint32) {
	r.frame = binary.BigEndian.AppendUint32(r.frame[:0], seq)
	r.frame = append(r.frame, make([]byte, replyHeader-4)...)
	r.actions = 0
}

// Bytes completes the frame and returns it; it is valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.frame[4:], uint32(len(r.frame)))
	binary.BigEndian.PutUint32(r.frame[8:], r.actions)
	return r.frame
}

// code begins an action.
func (r *Reply) code(c uint8) { r.frame = append(r.frame, c); r.actions++ }

func (r *Reply) u16(v uint16) { r.frame = binary.BigEndian.AppendUint16(r.frame, v) }

func (r *Reply) u32(v uint32) { r.frame = binary.BigEndian.AppendUint32(r.frame, v) }

func (r *Reply) u64(v uint64) { r.frame = binary.BigEndian.AppendUint64(r.frame, v) }

// text appends a text after its 16-bit length; a longer text is truncated.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.frame = append(r.frame, s...)
}

// As sets the instance that the following actions belong to.
func (r *Reply) As(instance uint16) { r.code(AcAs); r.u16(instance) }

// Defer requests a Wake event with the nonce at a time.
func (r *Reply) Defer(moment uint64, nonce uint32) { r.code(AcDefer); r.u64(moment); r.u32(nonce) }

// Decline refuses a message, which may be submitted again after retryAfter.
func (r *Reply) Decline(ticket uint64, retryAfter uint32) {
	r.code(AcDecline)
	r.u64(ticket)
	r.u32(retryAfter)
}

// FreeLinks closes the idle connections to an endpoint.
func (r *Reply) FreeLinks(target uint32) { r.code(AcFreeLinks); r.u32(target) }

// Assign sends a message to an endpoint, with a time-out.
func (r *Reply) Assign(ticket uint64, target, timeout uint32) {
	r.code(AcAssign)
	r.u64(ticket)
	r.u32(target)
	r.u32(timeout)
}

// Follow subscribes to the list, or ends the subscription.
func (r *Reply) Follow(active bool) {
	r.code(AcFollow)
	if active {
		r.frame = append(r.frame, 1)
	} else {
		r.frame = append(r.frame, 0)
	}
}

// DropRequest fails a message.
func (r *Reply) DropRequest(ticket uint64) { r.code(AcDropRequest); r.u64(ticket) }

// DropAttempt cancels one attempt of a message, by its number from 0.
func (r *Reply) DropAttempt(ticket uint64, attempt uint8) {
	r.code(AcDropAttempt)
	r.u64(ticket)
	r.frame = append(r.frame, attempt)
}

// SoundOut sends a probe to an endpoint.
func (r *Reply) SoundOut(target uint32) { r.code(AcSoundOut); r.u32(target) }

// Tell sends a message to another instance.
func (r *Reply) Tell(dst uint16, msg []byte) { r.code(AcTell); r.u16(dst); r.text(string(msg)) }

// Lookup asks for the complete list once.
func (r *Reply) Lookup() { r.code(AcLookup) }

// Log adds a line to the simulator's report.
func (r *Reply) Log(text string) { r.code(AcLog); r.text(text) }

// Exception reports that the decision code has failed.
func (r *Reply) Exception(text string) { r.code(AcException); r.text(text) }
