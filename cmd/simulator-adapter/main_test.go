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

// frame is a batch under construction.
type frame struct {
	body    []byte
	records uint32
}

// record appends a record: its code and its fields.
func (f *frame) record(fields ...any) *frame {
	f.records++
	for _, field := range fields {
		if text, ok := field.(string); ok {
			f.body = append(f.body, text...)
			continue
		}
		f.body, _ = binary.Append(f.body, binary.BigEndian, field)
	}
	return f
}

// hello starts an instance with one endpoint.
func (f *frame) hello(target uint32) *frame {
	f.record(uint8(1), uint64(9), uint32(len(setupText)), setupText)
	f.record(uint8(11), uint8(0), uint32(1), target, uint16(0), uint16(0), uint16(57), uint8(0), float32(1), uint64(0))
	return f.record(uint8(2), uint8(0), uint8(2), uint64(1))
}

// query submits a message.
func (f *frame) query(id uint64) *frame {
	return f.record(uint8(3), id, float32(57), uint32(0), uint16(0), uint64(6e6), uint64(0), uint16(0), uint32(0))
}

// context selects the instance of the records that follow.
func (f *frame) context(i uint16) *frame { return f.record(uint8(12), i) }

// bytes returns the batch with its header.
func (f *frame) bytes(seq uint32, clock uint64) []byte {
	head, _ := binary.Append(nil, binary.BigEndian, seq)
	head, _ = binary.Append(head, binary.BigEndian, clock)
	head, _ = binary.Append(head, binary.BigEndian, uint32(20+len(f.body)))
	head, _ = binary.Append(head, binary.BigEndian, f.records)
	return append(head, f.body...)
}

// A list number that is reused within a batch refers to the newer list in the records that follow. An instance that is killed and started
// again within a batch starts anew.
func TestRun_ReusedListAndRestartInBatch_NewerCounts(t *testing.T) {
	var in bytes.Buffer
	in.Write(new(frame).bytes(0, 1))
	in.Write(new(frame).context(1).hello(0xa1).query(1).context(2).hello(0xa2).query(2).bytes(1, 1000000))
	in.Write(new(frame).context(1).query(3).record(uint8(10)).hello(0xa3).query(4).bytes(2, 1100000))
	var out bytes.Buffer
	dir := t.TempDir()
	if err := run(&in, &out, dir); err != nil {
		t.Fatal(err)
	}
	checkCaptures(t, dir, 3) // two instances, one of which had two incarnations
	assign := func(id uint64, target uint32) []byte {
		b, _ := binary.Append([]byte{5}, binary.BigEndian, id)
		b, _ = binary.Append(b, binary.BigEndian, target)
		return b
	}
	for id, target := range map[uint64]uint32{1: 0xa1, 2: 0xa2, 4: 0xa3} {
		if !bytes.Contains(out.Bytes(), assign(id, target)) {
			t.Errorf("message %d was not assigned to endpoint %x", id, target)
		}
	}
	if bytes.Contains(out.Bytes(), assign(3, 0xa1)) {
		t.Error("a message of the killed incarnation was assigned to an endpoint")
	}
}

func TestRun_MalformedInput_ErrorNamesRecord(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"no context": {new(frame).query(1).bytes(1, 1), "record 0"},
		"no list":    {new(frame).context(1).record(uint8(2), uint8(7), uint8(2), uint64(1)).bytes(1, 1), "roster_id"},
		"bad JSON":   {new(frame).context(1).record(uint8(1), uint64(1), uint32(1), "{").bytes(1, 1), "setup"},
		"no slots":   {new(frame).context(1).record(uint8(1), uint64(1), uint32(2), "{}").bytes(1, 1), "setup"},
		"truncated":  {new(frame).context(1).bytes(1, 1)[:21], "truncated"},
	} {
		err := run(bytes.NewReader(c.in), new(bytes.Buffer), "")
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names %q", name, err, c.want)
		}
	}
}

// Instances share no state: the order of instances in a batch does not change the replies of any of them.
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
		for _, reply := range strings.Split(out.String()[12:], "\x02\x00")[1:] { // As, of an instance under 256
			got[uint16(reply[0])] = reply[1:]
		}
		return got
	}
	inOrder, otherwise := replies(1, 2, 3), replies(3, 1, 2)
	for i := uint16(1); i <= 3; i++ {
		if inOrder[i] == "" || inOrder[i] != otherwise[i] {
			t.Errorf("instance %d: actions %x, in another order %x", i, inOrder[i], otherwise[i])
		}
	}
}

// checkCaptures replays all captures in dir, of which there must be want; each must give the same decisions.
func checkCaptures(t *testing.T, dir string, want int) {
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
