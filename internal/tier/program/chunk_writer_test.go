package program

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// chunksOf returns copies of the chunks that a machine writes.
func chunksOf(t interface{ Fatal(...any) }, machine *Machine) [][]byte {
	var chunks [][]byte
	err := machine.WriteChunks(func(chunk []byte) error {
		chunks = append(chunks, bytes.Clone(chunk))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return chunks
}

// restoreChunks replaces a machine's state by that of the chunks.
func restoreChunks(machine *Machine, chunks [][]byte) error {
	restorer := machine.BeginRestore()
	for _, chunk := range chunks {
		if err := restorer.Add(chunk); err != nil {
			return err
		}
	}
	return restorer.Finish()
}

// maxChunkBytes is the largest allowed length of a chunk: chunkBytes, plus a margin since the length of records is estimated.
const maxChunkBytes = chunkBytes + chunkBytes/8

func TestRestorer_AnyState_SameAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// given a machine, some of whose turns may be larger than a chunk
		machine := New()
		for _, step := range writeScript(rapidChoice(t), 40, 400) {
			machine.Apply(step.command)
		}
		sizes := rapid.OneOf(rapid.IntRange(0, 3*chunkBytes), rapid.SampledFrom([]int{contentFragmentBytes - 1, contentFragmentBytes, contentFragmentBytes + 1, 2 * contentFragmentBytes}))
		large := rapid.IntRange(0, 2).Draw(t, "large turns")
		for i := range large {
			name := fmt.Sprint("large ", i)
			machine.Apply(beginRemembered(name, "", strings.Repeat("i", sizes.Draw(t, "input")), 0))
			machine.Apply(endTurn(name, true, 1, strings.Repeat("o", sizes.Draw(t, "output")), 0))
		}
		// when another one is restored from its chunks
		chunks := chunksOf(t, machine)
		restored := filled(2)
		if err := restoreChunks(restored, chunks); err != nil {
			t.Fatal(err)
		}
		// then it has the same state and writes the same chunks
		if large == 0 { // cmp.Diff takes too long on large contents
			if diff := cmp.Diff(machine, restored, stateOptions...); diff != "" {
				t.Fatalf("(-machine +restored):\n%s", diff)
			}
		}
		if got, want := restored.Stats(), machine.Stats(); got != want {
			t.Fatalf("%+v was restored, want %+v", got, want)
		}
		if rewritten := chunksOf(t, restored); !slices.EqualFunc(chunks, rewritten, bytes.Equal) {
			t.Fatalf("%d chunks were restored, and the restored machine writes %d, or different ones", len(chunks), len(rewritten))
		}
		// and no chunk is longer than the bound
		for i, chunk := range chunks {
			if len(chunk) > maxChunkBytes {
				t.Fatalf("chunk %d of %d is too long: %d bytes", i, len(chunks), len(chunk))
			}
		}
	})
}

func TestWriteChunks_LargeState_BoundedAndFull(t *testing.T) {
	// given a machine with some MB in turns of usual length, and one turn with an input and an output of 1 MB each
	machine := filled(2000)
	machine.Apply(beginRemembered("large", "", strings.Repeat("i", 1<<20), 0))
	machine.Apply(endTurn("large", true, 1, strings.Repeat("o", 1<<20), 0))
	// when its chunks are written
	chunks := chunksOf(t, machine)
	total := 0
	for i, chunk := range chunks {
		if len(chunk) > maxChunkBytes {
			t.Errorf("chunk %d is too long: %d bytes", i, len(chunk))
		}
		total += len(chunk)
	}
	// then each is bounded, and there are not many more than the total length requires
	if maxChunks := total/chunkBytes*5/4 + 4; len(chunks) > maxChunks {
		t.Errorf("%d chunks for %d bytes, want at most %d", len(chunks), total, maxChunks)
	}
	// and another machine is restored from them
	restored := New()
	if err := restoreChunks(restored, chunks); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.Stats(), machine.Stats(); got != want {
		t.Errorf("%+v was restored, want %+v", got, want)
	}
	if chain, found := restored.Chain("large"); !found || len(chain) != 2<<20 {
		t.Errorf("the chain of the large turn has %d bytes, want 2 MB", len(chain))
	}
}

func TestRestorer_IncompleteSeries_KeepsState(t *testing.T) {
	machine := filled(400)
	machine.Apply(beginRemembered("large", "", strings.Repeat("i", 3*chunkBytes), 0))
	machine.Apply(endTurn("large", true, 1, strings.Repeat("o", chunkBytes), 0))
	machine.Apply(beginRemembered("next", "large", "i", 0))
	chunks := chunksOf(t, machine)
	machine.Apply(Command{Begin: &BeginTurn{Turn: "later", AtMs: 1_700_000_100_000}})
	later := chunksOf(t, machine)
	other := filled(3)
	passTime(other, 1, 5)
	without := func(number int) [][]byte {
		return append(append([][]byte(nil), chunks[:number]...), chunks[number+1:]...)
	}
	tests := []struct {
		name   string
		chunks [][]byte
	}{
		{"no chunks", nil},
		{"chunks without the first one", without(0)},
		{"chunks without the last one", chunks[:len(chunks)-1]},
		{"chunks with one of them repeated", append(append([][]byte(nil), chunks[:2]...), chunks[1:]...)},
		{"chunks followed by those of another machine", append(append([][]byte(nil), chunks...), chunksOf(t, other)...)},
		{"chunks of two snapshots of one machine", append(append([][]byte(nil), chunks[:1]...), later[1:]...)},
		{"a content fragment without a turn", [][]byte{[]byte(`{"nowMs":0,"heardMs":0,"more":{"input":"AAAA"}}`)}},
		{"a truncated chunk", append(append([][]byte(nil), chunks[:1]...), chunks[1][:len(chunks[1])/2])},
	}
	for _, test := range tests {
		t.Run("given "+test.name+" when they are restored then the state is unchanged", func(t *testing.T) {
			machine := filled(3)
			before := string(machine.Snapshot())
			if err := restoreChunks(machine, test.chunks); err == nil {
				t.Error("corrupt chunks were restored without an error")
			}
			if diff := cmp.Diff(before, string(machine.Snapshot())); diff != "" {
				t.Errorf("(-before +after):\n%s", diff)
			}
		})
	}
}

func TestWriteChunks_WriteFails_StopsAtFirstError(t *testing.T) {
	machine := filled(400)
	errDiskFull := errors.New("the disk is full")
	written := 0
	err := machine.WriteChunks(func([]byte) error {
		written++
		return errDiskFull
	})
	if err != errDiskFull || written != 1 {
		t.Errorf("%d chunks were written, error %v, want one and the writer's error", written, err)
	}
}

func FuzzRestoreChunks(f *testing.F) {
	f.Add([]byte(`{"goesOn":true}`), []byte(`{"number":1}`))
	f.Add([]byte(`{"nowMs":9,"heardMs":9,"goesOn":true,"turns":[{"turn":"a","state":1,"remembered":true,"dueMs":9,"input":"AAAA"}]}`),
		[]byte(`{"nowMs":9,"heardMs":9,"number":1,"more":{"input":"AAAA"}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		// given chunks that a machine can be restored from
		machine := New()
		if restoreChunks(machine, [][]byte{first, second}) != nil {
			return
		}
		// when the chunks that it writes are restored, then the state is the same
		restored := New()
		if err := restoreChunks(restored, chunksOf(t, machine)); err != nil {
			t.Fatal(err)
		}
		if want, got := string(machine.Snapshot()), string(restored.Snapshot()); want != got {
			t.Fatalf("the snapshot %s was restored as %s", want, got)
		}
	})
}
