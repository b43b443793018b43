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

// chunksOf gives copies of the parts of a machine's state.
func chunksOf(t interface{ Fatal(...any) }, machine *Machine) [][]byte {
	var parts [][]byte
	err := machine.WriteChunks(func(part []byte) error {
		parts = append(parts, bytes.Clone(part))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return parts
}

// restoreChunks gives a machine that was set to parts.
func restoreChunks(machine *Machine, parts [][]byte) error {
	restorer := machine.BeginRestore()
	for _, part := range parts {
		if err := restorer.Add(part); err != nil {
			return err
		}
	}
	return restorer.Finish()
}

// maxChunkBytes is what a part may take: records are measured with some room, names in full.
const maxChunkBytes = chunkBytes + chunkBytes/8

func TestRestorer_AnyState_SameAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// given a machine, also with contents that are far larger than a part
		machine := New()
		for _, step := range writeScript(drawing(t), 40, 400) {
			machine.Apply(step.command)
		}
		sizes := rapid.OneOf(rapid.IntRange(0, 3*chunkBytes), rapid.SampledFrom([]int{contentChunkBytes - 1, contentChunkBytes, contentChunkBytes + 1, 2 * contentChunkBytes}))
		large := rapid.IntRange(0, 2).Draw(t, "large turns")
		for i := range large {
			name := fmt.Sprint("large ", i)
			machine.Apply(beginRemembered(name, "", strings.Repeat("i", sizes.Draw(t, "input")), 0))
			machine.Apply(endTurn(name, true, 1, strings.Repeat("o", sizes.Draw(t, "output")), 0))
		}
		// when another one is set to its parts
		parts := chunksOf(t, machine)
		restored := filled(2)
		if err := restoreChunks(restored, parts); err != nil {
			t.Fatal(err)
		}
		// then it holds the same and gives the same parts
		if large == 0 { // comparing large contents so takes too long
			if diff := cmp.Diff(machine, restored, replicaView...); diff != "" {
				t.Fatalf("(-machine +restored):\n%s", diff)
			}
		}
		if got, want := restored.Stats(), machine.Stats(); got != want {
			t.Fatalf("%+v was restored, want %+v", got, want)
		}
		if again := chunksOf(t, restored); !slices.EqualFunc(parts, again, bytes.Equal) {
			t.Fatalf("%d parts became %d, or others", len(parts), len(again))
		}
		// and no part is longer than the bound
		for i, part := range parts {
			if len(part) > maxChunkBytes {
				t.Fatalf("part %d of %d takes %d bytes", i, len(parts), len(part))
			}
		}
	})
}

func TestWriteChunks_LargeState_BoundedAndFull(t *testing.T) {
	// given a machine with some MB in turns of usual length, and one turn of 1 MB
	machine := filled(2000)
	machine.Apply(beginRemembered("large", "", strings.Repeat("i", 1<<20), 0))
	machine.Apply(endTurn("large", true, 1, strings.Repeat("o", 1<<20), 0))
	// when its parts are taken
	parts := chunksOf(t, machine)
	total := 0
	for i, part := range parts {
		if len(part) > maxChunkBytes {
			t.Errorf("part %d takes %d bytes", i, len(part))
		}
		total += len(part)
	}
	// then there are not many more than needed
	if most := total/chunkBytes*5/4 + 4; len(parts) > most {
		t.Errorf("%d parts for %d bytes, want %d at most", len(parts), total, most)
	}
	// and another machine is set to them
	restored := New()
	if err := restoreChunks(restored, parts); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.Stats(), machine.Stats(); got != want {
		t.Errorf("%+v was restored, want %+v", got, want)
	}
	if chain, found := restored.Chain("large"); !found || len(chain) != 2<<20 {
		t.Errorf("the large turn has %d bytes", len(chain))
	}
}

func TestRestorer_IncompleteSeries_LeavesMachine(t *testing.T) {
	machine := filled(400)
	machine.Apply(beginRemembered("large", "", strings.Repeat("i", 3*chunkBytes), 0))
	machine.Apply(endTurn("large", true, 1, strings.Repeat("o", chunkBytes), 0))
	machine.Apply(beginRemembered("next", "large", "i", 0))
	parts := chunksOf(t, machine)
	machine.Apply(Command{Begin: &BeginTurn{Turn: "later", AtMs: 1_700_000_100_000}})
	later := chunksOf(t, machine)
	other := filled(3)
	passTime(other, 1, 5)
	without := func(number int) [][]byte {
		return append(append([][]byte(nil), parts[:number]...), parts[number+1:]...)
	}
	tests := []struct {
		name  string
		parts [][]byte
	}{
		{"none at all", nil},
		{"the first one missing", without(0)},
		{"the last one missing", parts[:len(parts)-1]},
		{"one twice", append(append([][]byte(nil), parts[:2]...), parts[1:]...)},
		{"one of another machine", append(append([][]byte(nil), parts...), chunksOf(t, other)...)},
		{"those of two moments", append(append([][]byte(nil), parts[:1]...), later[1:]...)},
		{"contents without a turn", [][]byte{[]byte(`{"nowMs":0,"heardMs":0,"more":{"input":"AAAA"}}`)}},
		{"one that is cut", append(append([][]byte(nil), parts[:1]...), parts[1][:len(parts[1])/2])},
	}
	for _, test := range tests {
		t.Run("given "+test.name+" when it is restored then the machine stays as it was", func(t *testing.T) {
			machine := filled(3)
			before := string(machine.Snapshot())
			if err := restoreChunks(machine, test.parts); err == nil {
				t.Error("no error")
			}
			if diff := cmp.Diff(before, string(machine.Snapshot())); diff != "" {
				t.Errorf("(-before +after):\n%s", diff)
			}
		})
	}
}

func TestWriteChunks_WriteFails_StopsAtFirstError(t *testing.T) {
	machine := filled(400)
	full := errors.New("the disk is full")
	taken := 0
	err := machine.WriteChunks(func([]byte) error {
		taken++
		return full
	})
	if err != full || taken != 1 {
		t.Errorf("%d parts were taken, error %v", taken, err)
	}
}

func FuzzRestoreChunks(f *testing.F) {
	f.Add([]byte(`{"goesOn":true}`), []byte(`{"number":1}`))
	f.Add([]byte(`{"nowMs":9,"heardMs":9,"goesOn":true,"turns":[{"turn":"a","state":1,"remembered":true,"dueMs":9,"input":"AAAA"}]}`),
		[]byte(`{"nowMs":9,"heardMs":9,"number":1,"more":{"input":"AAAA"}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		// given parts that a machine can be set to
		machine := New()
		if restoreChunks(machine, [][]byte{first, second}) != nil {
			return
		}
		// when its own parts are restored, then that is the same state
		again := New()
		if err := restoreChunks(again, chunksOf(t, machine)); err != nil {
			t.Fatal(err)
		}
		if want, got := string(machine.Snapshot()), string(again.Snapshot()); want != got {
			t.Fatalf("%s became %s", want, got)
		}
	})
}
