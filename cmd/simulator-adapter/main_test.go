package main

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mastusher/internal/relay/capture"
)

const setupText = `{"allowed": {"max_attempts": 4}, "family_info": {"workers": 4, "kind_apart": [false], "per_call": [1]},
	"lanes": [{"name": "a", "effect": "pure", "aim": 1000000, "deadline": 5000000, "worth": 1}], "peers_total": 2}`

type frame struct {
	b []byte
	n uint32
}

func (f *frame) rec(parts ...any) *frame {
	f.n++
	for _, p := range parts {
		if s, ok := p.(string); ok {
			f.b = append(f.b, s...)
			continue
		}
		f.b, _ = binary.Append(f.b, binary.BigEndian, p)
	}
	return f
}

func (f *frame) hello(target uint32) *frame {
	f.rec(uint8(1), uint64(9), uint32(len(setupText)), setupText)
	f.rec(uint8(11), uint8(0), uint32(1), target, uint16(0), uint16(0), uint16(57), uint8(0), float32(1), uint64(0))
	return f.rec(uint8(2), uint8(0), uint8(2), uint64(1))
}

func (f *frame) query(id uint64) *frame {
	return f.rec(uint8(3), id, float32(57), uint32(0), uint16(0), uint64(6e6), uint64(0), uint16(0), uint32(0))
}

func (f *frame) context(i uint16) *frame { return f.rec(uint8(12), i) }

func (f *frame) bytes(seq uint32, clock uint64) []byte {
	head, _ := binary.Append(nil, binary.BigEndian, seq)
	head, _ = binary.Append(head, binary.BigEndian, clock)
	head, _ = binary.Append(head, binary.BigEndian, uint32(20+len(f.b)))
	head, _ = binary.Append(head, binary.BigEndian, f.n)
	return append(head, f.b...)
}

// A list number used again within a batch means the newer list to those who come after it, and an instance
// that is killed and started again in one batch begins anew.
func TestRun_ReusedListAndRestartInBatch_NewerHolds(t *testing.T) {
	var in bytes.Buffer
	in.Write(new(frame).bytes(0, 1))
	in.Write(new(frame).context(1).hello(0xa1).query(1).context(2).hello(0xa2).query(2).bytes(1, 1000000))
	in.Write(new(frame).context(1).query(3).rec(uint8(10)).hello(0xa3).query(4).bytes(2, 1100000))
	var out bytes.Buffer
	dir := t.TempDir()
	if err := run(&in, &out, dir); err != nil {
		t.Fatal(err)
	}
	replays(t, dir, 3) // two instances, one of which had two lives
	assign := func(id uint64, target uint32) []byte {
		b, _ := binary.Append([]byte{5}, binary.BigEndian, id)
		b, _ = binary.Append(b, binary.BigEndian, target)
		return b
	}
	for id, target := range map[uint64]uint32{1: 0xa1, 2: 0xa2, 4: 0xa3} {
		if !bytes.Contains(out.Bytes(), assign(id, target)) {
			t.Errorf("message %d did not go to %x", id, target)
		}
	}
	if bytes.Contains(out.Bytes(), assign(3, 0xa1)) {
		t.Error("a message of the life that was killed was sent")
	}
}

func TestRun_MalformedInput_ErrorNamesRecord(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"no context": {new(frame).query(1).bytes(1, 1), "record 0"},
		"no list":    {new(frame).context(1).rec(uint8(2), uint8(7), uint8(2), uint64(1)).bytes(1, 1), "roster_id"},
		"bad JSON":   {new(frame).context(1).rec(uint8(1), uint64(1), uint32(1), "{").bytes(1, 1), "setup"},
		"no slots":   {new(frame).context(1).rec(uint8(1), uint64(1), uint32(2), "{}").bytes(1, 1), "setup"},
		"truncated":  {new(frame).context(1).bytes(1, 1)[:21], "truncated"},
	} {
		err := run(bytes.NewReader(c.in), new(bytes.Buffer), "")
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names %q", name, err, c.want)
		}
	}
}

// Instances share nothing: each acts alike whatever the order in which they come in a batch.
func TestRun_InstancesInOtherOrder_ActAlike(t *testing.T) {
	replies := func(order ...uint16) map[uint16]string {
		var in, out bytes.Buffer
		first := new(frame)
		for _, i := range order {
			first.context(i).hello(uint32(0xa0 + i)).query(uint64(10 * i)).query(uint64(10*i + 1))
		}
		in.Write(first.bytes(1, 1000000))
		if err := run(&in, &out, ""); err != nil {
			t.Fatal(err)
		}
		got := map[uint16]string{}
		for _, part := range strings.Split(out.String()[12:], "\x02\x00")[1:] { // As, of an instance under 256
			got[uint16(part[0])] = part[1:]
		}
		return got
	}
	a, b := replies(1, 2, 3), replies(3, 1, 2)
	for i := uint16(1); i <= 3; i++ {
		if a[i] == "" || a[i] != b[i] {
			t.Errorf("instance %d: %x, in another order %x", i, a[i], b[i])
		}
	}
}

// replays has all that was recorded replayed, with the same decisions.
func replays(t *testing.T, dir string, want int) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*"+capture.Ext))
	if len(files) != want {
		t.Errorf("%d captures, want %d", len(files), want)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		r, err := capture.NewReader(f)
		if err != nil {
			t.Fatal(err)
		}
		if res, err := capture.Replay(r, capture.Options{}); err != nil || res.Actions == 0 {
			t.Errorf("%s: %+v, %v", name, res, err)
		}
		_ = f.Close()
	}
}
