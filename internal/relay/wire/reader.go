package wire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// reader decodes the fields of a frame in their order. After the first field that can't be read all others are 0, and err names that field.
type reader struct {
	frame  []byte
	offset int   // offset of the next field
	record int   // index of the record being read
	code   uint8 // its event code
	err    error // nil or a *RecordError
}

// fail stores why a field can't be read, unless an earlier field has failed.
func (r *reader) fail(field, reason string) {
	if r.err == nil {
		r.err = &RecordError{r.record, r.code, field, r.offset, reason}
	}
}

// take returns the next n bytes, which share the frame's memory, or nil if they can't be read.
func (r *reader) take(n int, field string) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.frame)-r.offset {
		r.fail(field, fmt.Sprintf("needs %d bytes, %d are left", n, len(r.frame)-r.offset))
		return nil
	}
	taken := r.frame[r.offset : r.offset+n]
	r.offset += n
	return taken
}

// u8 reads an unsigned 8-bit number.
func (r *reader) u8(field string) uint8 {
	if v := r.take(1, field); v != nil {
		return v[0]
	}
	return 0
}

// u16 reads an unsigned 16-bit number.
func (r *reader) u16(field string) uint16 {
	if v := r.take(2, field); v != nil {
		return binary.BigEndian.Uint16(v)
	}
	return 0
}

// u32 reads an unsigned 32-bit number.
func (r *reader) u32(field string) uint32 {
	if v := r.take(4, field); v != nil {
		return binary.BigEndian.Uint32(v)
	}
	return 0
}

// u64 reads an unsigned 64-bit number.
func (r *reader) u64(field string) uint64 {
	if v := r.take(8, field); v != nil {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

// f32 reads a 32-bit float.
func (r *reader) f32(field string) float32 { return math.Float32frombits(r.u32(field)) }

// bytes returns a copy of the next n bytes.
func (r *reader) bytes(n int, field string) []byte {
	return append([]byte(nil), r.take(n, field)...)
}

// memberBytes is the size of a Member on the wire.
const memberBytes = 23

// members reads a list: its count, then its entries.
func (r *reader) members() []Member {
	n := int(r.u32("members"))
	if r.err == nil && n > (len(r.frame)-r.offset)/memberBytes {
		r.fail("members", fmt.Sprintf("%d entries do not fit into the frame", n))
	}
	if r.err != nil {
		return nil
	}
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Target: r.u32("target"), Site: r.u16("site"), Kind: r.u16("kind"),
			Destination: r.u16("destination"), Condition: r.u8("condition"), Units: r.f32("units"),
			ReadyAt: r.u64("ready_at")}
	}
	return members
}

// gauge reads a load report: the count of its values, then the values; nil if there are none.
func (r *reader) gauge() []float32 {
	n := int(r.u8("gauge"))
	if n == 0 {
		return nil
	}
	values := make([]float32, n)
	for i := range values {
		values[i] = r.f32("gauge")
	}
	return values
}

// next reads a record: its code, then the fields that belong to the code.
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
		r.offset--
		r.fail("code", "unknown")
	}
	return rec
}
