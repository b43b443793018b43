package capture

import (
	"encoding/binary"
	"math"

	"mastusher/control"
)

// This file encodes the most frequent records to exactly the bytes that the CBOR library produces (a test compares them),
// but without reflection: on a processor that was asleep the library's reflection is most of a capture's cost.

// appendHead appends the head of a data item: its major type and its count or value.
func appendHead(b []byte, major byte, v uint64) []byte {
	switch major <<= 5; {
	case v < 24:
		return append(b, major|byte(v))
	case v <= math.MaxUint8:
		return append(b, major|24, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, major|25), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, major|26), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, major|27), v)
}

// fields encodes a CBOR map of at most 23 fields with keys below 24. Each new field increments the count in the map's head.
type fields struct {
	b         []byte
	headIndex int // index of the map's head in b
}

func newFields(b []byte) fields { return fields{append(b, 0xa0), len(b)} }

func (f *fields) key(k byte) {
	f.b = append(f.b, k)
	f.b[f.headIndex]++
}

func (f *fields) uint(k byte, v uint64) {
	if v != 0 {
		f.key(k)
		f.b = appendHead(f.b, 0, v)
	}
}

func (f *fields) int(k byte, v int64) {
	if v != 0 {
		f.requiredInt(k, v)
	}
}

// requiredInt writes a field that is written even if it is zero.
func (f *fields) requiredInt(k byte, v int64) {
	f.key(k)
	if v < 0 {
		f.b = appendHead(f.b, 1, uint64(-1-v))
	} else {
		f.b = appendHead(f.b, 0, uint64(v))
	}
}

func (f *fields) bool(k byte, v bool) {
	if v {
		f.key(k)
		f.b = append(f.b, 0xf5)
	}
}

func (f *fields) float(k byte, v float64) {
	if v != 0 {
		f.key(k)
		f.b = binary.BigEndian.AppendUint64(append(f.b, 0xfb), math.Float64bits(v))
	}
}

func (f *fields) text(k byte, s string) {
	if s != "" {
		f.key(k)
		f.b = append(appendHead(f.b, 3, uint64(len(s))), s...)
	}
}

// appendList writes a list as a field, unless the list is empty.
func appendList[T any](f *fields, k byte, list []T, item func([]byte, *T) []byte) {
	if len(list) == 0 {
		return
	}
	f.key(k)
	f.b = appendHead(f.b, 4, uint64(len(list)))
	for i := range list {
		f.b = item(f.b, &list[i])
	}
}

func appendEndpoint(b []byte, e *control.Endpoint) []byte {
	f := newFields(b)
	f.uint(1, uint64(e.ID))
	f.int(2, int64(e.Zone))
	f.int(3, int64(e.Kind))
	f.int(4, int64(e.Destination))
	f.uint(5, uint64(e.State))
	f.float(6, e.ListedLimit)
	f.float(7, e.MaxRate)
	return f.b
}

func appendEvent(b []byte, e *control.Event) []byte {
	f := newFields(b)
	f.uint(1, uint64(e.Kind))
	f.uint(2, e.ID)
	f.int(3, int64(e.Destination))
	f.int(4, int64(e.Class))
	f.int(5, int64(e.Tenant))
	f.uint(6, e.Key)
	f.int(7, int64(e.Deadline))
	f.bool(8, e.Resubmitted)
	f.int(9, int64(e.Attempt))
	f.bool(10, e.MayHaveRun)
	f.int(11, int64(e.RanAt))
	f.uint(12, uint64(e.Endpoint))
	f.uint(13, uint64(e.Result))
	f.int(14, int64(e.Elapsed))
	f.bool(15, e.Final)
	f.int(16, int64(e.RetryAfter))
	f.bool(17, e.Reported)
	f.float(18, e.Remaining)
	f.float(19, e.Limit)
	appendList(&f, 20, e.Endpoints, appendEndpoint)
	f.bool(21, e.Complete)
	return f.b
}

func appendAction(b []byte, a *control.Action) []byte {
	f := newFields(b)
	f.uint(1, uint64(a.Kind))
	f.uint(2, a.ID)
	f.uint(3, uint64(a.Endpoint))
	f.int(4, int64(a.Attempt))
	f.int(5, int64(a.Duration))
	f.int(6, int64(a.At))
	f.text(7, a.Text)
	return f.b
}

func appendTurn(b []byte, t *Turn) []byte {
	f := newFields(b)
	f.key(1)
	f.b = appendHead(f.b, 0, t.No)
	f.requiredInt(2, int64(t.Now))
	appendList(&f, 3, t.Events, appendEvent)
	appendList(&f, 4, t.Actions, appendAction)
	return f.b
}

// hasFastPath reports whether appendTurn can encode the turn. It can't encode the events with shared limits, which come only
// a few times a second.
func (t *Turn) hasFastPath() bool {
	for i := range t.Events {
		if t.Events[i].Shared != nil {
			return false
		}
	}
	return true
}

func appendMessage(b []byte, m *Message) []byte {
	f := newFields(b)
	f.key(1)
	f.b = appendHead(f.b, 0, m.Ref)
	f.key(2)
	f.b = append(appendHead(f.b, 3, uint64(len(m.Front))), m.Front...)
	f.key(3)
	f.b = append(appendHead(f.b, 3, uint64(len(m.ID))), m.ID...)
	return f.b
}

// appendInput encodes the inputs for which hasFastPath is true; the CBOR library encodes the others.
func appendInput(b []byte, in *Input) []byte {
	f := newFields(b)
	f.uint(1, in.No)
	f.requiredInt(2, int64(in.Now))
	appendList(&f, 3, in.Events, appendCoreEvent)
	f.uint(6, in.Sum)
	return f.b
}

// hasFastPath reports whether appendInput can encode all fields of the input.
func (in *Input) hasFastPath() bool {
	for i := range in.Events {
		if e := &in.Events[i]; e.List != nil || e.Mandate != nil || e.Shared != nil || len(e.Outcomes) > 0 || len(e.Accepted) > 0 {
			return false
		}
	}
	return len(in.Full) == 0 && !in.Failed
}

func appendCoreEvent(b []byte, e *CoreEvent) []byte {
	f := newFields(b)
	f.requiredInt(1, int64(e.Kind))
	f.int(2, int64(e.Front))
	f.uint(3, e.Ref)
	f.uint(4, e.Number)
	if a := e.Arrival; a != nil {
		f.key(5)
		f.b = appendArrival(f.b, a)
	}
	f.text(9, e.Text)
	f.int(10, int64(e.Items))
	return f.b
}

func appendArrival(b []byte, a *Arrival) []byte {
	f := newFields(b)
	f.key(1)
	f.b = append(appendHead(f.b, 3, uint64(len(a.ID))), a.ID...)
	f.int(2, int64(a.KeySize))
	f.int(3, int64(a.Partner))
	f.int(4, int64(a.Class))
	f.requiredInt(5, int64(a.Deadline))
	f.bool(6, a.Resubmitted)
	f.int(7, int64(a.Size))
	f.uint(8, a.Headers)
	f.bool(9, a.MayHaveRun)
	f.int(10, int64(a.MayHaveRunAt))
	f.int(11, int64(a.QueuedFor))
	f.uint(12, uint64(a.Verdict))
	f.int(13, int64(a.Status))
	f.text(14, a.Reason)
	f.int(15, int64(a.Tenant))
	f.uint(16, a.SeenUnderPolicy)
	return f.b
}

// appendFast encodes a record without the CBOR library; false: the record has no fast path.
func appendFast(b []byte, record any) ([]byte, bool) {
	switch r := record.(type) {
	case *Turn:
		if r.hasFastPath() {
			return appendTurn(b, r), true
		}
	case *Message:
		return appendMessage(b, r), true
	case *Input:
		if r.hasFastPath() {
			return appendInput(b, r), true
		}
	}
	return b, false
}
