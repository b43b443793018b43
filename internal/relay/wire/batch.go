package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
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
