package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func (n *node) member() Member { return Member{ID: n.id, Address: address(n.slot)} }

func (n *node) learner() Member {
	return Member{ID: n.id, Address: address(n.slot), Learner: true}
}

func membersOf(nodes ...*node) []Member {
	var members []Member
	for _, n := range nodes {
		members = append(members, n.member())
	}
	return members
}

func TestConfChange_MemberAdded_StartsAsLearnerAndIsPromoted(t *testing.T) {
	s, first := newGroupWithLeader(t, 1, 3, 1)
	for range 100 {
		s.propose(first)
	}
	s.setTargetMembers(membersOf(s.nodes...))
	s.requireMembers(t, time.Second, membersOf(s.nodes...))
	var learned, promoted bool
	for _, entry := range s.checker.log {
		if entry.Kind == ConfChange {
			learned, promoted = true, learned
		}
	}
	if !learned || !promoted {
		t.Error("it was not a learner first")
	}
	if !s.commitsWithin(time.Second) {
		t.Error("nothing is committed any more")
	}
}

func TestConfChange_DiskEmptied_ReturnsUnderNewIdentity(t *testing.T) {
	s, first := newGroupWithLeader(t, 2, 3, 0)
	for range 50 {
		s.propose(first)
	}
	s.runFor(testElection)
	lost := s.others(first)[0]
	old := lost.id
	s.wipe(lost)
	s.start(lost)
	s.setTargetMembers(membersOf(s.nodes...))
	s.requireMembers(t, 2*time.Second, membersOf(s.nodes...))
	if old == lost.id || lost.machine.Index == 0 {
		t.Errorf("%s has applied up to %d", lost.id, lost.machine.Index)
	}
	s.kill(s.others(lost)[0])
	if !s.commitsWithin(2 * time.Second) {
		t.Error("the new identity does not count towards a majority")
	}
	s.requireSafe(t)
}

func TestConfChange_VoterInactive_IsRemovedBeforeReplacementVotes(t *testing.T) {
	s, first := newGroupWithLeader(t, 3, 3, 1)
	lost, spare := s.others(first)[0], s.nodes[3]
	s.kill(lost)
	s.runFor(2 * testElection)
	var voters []int
	target := append(membersOf(s.others(spare)...), spare.member())
	s.setTargetMembers(target)
	for s.now < 2*time.Second && !cmp.Equal(s.checker.members, target, anyOrder) {
		s.runFor(time.Millisecond)
		group := newConfiguration(0, s.checker.members)
		if len(voters) == 0 || voters[len(voters)-1] != group.voters {
			voters = append(voters, group.voters)
		}
	}
	if difference := cmp.Diff([]int{3, 2, 3}, voters); difference != "" {
		t.Errorf("number of voters (-want +got):\n%s", difference)
	}
	s.requireMembers(t, time.Second, target)
}

func TestConfChange_VoterActive_StaysUntilReplacementVotes(t *testing.T) {
	s, first := newGroupWithLeader(t, 4, 3, 1)
	leaving := s.others(first)[0]
	target := append(membersOf(first), membersOf(s.others(first)[1:]...)...)
	s.setTargetMembers(target)
	maxVoters := 0
	for end := s.now + time.Second; s.now < end; s.runFor(time.Millisecond) {
		group := newConfiguration(0, s.checker.members)
		maxVoters = max(maxVoters, group.voters)
		if group.voters < 3 {
			t.Fatalf("only %d voters", group.voters)
		}
	}
	if maxVoters != 4 {
		t.Errorf("at most %d voters, want 4 for a while", maxVoters)
	}
	s.requireMembers(t, time.Second, target)
	if newest := newConfiguration(0, s.checker.members); newest.find(leaving.id) != nil {
		t.Errorf("%s is still in", leaving.id)
	}
}

func TestConfChange_LeaderRemoved_TransfersLeadership(t *testing.T) {
	s, first := newGroupWithLeader(t, 5, 3, 0)
	others := s.others(first)
	s.setTargetMembers(membersOf(others...))
	s.requireMembers(t, time.Second, membersOf(others...))
	began := s.now
	if !s.commitsWithin(time.Second) || s.leader() == first {
		t.Fatalf("nobody took over")
	}
	if s.now-began > testElection {
		t.Errorf("it took %v", s.now-began)
	}
	if first.replica.Status().IsLeader {
		t.Errorf("the removed leader goes on")
	}
	s.requireSafe(t)
}

func TestConfChange_RemovedMember_DoesNotDisturb(t *testing.T) {
	s, first := newGroupWithLeader(t, 6, 4, 0)
	removed := s.others(first)[0]
	s.isolate(removed)
	target := append(membersOf(first), membersOf(s.others(first)[1:]...)...)
	s.setTargetMembers(target)
	s.requireMembers(t, time.Second, target)
	term := first.replica.Status().Term
	s.heal()
	s.runFor(3 * time.Second)
	if got := first.replica.Status(); !got.IsLeader || got.Term != term {
		t.Errorf("the leader lost its term %d: %+v", term, got)
	}
	s.requireSafe(t)
}

func TestConfChange_LeaderLost_TargetIsReached(t *testing.T) {
	s, first := newGroupWithLeader(t, 7, 3, 1)
	s.kill(s.nodes[3])
	s.setTargetMembers(membersOf(s.nodes...))
	s.runFor(testElection)
	s.kill(first)
	s.runFor(4 * testElection)
	s.start(s.nodes[3])
	s.start(first)
	s.requireMembers(t, 2*time.Second, membersOf(s.nodes...))
}

func TestConfChange_TargetLearner_GetsNoVote(t *testing.T) {
	s, _ := newGroupWithLeader(t, 8, 3, 1)
	target := append(membersOf(s.nodes[:3]...), s.nodes[3].learner())
	s.setTargetMembers(target)
	s.requireMembers(t, time.Second, target)
	s.runFor(time.Second)
	s.requireMembers(t, 0, target)
	demoted := append(membersOf(s.nodes[0], s.nodes[3], s.nodes[1]), s.nodes[2].learner())
	s.setTargetMembers(demoted)
	s.requireMembers(t, time.Second, demoted)
}

func TestConfChange_AddressChanged_IsTakenOver(t *testing.T) {
	s, first := newGroupWithLeader(t, 9, 3, 0)
	target := membersOf(s.nodes...)
	target[2].Address = "10.9.9.9"
	s.setTargetMembers(target)
	s.requireMembers(t, time.Second, target)
	if got := first.replica.Address(target[2].ID); got != "10.9.9.9" {
		t.Errorf("address %q", got)
	}
}

func TestConfChange_DuplicateTargetMembers_ChangeNothing(t *testing.T) {
	s, _ := newGroupWithLeader(t, 10, 3, 0)
	target := membersOf(s.nodes...)
	duplicate := Member{ID: target[0].ID, Address: "10.9.9.9"}
	s.setTargetMembers(append(target, duplicate, Member{}))
	s.runFor(time.Second)
	if s.checker.confChanges != 0 {
		t.Errorf("%d changes, want none", s.checker.confChanges)
	}
}

func TestConfChange_LearnerWithoutConfiguration_IsNotPromoted(t *testing.T) {
	s, first := newGroupWithLeader(t, 11, 3, 1)
	spare := s.nodes[3]
	s.drop = func(m Message) bool { return m.To == spare.id && len(m.Entries) > 0 }
	s.setTargetMembers(membersOf(s.nodes...))
	s.runFor(time.Second)
	if got := first.replica.configurations.latest(); got.isVoter(spare.id) {
		t.Errorf("a member without entries has a vote")
	}
	s.drop = nil
	s.requireMembers(t, time.Second, membersOf(s.nodes...))
}

// runConfChangeBeforeCommitInTerm is the known way to lose a change of members: a leader's list reaches one other member, the
// next leader removes the first one by a majority of the smaller group, and the first one comes back with the larger
// group's majority.
func runConfChangeBeforeCommitInTerm(t *testing.T) string {
	t.Helper()
	s := newSimulation(12, 4, 1, noFaults)
	s.startAll()
	fifth := s.nodes[4]
	s.runUntil(time.Second, func() bool { return s.leader() != nil })
	first := s.leader()
	initial := membersOf(s.nodes[:4]...)
	s.setTargetMembers(append(initial, fifth.learner()))
	s.requireMembers(t, time.Second, s.targetMembers)
	s.runFor(4 * testHeartbeat)

	// The promotion of the fifth reaches only the fifth.
	rest := []*node{}
	for _, n := range s.nodes[:4] {
		if n != first {
			rest = append(rest, n)
		}
	}
	s.drop = func(m Message) bool { return m.From == first.id && m.To != fifth.id }
	first.inbox.TargetMembers = membersOf(s.nodes...)
	s.wake(first)
	s.runFor(4 * time.Millisecond)

	// The others have a new leader that removes the first; its entries reach only one of them.
	second := rest[0]
	smaller := append(membersOf(rest...), fifth.learner())
	for _, n := range rest {
		n.inbox.TargetMembers = smaller
		s.wake(n)
	}
	s.drop = func(m Message) bool {
		outside := m.From == first.id || m.To == first.id || m.From == fifth.id || m.To == fifth.id
		campaignsElsewhere := m.Kind == RequestVote && m.From != second.id
		return outside || campaignsElsewhere || m.Kind == AppendEntries && m.To == rest[2].id
	}
	s.runFor(8 * testElection)

	// The first comes back with the fifth and the one that has heard nothing.
	s.drop = func(m Message) bool {
		inside := func(id string) bool { return id == first.id || id == fifth.id || id == rest[2].id }
		return !inside(m.From) || !inside(m.To) || m.Kind == RequestVote && m.From != first.id
	}
	s.runFor(8 * testElection)
	if s.leader() != first {
		t.Logf("the first leader did not come back")
	}
	s.drop = nil
	s.runFor(8 * testElection)
	return s.checker.violation
}

func TestConfChange_NothingCommittedInTerm_Waits(t *testing.T) {
	if violation := runConfChangeBeforeCommitInTerm(t); violation != "" {
		t.Error(violation)
	}
}
