package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var anyOrder = cmpopts.SortSlices(func(a, b Member) bool { return a.ID < b.ID })

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

// thenGroupIs waits until the committed group is the one given.
func (s *simulation) thenGroupIs(t *testing.T, within time.Duration, want []Member) {
	t.Helper()
	s.runUntil(s.now+within, func() bool { return cmp.Equal(s.checker.group, want, anyOrder) })
	if difference := cmp.Diff(want, s.checker.group, anyOrder); difference != "" {
		t.Fatalf("group after %v (-want +got):\n%s", within, difference)
	}
	s.thenHolds(t)
}

func TestMemberIsAddedAsLearnerAndPromoted(t *testing.T) {
	s, first := givenOwner(t, 1, 3, 1)
	for range 100 {
		s.propose(first)
	}
	s.setWanted(membersOf(s.nodes...))
	s.thenGroupIs(t, time.Second, membersOf(s.nodes...))
	var learned, promoted bool
	for _, entry := range s.checker.log {
		if entry.Kind == ConfChange {
			learned, promoted = true, learned
		}
	}
	if !learned || !promoted {
		t.Error("it was not a learner first")
	}
	if !s.whenDone(time.Second) {
		t.Error("nothing is committed any more")
	}
}

func TestEmptiedDiskComesBackUnderANewIdentity(t *testing.T) {
	s, first := givenOwner(t, 2, 3, 0)
	for range 50 {
		s.propose(first)
	}
	s.runFor(testElection)
	lost := s.others(first)[0]
	old := lost.id
	s.wipe(lost)
	s.start(lost)
	s.setWanted(membersOf(s.nodes...))
	s.thenGroupIs(t, 2*time.Second, membersOf(s.nodes...))
	if old == lost.id || lost.machine.Index == 0 {
		t.Errorf("%s has applied up to %d", lost.id, lost.machine.Index)
	}
	s.kill(s.others(lost)[0])
	if !s.whenDone(2 * time.Second) {
		t.Error("the new identity does not count towards a majority")
	}
	s.thenHolds(t)
}

func TestVoterThatIsGoneLeavesBeforeItsSuccessorVotes(t *testing.T) {
	s, first := givenOwner(t, 3, 3, 1)
	gone, spare := s.others(first)[0], s.nodes[3]
	s.kill(gone)
	s.runFor(2 * testElection)
	var voters []int
	wanted := append(membersOf(s.others(spare)...), spare.member())
	s.setWanted(wanted)
	for s.now < 2*time.Second && !cmp.Equal(s.checker.group, wanted, anyOrder) {
		s.runFor(time.Millisecond)
		group := newConfiguration(0, s.checker.group)
		if len(voters) == 0 || voters[len(voters)-1] != group.voters {
			voters = append(voters, group.voters)
		}
	}
	if difference := cmp.Diff([]int{3, 2, 3}, voters); difference != "" {
		t.Errorf("number of voters (-want +got):\n%s", difference)
	}
	s.thenGroupIs(t, time.Second, wanted)
}

func TestVoterThatAnswersStaysUntilItsSuccessorVotes(t *testing.T) {
	s, first := givenOwner(t, 4, 3, 1)
	leaving := s.others(first)[0]
	wanted := append(membersOf(first), membersOf(s.others(first)[1:]...)...)
	s.setWanted(wanted)
	most := 0
	for end := s.now + time.Second; s.now < end; s.runFor(time.Millisecond) {
		group := newConfiguration(0, s.checker.group)
		most = max(most, group.voters)
		if group.voters < 3 {
			t.Fatalf("only %d voters", group.voters)
		}
	}
	if most != 4 {
		t.Errorf("at most %d voters, want 4 for a while", most)
	}
	s.thenGroupIs(t, time.Second, wanted)
	if newest := newConfiguration(0, s.checker.group); newest.find(leaving.id) != nil {
		t.Errorf("%s is still in", leaving.id)
	}
}

func TestOwnerThatIsRemovedHandsOver(t *testing.T) {
	s, first := givenOwner(t, 5, 3, 0)
	others := s.others(first)
	s.setWanted(membersOf(others...))
	s.thenGroupIs(t, time.Second, membersOf(others...))
	begun := s.now
	if !s.whenDone(time.Second) || s.owner() == first {
		t.Fatalf("nobody took over")
	}
	if s.now-begun > testElection {
		t.Errorf("it took %v", s.now-begun)
	}
	if first.replica.Status().IsLeader {
		t.Errorf("the removed owner goes on")
	}
	s.thenHolds(t)
}

func TestRemovedMemberDoesNotDisturb(t *testing.T) {
	s, first := givenOwner(t, 6, 4, 0)
	removed := s.others(first)[0]
	s.isolate(removed)
	wanted := append(membersOf(first), membersOf(s.others(first)[1:]...)...)
	s.setWanted(wanted)
	s.thenGroupIs(t, time.Second, wanted)
	epoch := first.replica.Status().Term
	s.heal()
	s.runFor(3 * time.Second)
	if got := first.replica.Status(); !got.IsLeader || got.Term != epoch {
		t.Errorf("the owner lost its epoch %d: %+v", epoch, got)
	}
	s.thenHolds(t)
}

func TestWantedGroupOutlastsTheOwner(t *testing.T) {
	s, first := givenOwner(t, 7, 3, 1)
	s.kill(s.nodes[3])
	s.setWanted(membersOf(s.nodes...))
	s.runFor(testElection)
	s.kill(first)
	s.runFor(4 * testElection)
	s.start(s.nodes[3])
	s.start(first)
	s.thenGroupIs(t, 2*time.Second, membersOf(s.nodes...))
}

func TestLearnerThatIsWantedAsSuchGetsNoVote(t *testing.T) {
	s, _ := givenOwner(t, 8, 3, 1)
	wanted := append(membersOf(s.nodes[:3]...), s.nodes[3].learner())
	s.setWanted(wanted)
	s.thenGroupIs(t, time.Second, wanted)
	s.runFor(time.Second)
	s.thenGroupIs(t, 0, wanted)
	demoted := append(membersOf(s.nodes[0], s.nodes[3], s.nodes[1]), s.nodes[2].learner())
	s.setWanted(demoted)
	s.thenGroupIs(t, time.Second, demoted)
}

func TestAddressOfAMemberChanges(t *testing.T) {
	s, first := givenOwner(t, 9, 3, 0)
	wanted := membersOf(s.nodes...)
	wanted[2].Address = "10.9.9.9"
	s.setWanted(wanted)
	s.thenGroupIs(t, time.Second, wanted)
	if got := first.replica.Address(wanted[2].ID); got != "10.9.9.9" {
		t.Errorf("address %q", got)
	}
}

func TestWantedGroupWithRepeatedMembersSettles(t *testing.T) {
	s, _ := givenOwner(t, 10, 3, 0)
	wanted := membersOf(s.nodes...)
	again := Member{ID: wanted[0].ID, Address: "10.9.9.9"}
	s.setWanted(append(wanted, again, Member{}))
	s.runFor(time.Second)
	if s.checker.groups != 0 {
		t.Errorf("%d changes, want none", s.checker.groups)
	}
}

func TestPromotedMemberKnowsItsGroup(t *testing.T) {
	s, first := givenOwner(t, 11, 3, 1)
	spare := s.nodes[3]
	s.drop = func(m Message) bool { return m.To == spare.id && len(m.Entries) > 0 }
	s.setWanted(membersOf(s.nodes...))
	s.runFor(time.Second)
	if got := first.replica.configurations.latest(); got.isVoter(spare.id) {
		t.Errorf("a member without entries has a vote")
	}
	s.drop = nil
	s.thenGroupIs(t, time.Second, membersOf(s.nodes...))
}

// storyOfUnopenedChange is the known way to lose a change of members: an owner's list reaches one other member, the
// nextChunk owner removes the first one by a majority of the smaller group, and the first one comes back with the larger
// group's majority.
func storyOfUnopenedChange(t *testing.T) string {
	t.Helper()
	s := newSimulation(12, 4, 1, calm)
	s.startAll()
	fifth := s.nodes[4]
	s.runUntil(time.Second, func() bool { return s.owner() != nil })
	first := s.owner()
	initial := membersOf(s.nodes[:4]...)
	s.setWanted(append(initial, fifth.learner()))
	s.thenGroupIs(t, time.Second, s.wanted)
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

	// The others have a new owner that removes the first; its entries reach only one of them.
	second := rest[0]
	smaller := append(membersOf(rest...), fifth.learner())
	for _, n := range rest {
		n.inbox.TargetMembers = smaller
		s.wake(n)
	}
	s.drop = func(m Message) bool {
		outside := m.From == first.id || m.To == first.id || m.From == fifth.id || m.To == fifth.id
		standsElsewhere := m.Kind == RequestVote && m.From != second.id
		return outside || standsElsewhere || m.Kind == AppendEntries && m.To == rest[2].id
	}
	s.runFor(8 * testElection)

	// The first comes back with the fifth and the one that has heard nothing.
	s.drop = func(m Message) bool {
		inside := func(id string) bool { return id == first.id || id == fifth.id || id == rest[2].id }
		return !inside(m.From) || !inside(m.To) || m.Kind == RequestVote && m.From != first.id
	}
	s.runFor(8 * testElection)
	if s.owner() != first {
		t.Logf("the first owner did not come back")
	}
	s.drop = nil
	s.runFor(8 * testElection)
	return s.checker.violation
}

func TestChangeWaitsForTheOwnEpoch(t *testing.T) {
	if violation := storyOfUnopenedChange(t); violation != "" {
		t.Error(violation)
	}
}
