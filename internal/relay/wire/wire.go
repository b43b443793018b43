// Package wire reads and writes the binary frames between the simulator and its adapter.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Event codes of a batch.
const (
	EvHello     = 1
	EvFleet     = 2
	EvQuery     = 3
	EvStreaming = 4
	EvResolved  = 5
	EvAbandoned = 6
	EvWake      = 7
	EvEcho      = 8
	EvPeer      = 9
	EvKilled    = 10
	EvList      = 11
	EvContext   = 12
)

// Action codes of a reply.
const (
	AcDefer       = 1
	AcAs          = 2
	AcDecline     = 3
	AcFreeLinks   = 4
	AcAssign      = 5
	AcFollow      = 6
	AcDropRequest = 7
	AcException   = 8
	AcSoundOut    = 9
	AcDropAttempt = 10
	AcLog         = 11
	AcTell        = 12
	AcLookup      = 13
)

// Flags of a Query.
const (
	FlagRetry     = 2  // handed in again, where clients mark it
	FlagTakenOver = 16 // it comes from a forwarder that died
)

// Modes of a Fleet event.
const (
	ModeDelta  = 0
	ModeFull   = 1
	ModeCached = 2
	ModeFailed = 3
)

const (
	batchHeader = 20
	replyHeader = 12
	maxFrame    = 1 << 30
)

// Member is one entry of a list.
type Member struct {
	Target      uint32
	Site        uint16
	Kind        uint16
	Destination uint16
	Condition   uint8
	Units       float32
	ReadyAt     uint64
}

// Record is one event of a batch; Code names the fields that count.
type Record struct {
	Code      uint8
	Instance  uint16 // of Context
	Seed      uint64
	Setup     []byte
	Roster    uint8
	Members   []Member
	Mode      uint8
	Rev       uint64
	Ticket    uint64
	Node      float32
	Estimate  uint32
	Flags     uint16
	NotAfter  uint64
	NameKey   uint64
	Category  uint16
	UserGroup uint32
	WaitTime  uint32
	Try       uint8
	Target    uint32
	Status    uint16
	Settled   uint8
	Detail    uint32
	Gauge     []float32
	Nonce     uint32
	Who       uint16
	Msg       []byte
}

// Batch is one frame of events.
type Batch struct {
	Seq     uint32
	Clock   uint64
	Records []Record
}

// reader takes fields off a frame and remembers the first that did not fit.
type reader struct {
	b      []byte
	off    int
	record int
	code   uint8
	err    error
}

func (r *reader) fail(field, why string) {
	if r.err == nil {
		r.err = fmt.Errorf("record %d (code %d): field %s at offset %d: %s", r.record, r.code, field, r.off, why)
	}
}

func (r *reader) take(n int, field string) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.b)-r.off {
		r.fail(field, fmt.Sprintf("needs %d bytes, %d are left", n, len(r.b)-r.off))
		return nil
	}
	v := r.b[r.off : r.off+n]
	r.off += n
	return v
}

func (r *reader) u8(field string) uint8 {
	if v := r.take(1, field); v != nil {
		return v[0]
	}
	return 0
}

func (r *reader) u16(field string) uint16 {
	if v := r.take(2, field); v != nil {
		return binary.BigEndian.Uint16(v)
	}
	return 0
}

func (r *reader) u32(field string) uint32 {
	if v := r.take(4, field); v != nil {
		return binary.BigEndian.Uint32(v)
	}
	return 0
}

func (r *reader) u64(field string) uint64 {
	if v := r.take(8, field); v != nil {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

func (r *reader) f32(field string) float32 { return math.Float32frombits(r.u32(field)) }

func (r *reader) bytes(n int, field string) []byte {
	return append([]byte(nil), r.take(n, field)...)
}

func (r *reader) members() []Member {
	const size = 23
	n := int(r.u32("members"))
	if r.err == nil && n > (len(r.b)-r.off)/size {
		r.fail("members", fmt.Sprintf("%d entries do not fit", n))
	}
	if r.err != nil {
		return nil
	}
	ms := make([]Member, n)
	for i := range ms {
		ms[i] = Member{Target: r.u32("target"), Site: r.u16("site"), Kind: r.u16("kind"),
			Destination: r.u16("destination"), Condition: r.u8("condition"), Units: r.f32("units"),
			ReadyAt: r.u64("ready_at")}
	}
	return ms
}

func (r *reader) gauge() []float32 {
	n := int(r.u8("gauge"))
	if n == 0 {
		return nil
	}
	vs := make([]float32, n)
	for i := range vs {
		vs[i] = r.f32("gauge")
	}
	return vs
}

func (r *reader) next() Record {
	r.code = r.u8("code")
	rec := Record{Code: r.code}
	if r.err != nil {
		return rec
	}
	switch r.code {
	case EvHello:
		rec.Seed = r.u64("random_seed")
		rec.Setup = r.bytes(int(r.u32("setup")), "setup")
	case EvFleet:
		rec.Roster, rec.Mode, rec.Rev = r.u8("roster_id"), r.u8("mode"), r.u64("rev")
	case EvQuery:
		rec.Ticket, rec.Node, rec.Estimate = r.u64("ticket"), r.f32("called_node"), r.u32("estimate")
		rec.Flags, rec.NotAfter, rec.NameKey = r.u16("flags"), r.u64("not_after"), r.u64("name_key")
		rec.Category, rec.UserGroup = r.u16("category"), r.u32("user_group")
	case EvStreaming:
		rec.Ticket, rec.WaitTime = r.u64("ticket"), r.u32("wait_time")
		rec.Try, rec.Target = r.u8("try"), r.u32("target")
	case EvResolved:
		rec.Ticket, rec.Try, rec.Target = r.u64("ticket"), r.u8("try"), r.u32("target")
		rec.Status, rec.WaitTime, rec.Settled = r.u16("status"), r.u32("wait_time"), r.u8("settled")
		rec.Detail, rec.Gauge = r.u32("detail"), r.gauge()
	case EvAbandoned:
		rec.Ticket = r.u64("ticket")
	case EvWake:
		rec.Nonce = r.u32("nonce")
	case EvEcho:
		rec.Target, rec.Status, rec.WaitTime = r.u32("target"), r.u16("status"), r.u32("wait_time")
		rec.Gauge = r.gauge()
	case EvPeer:
		rec.Who = r.u16("who")
		rec.Msg = r.bytes(int(r.u16("msg")), "msg")
	case EvKilled:
	case EvList:
		rec.Roster, rec.Members = r.u8("roster_id"), r.members()
	case EvContext:
		rec.Instance = r.u16("forwarder_id")
	default:
		r.off--
		r.fail("code", "unknown")
	}
	return rec
}

// ParseBatch reads one whole frame.
func ParseBatch(frame []byte) (Batch, error) {
	r := reader{b: frame}
	b := Batch{Seq: r.u32("number"), Clock: r.u64("clock")}
	length, n := r.u32("length"), int(r.u32("records"))
	if r.err == nil && int(length) != len(frame) {
		return b, fmt.Errorf("batch %d: field length at offset 12: %d, but the frame has %d", b.Seq, length, len(frame))
	}
	if r.err == nil && n > len(frame)-batchHeader {
		return b, fmt.Errorf("batch %d: field records at offset 16: %d do not fit", b.Seq, n)
	}
	if r.err == nil {
		b.Records = make([]Record, 0, n)
	}
	for i := 0; i < n && r.err == nil; i++ {
		r.record = i
		b.Records = append(b.Records, r.next())
	}
	if r.err == nil && r.off != len(frame) {
		r.fail("records", fmt.Sprintf("%d bytes follow the last record", len(frame)-r.off))
	}
	if r.err != nil {
		return b, fmt.Errorf("batch %d: %w", b.Seq, r.err)
	}
	return b, nil
}

// ReadBatch reads the next frame; io.EOF means that the input ended between frames.
func ReadBatch(in io.Reader, buf []byte) (Batch, []byte, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(in, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = fmt.Errorf("batch header: truncated at offset %d of %d", n, batchHeader)
		}
		return Batch{}, buf, err
	}
	size := binary.BigEndian.Uint32(head[12:])
	if size < batchHeader || size > maxFrame {
		return Batch{}, buf, fmt.Errorf("batch header: field length at offset 12: impossible length %d", size)
	}
	// The frame grows as it comes in, so that a false length does not reserve what never follows.
	buf = append(buf[:0], head[:]...)
	const step = 1 << 20
	for len(buf) < int(size) {
		at := len(buf)
		buf = append(buf, make([]byte, min(step, int(size)-at))...)
		if n, err := io.ReadFull(in, buf[at:]); err != nil {
			return Batch{}, buf, fmt.Errorf("batch: truncated at offset %d of %d", at+n, size)
		}
	}
	b, err := ParseBatch(buf)
	return b, buf, err
}

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
