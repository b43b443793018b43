package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// givenCompacted starts a group whose first 200 entries only the snapshots hold, but for those kept as a tail.
func givenCompacted(t *testing.T, seed uint64, members, spares int) (*simulation, *node) {
	t.Helper()
	s, first := givenOwner(t, seed, members, spares)
	for range 200 {
		s.propose(first)
	}
	s.runFor(2 * testHeartbeat)
	for _, n := range s.nodes {
		s.compactNode(n)
	}
	s.runFor(testHeartbeat)
	if first.replica.log.offset == 0 {
		t.Fatal("nothing was compacted")
	}
	return s, first
}

func TestMemberFarBehindGetsASnapshotAndThenEntries(t *testing.T) {
	s, first := givenCompacted(t, 1, 3, 1)
	for range 20 {
		s.propose(first)
	}
	s.setWanted(membersOf(s.nodes...))
	s.thenGroupIs(t, time.Second, membersOf(s.nodes...))
	s.runFor(2 * testHeartbeat)
	if got := s.messages[InstallSnapshot]; got != snapshotParts {
		t.Errorf("%d parts of snapshots were sent, want %d", got, snapshotParts)
	}
	if s.nodes[3].machine != first.machine {
		t.Errorf("state %+v, want %+v", s.nodes[3].machine, first.machine)
	}
}

func TestLostSnapshotIsSentAgain(t *testing.T) {
	s, _ := givenCompacted(t, 2, 3, 1)
	lost := 0
	s.drop = func(m Message) bool {
		if m.Kind == InstallSnapshot && lost == 0 {
			lost++
			return true
		}
		return false
	}
	s.setWanted(membersOf(s.nodes...))
	s.thenGroupIs(t, time.Second, membersOf(s.nodes...))
	if lost != 1 {
		t.Error("no snapshot was lost")
	}
}

func TestMemberThatIsGoneIsSentNoSnapshots(t *testing.T) {
	s, first := givenOwner(t, 3, 3, 0)
	gone := s.others(first)[0]
	s.kill(gone)
	s.runFor(2 * testElection)
	for range 200 {
		s.propose(first)
	}
	s.runFor(2 * testHeartbeat)
	s.compactNode(first)
	s.runFor(10 * testElection)
	if got := s.messages[InstallSnapshot]; got != 0 {
		t.Errorf("%d snapshots were sent", got)
	}
	s.start(gone)
	s.runFor(4 * testHeartbeat)
	if gone.machine != first.machine {
		t.Errorf("state %+v, want %+v", gone.machine, first.machine)
	}
	s.thenHolds(t)
}

func TestMemberALittleBehindNeedsNoSnapshot(t *testing.T) {
	s, first := givenOwner(t, 4, 3, 0)
	behind := s.others(first)[0]
	s.kill(behind)
	for range int(defaultLimits.trailingEntries) / 2 {
		s.propose(first)
	}
	s.runFor(2 * testHeartbeat)
	s.compactNode(first)
	s.start(behind)
	s.runFor(4 * testHeartbeat)
	if got := s.messages[InstallSnapshot]; got != 0 {
		t.Errorf("%d snapshots were sent", got)
	}
	if behind.machine != first.machine {
		t.Errorf("state %+v, want %+v", behind.machine, first.machine)
	}
}

func TestGroupGoesOnFromItsSnapshotsAfterARestart(t *testing.T) {
	s, _ := givenCompacted(t, 5, 3, 0)
	for _, n := range s.nodes {
		s.kill(n)
	}
	s.startAll()
	if !s.whenDone(time.Second) {
		t.Error("nothing is committed after the restart")
	}
	s.thenHolds(t)
}

func TestFollowerAndSnapshots(t *testing.T) {
	snapshot := func(index, epoch uint64) *Snapshot {
		return &Snapshot{Index: index, Term: epoch, Members: []Member{{ID: "a"}, {ID: "b"}}, Chunks: 1}
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
		{name: "another log", log: []uint64{1, 1, 1, 1}, sent: snapshot(3, 2), matched: 3, install: true, last: 3},
		{name: "has it all", log: []uint64{1, 2, 2, 2}, sent: snapshot(3, 2), matched: 3, last: 4},
		{name: "committed more", log: []uint64{1, 2, 2, 2}, commit: 4, sent: snapshot(3, 2), matched: 4, last: 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := givenFollower(t, 2, tc.log...)
			if tc.commit > 0 {
				epoch := tc.log[tc.commit-1]
				r.Step(0, Input{Messages: []Message{{
					Kind: AppendEntries, From: "a", To: "b", Term: 2, Index: tc.commit, LogTerm: epoch, Commit: tc.commit,
				}}})
			}
			message := Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 2, Snapshot: tc.sent}
			effects := r.Step(0, Input{Messages: []Message{message}})
			want := []Message{{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 2, Index: tc.matched}}
			if difference := cmp.Diff(want, effects.MessagesAfterSync); difference != "" {
				t.Errorf("answer (-want +got):\n%s", difference)
			}
			if installed := effects.Snapshot != nil; installed != tc.install || r.Status().LastIndex != tc.last {
				t.Errorf("installed %v, last %d", installed, r.Status().LastIndex)
			}
			if effects.TruncateFrom != 0 || len(effects.Entries) != 0 {
				t.Errorf("truncate %d, append %v", effects.TruncateFrom, effects.Entries)
			}
		})
	}
}

func TestCompactionIsOnlyForWhatWasApplied(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	for token := range uint64(200) {
		p.step(Input{Proposals: []Proposal{command(token, 1)}})
	}
	p.acknowledge("b", 150)
	mark := p.r.SnapshotMetadata()
	if mark.Index != 150 || mark.Term != 1 || len(mark.Members) != 3 {
		t.Fatalf("mark %+v", mark)
	}
	ahead := mark
	ahead.Index = 151
	p.step(Input{Compact: &ahead})
	if got := p.r.log.offset; got != 0 {
		t.Errorf("compacted to %d", got)
	}
	p.step(Input{Compact: &mark})
	if got, want := p.r.log.offset, mark.Index-defaultLimits.trailingEntries; got != want {
		t.Errorf("compacted to %d, want %d", got, want)
	}
	if got := p.r.Status().LastIndex; got != 201 {
		t.Errorf("last %d", got)
	}
}

func TestCompactionKeepsATailOfBoundedBytes(t *testing.T) {
	// Given an owner with 20 large commands, of which those that fit into what may be in flight are kept,
	const size = 100 << 10
	p := givenOwnerByHand(t, "a", "b", "c")
	for token := range uint64(20) {
		p.step(Input{Proposals: []Proposal{command(token, size)}})
	}
	p.acknowledge("b", 21)
	mark := p.r.SnapshotMetadata()
	p.step(Input{Compact: &mark})
	if got, want := p.r.log.offset, uint64(21-defaultLimits.maxInflightBytes/size); got != want {
		t.Errorf("the owner's log is compacted to %d, want %d", got, want)
	}
	// and a follower with the same, which keeps less.
	r := givenFollower(t, 2)
	entries := make([]Entry, 20)
	for i := range entries {
		entries[i] = Entry{Index: uint64(i + 1), Term: 2, Data: command(1, size).Data}
	}
	r.Step(0, Input{Messages: []Message{{Kind: AppendEntries, From: "a", To: "b", Term: 2, Commit: 20, Entries: entries}}})
	mark = r.SnapshotMetadata()
	r.Step(0, Input{Compact: &mark})
	if got, want := r.log.offset, uint64(20-defaultLimits.trailingBytes/size); got != want {
		t.Errorf("the follower's log is compacted to %d, want %d", got, want)
	}
}
