package replica

import (
	"slices"
	"testing"
	"time"
)

// replaceWhileIsolated has a spare take the place of a member that is cut off, and returns that member once it is back.
func replaceWhileIsolated(t *testing.T, seed uint64) (sim *simulation, leader, removed *node) {
	t.Helper()
	sim, leader = newGroupWithLeader(t, seed, 3, 1)
	removed = sim.others(leader)[0]
	sim.isolate(removed)
	target := slices.DeleteFunc(membersOf(sim.nodes...), func(m Member) bool { return m.ID == removed.id })
	sim.setTargetMembers(target)
	sim.requireMembers(t, 2*time.Second, target)
	sim.heal()
	return sim, leader, removed
}

func TestRemovedMember_WasPartitioned_LearnsIt(t *testing.T) {
	for seed := range uint64(5) {
		// Given a member that was removed while it was partitioned, when it is back,
		sim, _, removed := replaceWhileIsolated(t, 100+seed)
		sim.runFor(2 * time.Second)
		// then it knows that it is in no group, and asks nobody for votes any more.
		if got := removed.replica.Status(); len(got.Members) != 0 || got.Leader != "" {
			t.Errorf("seed %d: it has the members %v and the leader %q", seed, got.Members, got.Leader)
		}
		if got := removed.replica.Status(); got.Informant == "" {
			t.Errorf("seed %d: nobody has told it lately", seed)
		}
		term := removed.replica.Status().Term
		for range 100 {
			sim.runFor(testElection / 20)
			if removed.replica.role != follower || removed.replica.Status().Term != term {
				t.Fatalf("seed %d: it campaigns", seed)
			}
		}
		sim.requireSafe(t)
	}
}

func TestRemovedMember_RestartedOnItsDisk_LearnsItAgain(t *testing.T) {
	sim, _, removed := replaceWhileIsolated(t, 110)
	sim.runFor(time.Second)
	sim.kill(removed)
	sim.start(removed)
	sim.runFor(2 * time.Second)
	if got := removed.replica.Status().Members; len(got) != 0 {
		t.Errorf("it has the members %v", got)
	}
	// And while it is partitioned again it names nobody who told it lately.
	sim.isolate(removed)
	sim.runFor((informantElectionTimeouts + 2) * testElection)
	if got := removed.replica.Status(); len(got.Members) != 0 || got.Informant != "" {
		t.Errorf("partitioned, it has the members %v and was told by %q", got.Members, got.Informant)
	}
}

func TestRemovedMember_IsWantedAgain_Rejoins(t *testing.T) {
	// Given a member that knows that it was removed,
	sim, leader, removed := replaceWhileIsolated(t, 120)
	sim.runFor(2 * time.Second)
	// when the group is to have it again, then it gets its vote back and counts.
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.requireMembers(t, 2*time.Second, membersOf(sim.nodes...))
	sim.runFor(time.Second)
	if got := removed.replica.Status(); len(got.Members) != len(sim.nodes) || !removed.replica.isPromotable() {
		t.Errorf("it has the members %v", got.Members)
	}
	others := sim.others(removed)
	sim.kill(leader)
	if !sim.commitsWithin(2 * time.Second) {
		t.Errorf("%d others and it commit nothing", len(others)-1)
	}
	sim.requireSafe(t)
}

func TestRemovedMember_AllFormerPeersGone_LearnsItFromContacts(t *testing.T) {
	// Given a member whose former peers have all been replaced while it was down,
	sim, first := newGroupWithLeader(t, 130, 3, 3)
	removed := sim.others(first)[0]
	successors := sim.nodes[3:]
	sim.kill(removed)
	sim.setTargetMembers(membersOf(successors...))
	sim.requireMembers(t, 5*time.Second, membersOf(successors...))
	for _, n := range sim.nodes[:3] {
		sim.kill(n)
	}
	// when it is back and knows processes that run,
	sim.start(removed)
	removed.inbox.TargetMembers = nil
	removed.inbox.Contacts = membersOf(successors...)
	sim.wake(removed)
	sim.runFor(2 * time.Second)
	// then one of them tells it.
	if got := removed.replica.Status().Members; len(got) != 0 {
		t.Errorf("it has the members %v", got)
	}
	sim.requireSafe(t)
}

func TestExclusion_MemberKnowsLaterConfiguration_IsIgnored(t *testing.T) {
	// Given a member that was removed and added again,
	sim, _, removed := replaceWhileIsolated(t, 140)
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.requireMembers(t, 2*time.Second, membersOf(sim.nodes...))
	sim.runFor(time.Second)
	// when a member that lags tells it of an entry at which it was outside,
	earlier := sim.checker.log[len(sim.checker.log)-3]
	late := Message{Kind: RequestVoteResponse, From: sim.others(removed)[0].id, To: removed.id, Reject: true, PreVote: true,
		ExcludedAt: &EntryID{Index: earlier.Index, Term: earlier.Term}}
	removed.replica.Step(sim.clock(removed), Input{Messages: []Message{late}})
	// then its own log, which has that entry and what follows, decides.
	if !removed.replica.isPromotable() || len(removed.replica.Status().Members) == 0 {
		t.Error("it takes itself for removed")
	}
}
