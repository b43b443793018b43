package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestConfChange_TwoVotersLost_EachReplacementVotesOnceCaughtUp has two of five members lost for good, and one of their replacements unreachable.
func TestConfChange_TwoVotersLost_EachReplacementVotesOnceCaughtUp(t *testing.T) {
	t.Run("their inactivity is known", func(t *testing.T) { exchangeOneOfTwo(t, 2*testElection, []int{5, 4, 5}) })
	t.Run("their inactivity is found out later", func(t *testing.T) { exchangeOneOfTwo(t, 0, []int{5, 6, 5}) })
}

func exchangeOneOfTwo(t *testing.T, inactive time.Duration, want []int) {
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

	// When the two are to be replaced, the group adds the one that is reachable, in place of one that is lost.
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

	// Then it bears that one more of those that are left is lost.
	sim.kill(staying[1])
	if !sim.commitsWithin(2 * time.Second) {
		t.Error("nothing is committed any more")
	}
	sim.requireSafe(t)

	// And it becomes complete once the other replacement is reachable.
	sim.start(staying[1])
	sim.start(spares[1])
	sim.requireMembers(t, 2*time.Second, append(membersOf(staying...), membersOf(spares...)...))
}

// TestConfChange_NewLeader_RemovesInactiveVoterFirst has a leader elected while a member is lost that a replacement is to follow: the leader
// gives no fourth vote before it knows that the member is inactive.
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

	// When the remaining two elect a new leader, right before the replacement has caught up.
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
		t.Errorf("the group had %d voters, want 3 at most", maxVoters)
	}
	sim.requireMembers(t, time.Second, append(membersOf(staying...), membersOf(spare)...))
}
