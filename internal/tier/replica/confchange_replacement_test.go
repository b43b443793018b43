package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestConfChange_TwoVotersLost_EachReplacementVotesOnceCaughtUp replaces two of five members that are permanently lost,
// while only one of the two replacements is reachable.
func TestConfChange_TwoVotersLost_EachReplacementVotesOnceCaughtUp(t *testing.T) {
	t.Run("the voters are already inactive", func(t *testing.T) { replaceOneOfTwoLost(t, 2*testElection, []int{5, 4, 5}) })
	t.Run("the voters become inactive later", func(t *testing.T) { replaceOneOfTwoLost(t, 0, []int{5, 6, 5}) })
}

func replaceOneOfTwoLost(t *testing.T, inactive time.Duration, want []int) {
	t.Helper()
	sim := newSimulation(21, 5, 2, noFaults)
	sim.startAll()
	sim.runUntil(time.Second, func() bool { return sim.leader() != nil })
	first := sim.leader()
	others := sim.others(first)
	lost, staying, spares := others[:2], append([]*node{first}, others[2:4]...), others[4:]
	for _, n := range lost {
		sim.kill(n)
	}
	sim.kill(spares[1])
	sim.runFor(inactive)

	// Both lost voters are to be replaced; the group promotes the reachable replacement in place of one of them.
	sim.setTargetMembers(append(membersOf(staying...), membersOf(spares...)...))
	var voters []int
	for range 1000 {
		sim.runFor(time.Millisecond)
		if now := newConfiguration(0, sim.checker.members).voters; len(voters) == 0 || voters[len(voters)-1] != now {
			voters = append(voters, now)
		}
	}
	if difference := cmp.Diff(want, voters); difference != "" {
		t.Errorf("number of voters (-want +got):\n%s", difference)
	}

	// The group then tolerates the loss of one of the remaining voters.
	sim.kill(staying[1])
	if !sim.commitsWithin(2 * time.Second) {
		t.Error("no command is committed after the loss of one more voter")
	}
	sim.requireSafe(t)

	// The change completes once the other replacement is reachable.
	sim.start(staying[1])
	sim.start(spares[1])
	sim.requireMembers(t, 2*time.Second, append(membersOf(staying...), membersOf(spares...)...))
}

// TestConfChange_NewLeader_RemovesInactiveVoterFirst has a new leader elected while a lost voter is being replaced. The
// leader must not promote the replacement to a fourth voter before it knows whether the lost voter is inactive.
func TestConfChange_NewLeader_RemovesInactiveVoterFirst(t *testing.T) {
	sim := newSimulation(22, 3, 1, noFaults)
	sim.startAll()
	sim.runUntil(time.Second, func() bool { return sim.leader() != nil })
	first := sim.leader()
	others := sim.others(first)
	lost, staying, spare := others[0], []*node{first, others[1]}, others[2]
	sim.kill(lost)
	sim.runFor(2 * testElection)
	sim.setTargetMembers(membersOf(first, others[1], spare))

	// The leader is lost as well, before the replacement has caught up. It restarts, and the two remaining voters elect a
	// new leader.
	sim.kill(first)
	sim.runFor(2 * testElection)
	sim.start(first)
	maxVoters := 0
	sim.runUntil(sim.now+5*time.Second, func() bool {
		agreed := newConfiguration(0, sim.checker.members)
		maxVoters = max(maxVoters, agreed.voters)
		return agreed.isVoter(spare.id)
	})
	if maxVoters != 3 {
		t.Errorf("the group had up to %d voters, want 3", maxVoters)
	}
	sim.requireMembers(t, time.Second, append(membersOf(staying...), membersOf(spare)...))
}
