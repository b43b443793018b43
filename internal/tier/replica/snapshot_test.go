package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newCompactedGroup starts a group that has compacted its first 200 entries, except for the trailing ones that each log
// keeps.
func newCompactedGroup(t *testing.T, seed uint64, members, spares int) (*simulation, *node) {
	t.Helper()
	sim, first := newGroupWithLeader(t, seed, members, spares)
	for range 200 {
		sim.propose(first)
	}
	sim.runFor(2 * testHeartbeat)
	for _, n := range sim.nodes {
		sim.compactNode(n)
	}
	sim.runFor(testHeartbeat)
	if first.replica.log.offset == 0 {
		t.Fatal("the leader's log was not compacted")
	}
	return sim, first
}

func TestSnapshot_MemberFarBehind_GetsSnapshotThenEntries(t *testing.T) {
	s, first := newCompactedGroup(t, 1, 3, 1)
	for range 20 {
		s.propose(first)
	}
	s.setTargetMembers(membersOf(s.nodes...))
	s.requireMembers(t, time.Second, membersOf(s.nodes...))
	s.runFor(2 * testHeartbeat)
	if got := s.messages[InstallSnapshot]; got != snapshotChunks {
		t.Errorf("%d snapshot chunks were sent, want %d", got, snapshotChunks)
	}
	if s.nodes[3].machine != first.machine {
		t.Errorf("state %+v, want %+v", s.nodes[3].machine, first.machine)
	}
}

func TestSnapshot_ChunkLost_IsRetried(t *testing.T) {
	s, _ := newCompactedGroup(t, 2, 3, 1)
	lost := 0
	s.drop = func(m Message) bool {
		if m.Kind == InstallSnapshot && lost == 0 {
			lost++
			return true
		}
		return false
	}
	s.setTargetMembers(membersOf(s.nodes...))
	s.requireMembers(t, time.Second, membersOf(s.nodes...))
	if lost != 1 {
		t.Error("no chunk was dropped")
	}
}

func TestSnapshot_MemberInactive_IsSentNone(t *testing.T) {
	sim, first := newGroupWithLeader(t, 3, 3, 0)
	lost := sim.others(first)[0]
	sim.kill(lost)
	sim.runFor(2 * testElection)
	for range 200 {
		sim.propose(first)
	}
	sim.runFor(2 * testHeartbeat)
	sim.compactNode(first)
	sim.runFor(10 * testElection)
	if got := sim.messages[InstallSnapshot]; got != 0 {
		t.Errorf("%d snapshot chunks were sent to an inactive follower", got)
	}
	sim.start(lost)
	sim.runFor(4 * testHeartbeat)
	if lost.machine != first.machine {
		t.Errorf("state %+v, want %+v", lost.machine, first.machine)
	}
	sim.requireSafe(t)
}

func TestSnapshot_MemberALittleBehind_NeedsNone(t *testing.T) {
	sim, first := newGroupWithLeader(t, 4, 3, 0)
	behind := sim.others(first)[0]
	sim.kill(behind)
	for range int(defaultLimits.trailingEntries) / 2 {
		sim.propose(first)
	}
	sim.runFor(2 * testHeartbeat)
	sim.compactNode(first)
	sim.start(behind)
	sim.runFor(4 * testHeartbeat)
	if got := sim.messages[InstallSnapshot]; got != 0 {
		t.Errorf("%d snapshot chunks were sent, want none", got)
	}
	if behind.machine != first.machine {
		t.Errorf("state %+v, want %+v", behind.machine, first.machine)
	}
}

func TestSnapshot_AllRestarted_GroupGoesOn(t *testing.T) {
	s, _ := newCompactedGroup(t, 5, 3, 0)
	for _, n := range s.nodes {
		s.kill(n)
	}
	s.startAll()
	if !s.commitsWithin(time.Second) {
		t.Error("no command is committed after the restart")
	}
	s.requireSafe(t)
}

func TestFollower_InstallSnapshot_InstallsOrAcknowledges(t *testing.T) {
	snapshot := func(index, term uint64) *Snapshot {
		return &Snapshot{Index: index, Term: term, Members: []Member{{ID: "a"}, {ID: "b"}}, Chunks: 1}
	}
	cases := []struct {
		name    string
		log     []uint64
		commit  uint64
		sent    *Snapshot
		matched uint64
		install bool
		last    uint64
	}{
		{name: "far behind", log: []uint64{1}, sent: snapshot(9, 2), matched: 9, install: true, last: 9},
		{name: "a conflicting log", log: []uint64{1, 1, 1, 1}, sent: snapshot(3, 2), matched: 3, install: true, last: 3},
		{name: "the log has the snapshot's last entry", log: []uint64{1, 2, 2, 2}, sent: snapshot(3, 2), matched: 3, last: 4},
		{name: "more is committed than the snapshot covers", log: []uint64{1, 2, 2, 2}, commit: 4, sent: snapshot(3, 2), matched: 4, last: 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestFollower(t, 2, tc.log...)
			if tc.commit > 0 {
				term := tc.log[tc.commit-1]
				r.Step(0, Input{Messages: []Message{{
					Kind: AppendEntries, From: "a", To: "b", Term: 2, Index: tc.commit, LogTerm: term, Commit: tc.commit,
				}}})
			}
			message := Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 2, Snapshot: tc.sent}
			ready := r.Step(0, Input{Messages: []Message{message}})
			want := []Message{{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 2, Index: tc.matched}}
			if difference := cmp.Diff(want, ready.MessagesAfterSync); difference != "" {
				t.Errorf("response (-want +got):\n%s", difference)
			}
			if installed := ready.Snapshot != nil; installed != tc.install || r.Status().LastIndex != tc.last {
				t.Errorf("wrong result: installed %v, last index %d", installed, r.Status().LastIndex)
			}
			if ready.TruncateFrom != 0 || len(ready.Entries) != 0 {
				t.Errorf("truncated from %d, appended %v, want neither", ready.TruncateFrom, ready.Entries)
			}
		})
	}
}

func TestCompaction_BeyondApplied_IsIgnored(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	for token := range uint64(200) {
		manual.step(Input{Proposals: []Proposal{command(token, 1)}})
	}
	manual.acknowledge("b", 150)
	metadata := manual.r.SnapshotMetadata()
	if metadata.Index != 150 || metadata.Term != 1 || len(metadata.Members) != 3 {
		t.Fatalf("metadata %+v, want index 150, term 1 and three members", metadata)
	}
	ahead := metadata
	ahead.Index = 151
	manual.step(Input{Compact: &ahead})
	if got := manual.r.log.offset; got != 0 {
		t.Errorf("the log is compacted to %d by a snapshot beyond the applied entries", got)
	}
	manual.step(Input{Compact: &metadata})
	if got, want := manual.r.log.offset, metadata.Index-defaultLimits.trailingEntries; got != want {
		t.Errorf("the log is compacted to %d, want %d", got, want)
	}
	if got := manual.r.Status().LastIndex; got != 201 {
		t.Errorf("last index %d, want 201", got)
	}
}

func TestCompaction_TrailingEntries_AreBoundedInBytes(t *testing.T) {
	// A leader keeps as many trailing entries of the given size as may be in flight.
	const size = 100 << 10
	manual := newManualLeader(t, "a", "b", "c")
	for token := range uint64(20) {
		manual.step(Input{Proposals: []Proposal{command(token, size)}})
	}
	manual.acknowledge("b", 21)
	metadata := manual.r.SnapshotMetadata()
	manual.step(Input{Compact: &metadata})
	if got, want := manual.r.log.offset, uint64(21-defaultLimits.maxInflightBytes/size); got != want {
		t.Errorf("the leader's log is compacted to %d, want %d", got, want)
	}
	// A follower keeps fewer of them.
	r := newTestFollower(t, 2)
	entries := make([]Entry, 20)
	for i := range entries {
		entries[i] = Entry{Index: uint64(i + 1), Term: 2, Data: command(1, size).Data}
	}
	r.Step(0, Input{Messages: []Message{{Kind: AppendEntries, From: "a", To: "b", Term: 2, Commit: 20, Entries: entries}}})
	metadata = r.SnapshotMetadata()
	r.Step(0, Input{Compact: &metadata})
	if got, want := r.log.offset, uint64(20-defaultLimits.trailingBytes/size); got != want {
		t.Errorf("the follower's log is compacted to %d, want %d", got, want)
	}
}
