package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	batchHeader    = 20      // bytes: number, clock, length, count
	replyHeader    = 12      // bytes: number, length, count
	maxFrame       = 1 << 30 // bytes
	allocationStep = 1 << 20 // bytes allocated at a time while a frame is read

	lengthOffset = 12 // offset of the length in a batch
	countOffset  = 16 // offset of the record count in a batch
)

// Member is one endpoint of a list.
type Member struct {
	Target      uint32
	Site        uint16
	Kind        uint16
	Destination uint16
	Condition   uint8
	Units       float32
	ReadyAt     uint64
}

// Record is one event of a batch. Its Code determines which fields are set; see reader.next.
type Record struct {
	Code      uint8
	Instance  uint16 // of a Context event
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
	Seq     uint32 // number of the batch
	Clock   uint64 // microseconds
	Records []Record
}

// name returns the batch's name in errors.
func (b *Batch) name() string { return fmt.Sprintf("batch %d", b.Seq) }

// ParseBatch decodes one complete frame; the batch shares no memory with it. Its error is a *FrameError, or wraps a *RecordError.
func ParseBatch(frame []byte) (Batch, error) {
	r := reader{frame: frame}
	batch := Batch{Seq: r.u32("number"), Clock: r.u64("clock")}
	length, count := r.u32("length"), int(r.u32("records"))
	if r.err == nil && int(length) != len(frame) {
		return batch, &FrameError{batch.name(), "length", lengthOffset, fmt.Sprintf("%d, but the frame has %d bytes", length, len(frame))}
	}
	if r.err == nil && count > len(frame)-batchHeader {
		return batch, &FrameError{batch.name(), "records", countOffset, fmt.Sprintf("%d do not fit into the frame", count)}
	}
	if r.err == nil {
		batch.Records = make([]Record, 0, count)
	}
	for i := 0; i < count && r.err == nil; i++ {
		r.record = i
		batch.Records = append(batch.Records, r.next())
	}
	if r.err == nil && r.offset != len(frame) {
		r.fail("records", fmt.Sprintf("%d bytes follow the last record", len(frame)-r.offset))
	}
	if r.err != nil {
		return batch, fmt.Errorf("%s: %w", batch.name(), r.err)
	}
	return batch, nil
}

// ReadBatch reads and decodes the next frame. It uses buf, and returns it, possibly grown, for the next call. The error is io.EOF if the
// input ends between frames, else a *TruncatedError, one of ParseBatch or one of the input.
func ReadBatch(in io.Reader, buf []byte) (Batch, []byte, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(in, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = &TruncatedError{"batch header", n, batchHeader}
		}
		return Batch{}, buf, err
	}
	size := binary.BigEndian.Uint32(head[lengthOffset:])
	if size < batchHeader || size > maxFrame {
		return Batch{}, buf, &FrameError{"batch header", "length", lengthOffset, fmt.Sprintf("impossible length %d", size)}
	}
	// The buffer grows as the frame is read, so that a wrong length does not allocate memory for bytes that never follow.
	buf = append(buf[:0], head[:]...)
	for len(buf) < int(size) {
		read := len(buf)
		buf = append(buf, make([]byte, min(allocationStep, int(size)-read))...)
		if n, err := io.ReadFull(in, buf[read:]); err != nil {
			return Batch{}, buf, &TruncatedError{"batch", read + n, int(size)}
		}
	}
	batch, err := ParseBatch(buf)
	return batch, buf, err
}
