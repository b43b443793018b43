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
	sim, first := newGroupWithLeader(t, 1, 3, 1)
	for range 100 {
		sim.propose(first)
	}
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.requireMembers(t, time.Second, membersOf(sim.nodes...))
	var learned, promoted bool
	for _, entry := range sim.checker.log {
		if entry.Kind == ConfChange {
			learned, promoted = true, learned
		}
	}
	if !learned || !promoted {
		t.Error("the new member was not a learner before its promotion")
	}
	if !sim.commitsWithin(time.Second) {
		t.Error("no command is committed after the promotion")
	}
}

func TestConfChange_DiskEmptied_ReturnsUnderNewIdentity(t *testing.T) {
	sim, first := newGroupWithLeader(t, 2, 3, 0)
	for range 50 {
		sim.propose(first)
	}
	sim.runFor(testElection)
	lost := sim.others(first)[0]
	old := lost.id
	sim.wipe(lost)
	sim.start(lost)
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.requireMembers(t, 2*time.Second, membersOf(sim.nodes...))
	if old == lost.id || lost.machine.Index == 0 {
		t.Errorf("the wiped node has the ID %s and has applied up to %d; want a new ID and some entries", lost.id, lost.machine.Index)
	}
	sim.kill(sim.others(lost)[0])
	if !sim.commitsWithin(2 * time.Second) {
		t.Error("the new identity does not count towards a majority")
	}
	sim.requireSafe(t)
}

func TestConfChange_VoterInactive_IsRemovedBeforeReplacementVotes(t *testing.T) {
	sim, first := newGroupWithLeader(t, 3, 3, 1)
	lost, spare := sim.others(first)[0], sim.nodes[3]
	sim.kill(lost)
	sim.runFor(2 * testElection)
	var voters []int
	target := append(membersOf(sim.others(spare)...), spare.member())
	sim.setTargetMembers(target)
	for sim.now < 2*time.Second && !cmp.Equal(sim.checker.members, target, anyOrder) {
		sim.runFor(time.Millisecond)
		group := newConfiguration(0, sim.checker.members)
		if len(voters) == 0 || voters[len(voters)-1] != group.voters {
			voters = append(voters, group.voters)
		}
	}
	if difference := cmp.Diff([]int{3, 2, 3}, voters); difference != "" {
		t.Errorf("number of voters (-want +got):\n%s", difference)
	}
	sim.requireMembers(t, time.Second, target)
}

func TestConfChange_VoterActive_StaysUntilReplacementVotes(t *testing.T) {
	sim, first := newGroupWithLeader(t, 4, 3, 1)
	leaving := sim.others(first)[0]
	target := append(membersOf(first), membersOf(sim.others(first)[1:]...)...)
	sim.setTargetMembers(target)
	maxVoters := 0
	for end := sim.now + time.Second; sim.now < end; sim.runFor(time.Millisecond) {
		group := newConfiguration(0, sim.checker.members)
		maxVoters = max(maxVoters, group.voters)
		if group.voters < 3 {
			t.Fatalf("only %d voters during the change, want at least 3", group.voters)
		}
	}
	if maxVoters != 4 {
		t.Errorf("at most %d voters during the change, want 4", maxVoters)
	}
	sim.requireMembers(t, time.Second, target)
	if newest := newConfiguration(0, sim.checker.members); newest.find(leaving.id) != nil {
		t.Errorf("%s is still a member", leaving.id)
	}
}

func TestConfChange_LeaderRemoved_TransfersLeadership(t *testing.T) {
	sim, first := newGroupWithLeader(t, 5, 3, 0)
	others := sim.others(first)
	sim.setTargetMembers(membersOf(others...))
	sim.requireMembers(t, time.Second, membersOf(others...))
	began := sim.now
	if !sim.commitsWithin(time.Second) || sim.leader() == first {
		t.Fatalf("no other member took over the leadership")
	}
	if sim.now-began > testElection {
		t.Errorf("the next command took %v, want no longer than an election timeout", sim.now-began)
	}
	if first.replica.Status().IsLeader {
		t.Errorf("the removed leader still leads")
	}
	sim.requireSafe(t)
}

func TestConfChange_RemovedMember_DoesNotDisturb(t *testing.T) {
	sim, first := newGroupWithLeader(t, 6, 4, 0)
	removed := sim.others(first)[0]
	sim.isolate(removed)
	target := append(membersOf(first), membersOf(sim.others(first)[1:]...)...)
	sim.setTargetMembers(target)
	sim.requireMembers(t, time.Second, target)
	term := first.replica.Status().Term
	sim.heal()
	sim.runFor(3 * time.Second)
	if got := first.replica.Status(); !got.IsLeader || got.Term != term {
		t.Errorf("the leader of term %d was deposed by the removed member: %+v", term, got)
	}
	sim.requireSafe(t)
}

func TestConfChange_LeaderLost_TargetIsReached(t *testing.T) {
	sim, first := newGroupWithLeader(t, 7, 3, 1)
	sim.kill(sim.nodes[3])
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.runFor(testElection)
	sim.kill(first)
	sim.runFor(4 * testElection)
	sim.start(sim.nodes[3])
	sim.start(first)
	sim.requireMembers(t, 2*time.Second, membersOf(sim.nodes...))
}

func TestConfChange_TargetLearner_GetsNoVote(t *testing.T) {
	sim, _ := newGroupWithLeader(t, 8, 3, 1)
	target := append(membersOf(sim.nodes[:3]...), sim.nodes[3].learner())
	sim.setTargetMembers(target)
	sim.requireMembers(t, time.Second, target)
	sim.runFor(time.Second)
	sim.requireMembers(t, 0, target)
	demoted := append(membersOf(sim.nodes[0], sim.nodes[3], sim.nodes[1]), sim.nodes[2].learner())
	sim.setTargetMembers(demoted)
	sim.requireMembers(t, time.Second, demoted)
}

func TestConfChange_AddressChanged_IsTakenOver(t *testing.T) {
	sim, first := newGroupWithLeader(t, 9, 3, 0)
	target := membersOf(sim.nodes...)
	target[2].Address = "10.9.9.9"
	sim.setTargetMembers(target)
	sim.requireMembers(t, time.Second, target)
	if got := first.replica.Address(target[2].ID); got != "10.9.9.9" {
		t.Errorf("address %q, want the changed one", got)
	}
}

func TestConfChange_DuplicateTargetMembers_ChangeNothing(t *testing.T) {
	sim, _ := newGroupWithLeader(t, 10, 3, 0)
	target := membersOf(sim.nodes...)
	duplicate := Member{ID: target[0].ID, Address: "10.9.9.9"}
	sim.setTargetMembers(append(target, duplicate, Member{}))
	sim.runFor(time.Second)
	if sim.checker.confChanges != 0 {
		t.Errorf("%d membership changes, want none", sim.checker.confChanges)
	}
}

func TestConfChange_LearnerWithoutConfiguration_IsNotPromoted(t *testing.T) {
	sim, first := newGroupWithLeader(t, 11, 3, 1)
	spare := sim.nodes[3]
	sim.drop = func(m Message) bool { return m.To == spare.id && len(m.Entries) > 0 }
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.runFor(time.Second)
	if got := first.replica.configurations.latest(); got.isVoter(spare.id) {
		t.Errorf("a member without entries was promoted")
	}
	sim.drop = nil
	sim.requireMembers(t, time.Second, membersOf(sim.nodes...))
}

// runConfChangeBeforeCommitInTerm plays the known schedule that loses a membership change if a leader may begin one before
// committing an entry of its own term: the configuration of the first leader reaches only one other member, the next leader
// removes the first leader with a majority of the smaller group, and the first leader returns with a majority of the larger
// group. It returns the violation, if any.
func runConfChangeBeforeCommitInTerm(t *testing.T) string {
	t.Helper()
	sim := newSimulation(12, 4, 1, noFaults)
	sim.startAll()
	fifth := sim.nodes[4]
	sim.runUntil(time.Second, func() bool { return sim.leader() != nil })
	first := sim.leader()
	initial := membersOf(sim.nodes[:4]...)
	sim.setTargetMembers(append(initial, fifth.learner()))
	sim.requireMembers(t, time.Second, sim.targetMembers)
	sim.runFor(4 * testHeartbeat)

	// The configuration that promotes the fifth member reaches only the fifth member.
	rest := []*node{}
	for _, n := range sim.nodes[:4] {
		if n != first {
			rest = append(rest, n)
		}
	}
	sim.drop = func(m Message) bool { return m.From == first.id && m.To != fifth.id }
	first.inbox.TargetMembers = membersOf(sim.nodes...)
	sim.wake(first)
	sim.runFor(4 * time.Millisecond)

	// The others elect a new leader that removes the first leader. Its entries reach only one other member.
	second := rest[0]
	smaller := append(membersOf(rest...), fifth.learner())
	for _, n := range rest {
		n.inbox.TargetMembers = smaller
		sim.wake(n)
	}
	sim.drop = func(m Message) bool {
		outside := m.From == first.id || m.To == first.id || m.From == fifth.id || m.To == fifth.id
		campaignsElsewhere := m.Kind == RequestVote && m.From != second.id
		return outside || campaignsElsewhere || m.Kind == AppendEntries && m.To == rest[2].id
	}
	sim.runFor(8 * testElection)

	// The first leader returns and can reach the fifth member and the one that has received no entries.
	sim.drop = func(m Message) bool {
		inside := func(id string) bool { return id == first.id || id == fifth.id || id == rest[2].id }
		return !inside(m.From) || !inside(m.To) || m.Kind == RequestVote && m.From != first.id
	}
	sim.runFor(8 * testElection)
	if sim.leader() != first {
		t.Logf("the first leader was not elected again")
	}
	sim.drop = nil
	sim.runFor(8 * testElection)
	return sim.checker.violation
}

func TestConfChange_NothingCommittedInTerm_Waits(t *testing.T) {
	if violation := runConfChangeBeforeCommitInTerm(t); violation != "" {
		t.Error(violation)
	}
}
