package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// stateOptions make cmp compare the state of two machines, except for sequence numbers and the expiry queue.
var stateOptions = []cmp.Option{
	cmp.AllowUnexported(Machine{}, clock{}, programTable{}, program{}, turn{}),
	cmpopts.IgnoreFields(Machine{}, "sequence", "expiries"),
	cmpopts.IgnoreFields(turn{}, "sequence", "queueIndex"),
	cmpopts.EquateEmpty(),
}

// viaJSON returns the command as another replica decodes it from its log.
func viaJSON(t interface{ Fatal(...any) }, command Command) Command {
	data, err := json.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	var read Command
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

func TestReplicas_SameCommands_SameStateAndResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// given a log, a leader, and a replica that installs the leader's snapshot at some point
		maxGapMs := rapid.SampledFrom([]int{400, 15_000, 60_000}).Draw(t, "maximum gap")
		steps := writeScript(rapidChoice(t), 60, maxGapMs)
		installAt := rapid.IntRange(0, len(steps)-1).Draw(t, "snapshot before")
		leader, follower, installed, replaying := New(), New(), New(), New()
		for i, step := range steps {
			if i == installAt {
				if err := installed.Restore(leader.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			// when all of them apply it
			want := leader.Apply(step.command)
			command := viaJSON(t, step.command)
			replicas := []*Machine{follower}
			if i >= installAt {
				replicas = append(replicas, installed)
			}
			// then they have the same results and state
			for _, replica := range replicas {
				if diff := cmp.Diff(want, replica.Apply(command), cmpopts.EquateEmpty()); diff != "" {
					t.Fatalf("results at step %d (-leader +replica):\n%s", i, diff)
				}
				compareStats(t, leader, replica)
			}
			// and one that only replays the log has the same state
			replaying.Replay(command)
			compareStats(t, leader, replaying)
			if i%8 == 7 || i == len(steps)-1 {
				compareSnapshots(t, leader, append(replicas, replaying))
			}
		}
		if diff := cmp.Diff(leader, installed, stateOptions...); diff != "" {
			t.Fatalf("(-leader +installed):\n%s", diff)
		}
	})
}

func compareSnapshots(t *rapid.T, leader *Machine, replicas []*Machine) {
	want := string(leader.Snapshot())
	for i, replica := range replicas {
		if got := string(replica.Snapshot()); want != got {
			t.Fatalf("snapshots of the leader and replica %d (-leader +replica):\n%s", i, cmp.Diff(want, got))
		}
	}
}

func compareStats(t *rapid.T, leader, replica *Machine) {
	if want, got := leader.Stats(), replica.Stats(); want != got {
		t.Fatalf("stats: leader %+v, replica %+v", want, got)
	}
}

func TestSnapshot_EncodedByHand_EqualsEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// given a machine, some of whose names need escapes in JSON
		machine := New()
		for _, step := range writeScript(rapidChoice(t), 40, 15_000) {
			machine.Apply(step.command)
		}
		odd := rapid.String().Draw(t, "name")
		machine.Apply(beginImporting(odd+"<\"\\\x01>", odd, "&", "\xff"))
		machine.Apply(beginTurn("open", odd+"\xff", 7, 3))
		// when its snapshot is decoded and encoded again by encoding/json
		data := machine.Snapshot()
		var read Chunk
		if err := json.Unmarshal(data, &read); err != nil {
			t.Fatal(err)
		}
		written, err := json.Marshal(read)
		if err != nil {
			t.Fatal(err)
		}
		// then the bytes are the same
		if diff := cmp.Diff(string(written), string(data)); diff != "" {
			t.Fatalf("(-encoding/json +snapshot):\n%s", diff)
		}
	})
}

func TestSnapshot_EstimatedBytes_FitTightly(t *testing.T) {
	// given a machine with names of the usual length
	captured := filled(500).Capture()
	// when it is encoded, then the estimate is enough and at most about a tenth too large
	if data := captured.JSON(); len(data) > captured.estimatedBytes() || len(data) < captured.estimatedBytes()*9/10 {
		t.Errorf("%d bytes estimated and %d written", captured.estimatedBytes(), len(data))
	}
}

// The JSON around a chunk's list of turns, and two records for that list.
const (
	turnsHead    = `{"nowMs":90,"heardMs":90,"programs":[{"name":"p","reserved":5,"usedMs":80}],"turns":[`
	turnsTail    = `]}`
	firstTurn    = `{"turn":"a","state":1,"remembered":true,"dueMs":99,"input":"AAAA"}`
	importedTurn = `{"turn":"r","state":3,"input":"AAAA"}`
)

func turnsJSON(list ...string) string { return turnsHead + strings.Join(list, ",") + turnsTail }

var corruptSnapshots = []struct{ name, data, want string }{
	{"no data", ``, "JSON"},
	{"truncated data", turnsHead, "JSON"},
	{"a field of another type", `{"nowMs":"90"}`, "JSON"},
	{"a negative time of the clock", `{"nowMs":-1,"heardMs":1}`, "time of the clock is out of range"},
	{"a clock with only one of its two times", `{"nowMs":1}`, "only one of the two times"},
	{"a program without a name", `{"programs":[{}]}`, "name is empty"},
	{"a program that was used later than the clock's time", `{"nowMs":9,"heardMs":9,"programs":[{"name":"p","usedMs":10}]}`, "later than the clock"},
	{"a program with a negative number", `{"programs":[{"name":"p","spent":-1}]}`, "number of tokens is negative"},
	{"two programs with the same name", `{"programs":[{"name":"p"},{"name":"p"}]}`, "duplicate name"},
	{"programs that are not sorted by last use",
		`{"nowMs":9,"heardMs":9,"programs":[{"name":"p","usedMs":5},{"name":"q","usedMs":4}]}`, "earlier than that of the program before"},
	{"two turns with the same name", turnsJSON(firstTurn, firstTurn), "duplicate name"},
	{"a turn without a name", turnsJSON(`{"dueMs":99}`), "name is empty"},
	{"a turn in an undefined state", turnsJSON(`{"turn":"b","state":9,"dueMs":99}`), "unknown number"},
	{"a turn before its parent", turnsJSON(`{"turn":"b","remembered":true,"parent":1,"dueMs":99}`, firstTurn), "precede the turn"},
	{"a turn whose parent can't be continued",
		turnsJSON(`{"turn":"a","dueMs":99}`, `{"turn":"b","remembered":true,"parent":1,"dueMs":99}`), "can't be continued"},
	{"a turn of a program that isn't in the snapshot", turnsJSON(`{"turn":"b","program":"q","dueMs":99}`), "program is not in the snapshot"},
	{"a turn with more tokens reserved than its program", turnsJSON(`{"turn":"b","program":"p","most":6,"dueMs":99}`), "fewer tokens reserved"},
	{"a turn with a negative reservation", turnsJSON(`{"turn":"b","most":-1,"dueMs":99}`), "reservation, retention or expiry is out of range"},
	{"an ended turn with a reservation", turnsJSON(`{"turn":"b","state":2,"most":1,"dueMs":99}`), "has a program or a reservation"},
	{"a turn in flight with an output", turnsJSON(`{"turn":"b","remembered":true,"dueMs":99,"output":"AAAA"}`), "has an output"},
	{"a discarded turn with an input", turnsJSON(`{"turn":"b","state":2,"remembered":true,"dueMs":99,"input":"AAAA"}`), "has an input"},
	{"a turn that is retained for years", turnsJSON(`{"turn":"b","dueMs":99999999999}`), "later than the maximum retention"},
	{"a turn in flight without an expiry", turnsJSON(`{"turn":"b"}`), "isn't complete has no expiry"},
	{"a complete turn without an expiry that no turn continues", turnsJSON(`{"turn":"b","state":1,"remembered":true}`), "no turn continues it"},
	{"an imported chain that no turn continues", turnsJSON(importedTurn), "no turn continues it"},
	{"an imported chain with an expiry", turnsJSON(`{"turn":"r","state":3,"dueMs":99}`), "imported chain"},
	{"a complete turn that isn't remembered", turnsJSON(`{"turn":"b","state":1,"dueMs":99}`), "isn't remembered"},
}

func TestRestore_CorruptSnapshot_KeepsState(t *testing.T) {
	for _, test := range corruptSnapshots {
		t.Run("given "+test.name+" when it is restored then the state is unchanged", func(t *testing.T) {
			machine := filled(3)
			before := string(machine.Snapshot())
			err := machine.Restore([]byte(test.data))
			if !errors.Is(err, ErrCorruptSnapshot) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want ErrCorruptSnapshot with %q", err, test.want)
			}
			if diff := cmp.Diff(before, string(machine.Snapshot())); diff != "" {
				t.Errorf("(-before +after):\n%s", diff)
			}
		})
	}
	t.Run("given valid turns when they are restored then the machine holds them", func(t *testing.T) {
		machine := New()
		err := machine.Restore([]byte(turnsJSON(firstTurn, importedTurn,
			`{"turn":"b","remembered":true,"program":"p","most":5,"parent":2,"dueMs":99,"input":"AAAA"}`)))
		if err != nil {
			t.Fatal(err)
		}
		if want := (Stats{Turns: 2, Programs: 1, Bytes: 9}); machine.Stats() != want {
			t.Errorf("stats %+v, want %+v", machine.Stats(), want)
		}
	})
}

func TestCapture_MachineGoesOn_StaysUnchanged(t *testing.T) {
	// given a capture of a machine
	machine := filled(20)
	captured := machine.Capture()
	want := string(machine.Snapshot())
	// when the machine applies further commands, until all of its state has expired
	for i := range 20 {
		machine.Apply(endTurn(fmt.Sprintf("%08x%08x", i, 3), true, 5, "[out]", 1))
	}
	passTime(machine, 1, 1000)
	if stats := machine.Stats(); stats != (Stats{}) {
		t.Fatalf("%+v is left, want an empty state", stats)
	}
	// then the capture is unchanged
	if diff := cmp.Diff(want, string(captured.JSON())); diff != "" {
		t.Errorf("(-before +after):\n%s", diff)
	}
}

func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add(New().Snapshot())
	f.Add(filled(2).Snapshot())
	f.Add([]byte(`{"nowMs":9,"heardMs":9,"programs":[{"name":"p","reserved":5,"usedMs":8}],"turns":[` +
		`{"turn":"a","state":3,"input":"AAAA"},{"turn":"b","remembered":true,"program":"p","most":5,"parent":1,"dueMs":9}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		// given bytes that a machine can be restored from
		machine := New()
		if machine.Restore(data) != nil {
			return
		}
		// when the snapshot that it writes is restored, then the state is the same
		first := machine.Snapshot()
		restored := New()
		if err := restored.Restore(first); err != nil {
			t.Fatalf("restoring the machine's own snapshot: %v: %s", err, first)
		}
		if second := restored.Snapshot(); string(second) != string(first) {
			t.Fatalf("the snapshot %s was restored as %s", first, second)
		}
		// and when the retention of the turns and then that of the programs is over, then everything expires
		for range 2 {
			machine.clock.nowMs += 2 * maxRetentionMs
			for range len(data) {
				machine.Apply(Command{})
			}
		}
		if stats := machine.Stats(); stats != (Stats{}) || len(machine.imported) > 0 {
			t.Fatalf("%+v and %d imported chains are left", stats, len(machine.imported))
		}
	})
}

// filled returns a machine with count programs, each with a chain of three complete turns and one in flight.
func filled(count int) *Machine {
	machine := New()
	for i := range count {
		fill(machine, i)
	}
	return machine
}

// fill adds the program of a number, with its turns.
func fill(machine *Machine, number int) {
	const input, output = 800, 400
	program := fmt.Sprintf("%08x", number)
	previous := ""
	for i := range 4 {
		name := fmt.Sprintf("%08x%08x", number, i)
		command := beginRemembered(name, previous, strings.Repeat("i", input), 0)
		command.Begin.Program = program
		command.Begin.Budget = 1000
		command.Begin.MaxTokens = 100
		machine.Apply(command)
		if i < 3 {
			machine.Apply(endTurn(name, true, 80, strings.Repeat("o", output), 0))
		}
		previous = name
	}
}
