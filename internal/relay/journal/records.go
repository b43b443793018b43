package journal

import (
	"encoding/binary"
	"hash/crc32"
	"time"
)

// The codes of records, each with its fields. Codes are stored in files and never reused.
const (
	recordAccepted byte = iota + 1 // id, key, front, destination, class, deadline, resubmitted, body, headers, tenant, policy and attempts
	recordAttempt                  // number of the attempt, time, destination
	recordOutcome                  // 1 if the attempt that was begun last never ran, otherwise 0
	recordEnded                    // no fields
	recordNotice                   // flags, retry-after in ms: the message has ended and a notice is outstanding
	recordAcked                    // no fields
)

// The bits of recordNotice's flags.
const (
	flagHandedBack = 1 << iota
	flagDelivered
)

const (
	frameHead  = 8       // length, checksum
	maxPayload = 1 << 20 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// apply applies one record to the entries; false: the record can't be decoded.
func (l *Log) apply(payload []byte) bool {
	fields := &decoder{rest: payload[1:]}
	seq := fields.uint()
	e := l.entries[seq]
	switch payload[0] {
	case recordAccepted:
		if e = fields.accepted(seq); !fields.damaged {
			l.entries[seq], l.lastSeq = e, max(l.lastSeq, seq)
			l.liveBytes += e.cost()
		}
	case recordAttempt:
		if number, at, destination := fields.uint(), fields.time(), fields.text(); e != nil && !fields.damaged {
			e.Attempts, e.InFlight, e.LastAttemptAt, e.LastAttemptOn = int(number), true, at, destination
			e.loggedAttempts = int(number)
		}
	case recordOutcome:
		if neverRan := fields.uint() == 1; e != nil && !fields.damaged {
			e.endAttempt(neverRan)
		}
	case recordEnded, recordAcked:
		if e != nil {
			l.liveBytes -= e.cost()
			delete(l.entries, seq)
		}
	case recordNotice:
		if flags, retryAfter := fields.uint(), fields.uint(); e != nil && !fields.damaged {
			e.NoticePending, e.Notice = true, Notice{Delivered: flags&flagDelivered != 0, HandedBack: flags&flagHandedBack != 0,
				RetryAfter: time.Duration(retryAfter) * time.Millisecond}
		}
	default: // a record of a later version is skipped
	}
	return !fields.damaged
}

// accepted decodes the record of an accepted message. In logs of older versions it ends before the headers or before the tenant.
func (d *decoder) accepted(seq uint64) *Entry {
	e := &Entry{Seq: seq, ID: d.text(), Key: d.text(), Front: d.text(), Destination: int(d.uint()),
		Class: int(d.uint()), Deadline: d.time(), Resubmitted: d.uint() == 1, Body: []byte(d.text())}
	if len(d.rest) > 0 {
		for n := d.uint(); n > 0 && !d.damaged; n-- {
			e.Headers = append(e.Headers, d.text())
		}
	}
	if e.Tenant = -1; len(d.rest) > 0 {
		e.Tenant = int(d.uint()) - 1
	}
	if len(d.rest) > 0 { // present only in a fleet
		e.PolicyVersion, e.MaxAttempts = d.uint(), int(d.uint())
	}
	return e
}

func (l *Log) appendAccepted(e *Entry) {
	l.appendRecord(recordAccepted, e.Seq, func(b []byte) []byte {
		b = appendText(appendText(appendText(b, e.ID), e.Key), e.Front)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(e.Destination)), uint64(e.Class))
		b = binary.AppendUvarint(appendTime(b, e.Deadline), bit(e.Resubmitted))
		b = binary.AppendUvarint(appendText(b, string(e.Body)), uint64(len(e.Headers)))
		for _, h := range e.Headers {
			b = appendText(b, h)
		}
		b = binary.AppendUvarint(b, uint64(max(e.Tenant, -1)+1))
		if e.PolicyVersion != 0 || e.MaxAttempts != 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, e.PolicyVersion), uint64(e.MaxAttempts))
		}
		return b
	})
}

func (l *Log) appendAttempt(e *Entry, number int, at time.Time, destination string) {
	l.appendRecord(recordAttempt, e.Seq, func(b []byte) []byte {
		return appendText(appendTime(binary.AppendUvarint(b, uint64(number)), at), destination)
	})
}

func (l *Log) appendOutcome(e *Entry, neverRan bool) {
	l.appendRecord(recordOutcome, e.Seq, func(b []byte) []byte { return binary.AppendUvarint(b, bit(neverRan)) })
}

func (l *Log) appendNotice(e *Entry) {
	flags := uint64(0)
	if e.Notice.HandedBack {
		flags |= flagHandedBack
	}
	if e.Notice.Delivered {
		flags |= flagDelivered
	}
	l.appendRecord(recordNotice, e.Seq, func(b []byte) []byte {
		return binary.AppendUvarint(binary.AppendUvarint(b, flags), uint64(e.Notice.RetryAfter/time.Millisecond))
	})
}

// appendRecord adds a record, in a frame, to the buffer.
func (l *Log) appendRecord(code byte, seq uint64, fields func([]byte) []byte) {
	start := len(l.buf)
	l.buf = append(l.buf, make([]byte, frameHead)...)
	l.buf = fields(binary.AppendUvarint(append(l.buf, code), seq))
	payload := l.buf[start+frameHead:]
	binary.LittleEndian.PutUint32(l.buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(l.buf[start+4:], crc32.Checksum(payload, castagnoli))
}

// bit returns 1 for true and 0 for false.
func bit(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTime(b []byte, t time.Time) []byte { return binary.AppendVarint(b, t.UnixMicro()) }

// decoder decodes the fields of a payload; damaged is set once a field is missing.
type decoder struct {
	rest    []byte
	damaged bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.rest)
	return v * d.skip(n)
}

// skip skips a varint of n bytes and returns 1. If n is not positive, there was no valid varint: it sets damaged and returns 0.
func (d *decoder) skip(n int) uint64 {
	if n <= 0 {
		d.damaged, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return 1
}

func (d *decoder) time() time.Time {
	v, n := binary.Varint(d.rest)
	d.skip(n)
	return time.UnixMicro(v)
}

func (d *decoder) text() string {
	n := d.uint()
	if n > uint64(len(d.rest)) {
		d.damaged = true
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}
