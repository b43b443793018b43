package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestReplication_ProposalsOfOneStep_LeaveBeforeSyncInOneAppend(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	ready := manual.step(Input{Proposals: []Proposal{command(1, 10), command(2, 10), command(3, 10)}})
	for _, id := range []string{"b", "c"} {
		if difference := cmp.Diff([][]uint64{{2, 3, 4}}, appendsTo(ready.MessagesBeforeSync, id)); difference != "" {
			t.Errorf("appends to %s (-want +got):\n%s", id, difference)
		}
	}
	if len(ready.Entries) != 3 || len(ready.CommittedEntries) != 0 || len(ready.Outcomes) != 0 {
		t.Errorf("ready %+v, want three entries, nothing committed and no outcome", ready)
	}
	ready = manual.acknowledge("c", 3)
	want := []Outcome{{Token: 1, Done: true}, {Token: 2, Done: true}}
	if difference := cmp.Diff(want, ready.Outcomes); difference != "" || len(ready.CommittedEntries) != 2 {
		t.Errorf("committed %v, outcomes (-want +got):\n%s", ready.CommittedEntries, difference)
	}
}

func TestReplication_NoResponses_AppendsArePipelined(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	for token := uint64(1); token <= 3; token++ {
		ready := manual.step(Input{Proposals: []Proposal{command(token, 10)}})
		if difference := cmp.Diff([][]uint64{{token + 1}}, appendsTo(ready.MessagesBeforeSync, "b")); difference != "" {
			t.Errorf("appends (-want +got):\n%s", difference)
		}
	}
}

func TestReplication_BytesInFlightAndPerMessage_AreBounded(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	const size = 10 << 10
	sent := 0
	for token := range uint64(300) {
		ready := manual.step(Input{Proposals: []Proposal{command(token, size)}})
		for _, indexes := range appendsTo(ready.MessagesBeforeSync, "b") {
			sent += len(indexes) * size
		}
	}
	if sent < defaultLimits.maxInflightBytes-2*size || sent > defaultLimits.maxInflightBytes+size {
		t.Errorf("%d bytes in flight, want about %d", sent, defaultLimits.maxInflightBytes)
	}
	ready := manual.acknowledge("b", 101)
	for _, indexes := range appendsTo(ready.MessagesBeforeSync, "b") {
		if len(indexes)*size > defaultLimits.maxMessageBytes {
			t.Errorf("a message has %d entries, more than maxMessageBytes allows", len(indexes))
		}
	}
	large := manual.step(Input{Proposals: []Proposal{command(999, 2*defaultLimits.maxMessageBytes)}})
	if len(large.Entries) != 1 || large.Entries[0].Index != 302 {
		t.Errorf("a single entry larger than a message is not appended: %d entries", len(large.Entries))
	}
}

func TestReplication_ConflictingLogs_AreRepairedInFewMessages(t *testing.T) {
	sim := newSimulation(5, 3, 0, noFaults)
	long := func(terms ...uint64) Recovered {
		var log []uint64
		for _, term := range terms {
			log = append(log, slices.Repeat([]uint64{term}, 200)...)
		}
		return diskOf(9, log...)
	}
	sim.nodes[0].disk = long(1, 4, 5)
	sim.nodes[1].disk = long(1, 2, 3)
	sim.nodes[2].disk = long(1, 4, 5)
	rejections := 0
	sim.drop = func(m Message) bool {
		if m.Kind == AppendEntriesResponse && m.Reject {
			rejections++
		}
		return false
	}
	sim.startAll()
	if !sim.commitsWithin(time.Second) {
		t.Fatal("no command is committed")
	}
	sim.runFor(4 * testHeartbeat)
	if got := sim.nodes[1].machine.Index; got < 600 {
		t.Errorf("the member with the conflicting log has applied %d entries, want at least 600", got)
	}
	if rejections > 4 {
		t.Errorf("%d rejections, want at most 4", rejections)
	}
	sim.requireSafe(t)
}

func TestReplication_AppendLost_IsRetriedWithinTwoHeartbeats(t *testing.T) {
	sim, first := newGroupWithLeader(t, 6, 3, 0)
	sim.drop = func(m Message) bool { return len(m.Entries) > 0 }
	sim.propose(first)
	sim.runFor(testHeartbeat / 4)
	sim.drop = nil
	sim.runFor(2 * testHeartbeat)
	if sim.checker.commands != 1 {
		t.Errorf("%d commands are acknowledged, want 1", sim.checker.commands)
	}
	sim.requireSafe(t)
}

func TestReplication_FollowerInactive_IsSentNoEntries(t *testing.T) {
	sim, first := newGroupWithLeader(t, 7, 3, 0)
	inactive := sim.others(first)[0]
	sim.kill(inactive)
	sim.runFor(2 * testElection)
	entries := 0
	sim.drop = func(m Message) bool {
		if m.To == inactive.id {
			entries += len(m.Entries)
		}
		return false
	}
	for range 100 {
		sim.propose(first)
		sim.runFor(testHeartbeat / 10)
	}
	if entries > 0 {
		t.Errorf("%d entries were sent to an inactive follower", entries)
	}
	sim.start(inactive)
	sim.runFor(4 * testHeartbeat)
	if got := inactive.machine.Index; got < 100 {
		t.Errorf("after its restart the follower has applied only %d entries, want at least 100", got)
	}
	sim.requireSafe(t)
}
