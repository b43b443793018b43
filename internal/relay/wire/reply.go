package wire

import (
	"encoding/binary"
	"math"
)

// Reply builds one frame of actions.
type Reply struct {
	b []byte
	n uint32
}

// Begin starts the reply to the batch of that number.
func (r *Reply) Begin(seq uint32) {
	r.b = binary.BigEndian.AppendUint32(r.b[:0], seq)
	r.b = append(r.b, make([]byte, replyHeader-4)...)
	r.n = 0
}

// Bytes closes the frame and returns it; it is valid until Begin.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.b[4:], uint32(len(r.b)))
	binary.BigEndian.PutUint32(r.b[8:], r.n)
	return r.b
}

func (r *Reply) code(c uint8) { r.b = append(r.b, c); r.n++ }

func (r *Reply) u16(v uint16) { r.b = binary.BigEndian.AppendUint16(r.b, v) }

func (r *Reply) u32(v uint32) { r.b = binary.BigEndian.AppendUint32(r.b, v) }

func (r *Reply) u64(v uint64) { r.b = binary.BigEndian.AppendUint64(r.b, v) }

func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.b = append(r.b, s...)
}

// As names the instance of the actions that follow.
func (r *Reply) As(instance uint16) { r.code(AcAs); r.u16(instance) }

// Defer asks for a wake.
func (r *Reply) Defer(moment uint64, nonce uint32) { r.code(AcDefer); r.u64(moment); r.u32(nonce) }

// Decline refuses a message.
func (r *Reply) Decline(ticket uint64, holdOff uint32) {
	r.code(AcDecline)
	r.u64(ticket)
	r.u32(holdOff)
}

// FreeLinks closes idle connections.
func (r *Reply) FreeLinks(target uint32) { r.code(AcFreeLinks); r.u32(target) }

// Assign sends a message.
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
		r.b = append(r.b, 1)
	} else {
		r.b = append(r.b, 0)
	}
}

// DropRequest fails a message.
func (r *Reply) DropRequest(ticket uint64) { r.code(AcDropRequest); r.u64(ticket) }

// DropAttempt cancels one attempt.
func (r *Reply) DropAttempt(ticket uint64, try uint8) {
	r.code(AcDropAttempt)
	r.u64(ticket)
	r.b = append(r.b, try)
}

// SoundOut sends a probe.
func (r *Reply) SoundOut(target uint32) { r.code(AcSoundOut); r.u32(target) }

// Tell sends a note to a peer.
func (r *Reply) Tell(dst uint16, msg []byte) { r.code(AcTell); r.u16(dst); r.text(string(msg)) }

// Lookup asks for the whole list once.
func (r *Reply) Lookup() { r.code(AcLookup) }

// Log writes a line into the report.
func (r *Reply) Log(line string) { r.code(AcLog); r.text(line) }

// Exception declares that the decision code has failed.
func (r *Reply) Exception(line string) { r.code(AcException); r.text(line) }
