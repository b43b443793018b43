package replica

import (
	"slices"
	"testing"
	"time"
)

// replaceWhileIsolated replaces an isolated member with a spare, and returns that member after the network has healed.
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
		// Given a member that was removed while it was partitioned, when the partition heals,
		sim, _, removed := replaceWhileIsolated(t, 100+seed)
		sim.runFor(2 * time.Second)
		// then it learns that it is in no group, and does not campaign any more.
		if got := removed.replica.Status(); len(got.Members) != 0 || got.Leader != "" {
			t.Errorf("seed %d: the removed member has the members %v and the leader %q, want none", seed, got.Members, got.Leader)
		}
		if got := removed.replica.Status(); got.ExclusionReporter == "" {
			t.Errorf("seed %d: the removed member names no member that reported its exclusion", seed)
		}
		term := removed.replica.Status().Term
		for range 100 {
			sim.runFor(testElection / 20)
			if removed.replica.role != follower || removed.replica.Status().Term != term {
				t.Fatalf("seed %d: the removed member campaigns", seed)
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
		t.Errorf("after a restart the removed member has the members %v, want none", got)
	}
	// While it is partitioned again, it soon names no member that reported its exclusion.
	sim.isolate(removed)
	sim.runFor((exclusionReporterElectionTimeouts + 2) * testElection)
	if got := removed.replica.Status(); len(got.Members) != 0 || got.ExclusionReporter != "" {
		t.Errorf("while partitioned it has the members %v and names the reporter %q, want none", got.Members, got.ExclusionReporter)
	}
}

func TestRemovedMember_IsWantedAgain_Rejoins(t *testing.T) {
	// Given a member that knows that it was removed,
	sim, leader, removed := replaceWhileIsolated(t, 120)
	sim.runFor(2 * time.Second)
	// when it becomes a target member again, then it gets its vote back and counts towards a majority.
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.requireMembers(t, 2*time.Second, membersOf(sim.nodes...))
	sim.runFor(time.Second)
	if got := removed.replica.Status(); len(got.Members) != len(sim.nodes) || !removed.replica.isPromotable() {
		t.Errorf("the member that was added again has the members %v, or no vote", got.Members)
	}
	others := sim.others(removed)
	sim.kill(leader)
	if !sim.commitsWithin(2 * time.Second) {
		t.Errorf("the member that was added again and %d others commit nothing", len(others)-1)
	}
	sim.requireSafe(t)
}

func TestRemovedMember_AllFormerPeersGone_LearnsItFromContacts(t *testing.T) {
	// Given a member that was down while all its former peers were replaced and stopped,
	sim, first := newGroupWithLeader(t, 130, 3, 3)
	removed := sim.others(first)[0]
	successors := sim.nodes[3:]
	sim.kill(removed)
	sim.setTargetMembers(membersOf(successors...))
	sim.requireMembers(t, 5*time.Second, membersOf(successors...))
	for _, n := range sim.nodes[:3] {
		sim.kill(n)
	}
	// when it restarts and is given the running processes as contacts,
	sim.start(removed)
	removed.inbox.TargetMembers = nil
	removed.inbox.Contacts = membersOf(successors...)
	sim.wake(removed)
	sim.runFor(2 * time.Second)
	// then one of them reports its removal.
	if got := removed.replica.Status().Members; len(got) != 0 {
		t.Errorf("the removed member has the members %v, want none", got)
	}
	sim.requireSafe(t)
}

func TestExclusion_MemberKnowsLaterConfiguration_IsIgnored(t *testing.T) {
	// Given a member that was removed and added again,
	sim, _, removed := replaceWhileIsolated(t, 140)
	sim.setTargetMembers(membersOf(sim.nodes...))
	sim.requireMembers(t, 2*time.Second, membersOf(sim.nodes...))
	sim.runFor(time.Second)
	// when a member that lags behind reports an entry at which it was not in the group,
	earlier := sim.checker.log[len(sim.checker.log)-3]
	late := Message{Kind: RequestVoteResponse, From: sim.others(removed)[0].id, To: removed.id, Reject: true, PreVote: true,
		ExcludedAt: &EntryID{Index: earlier.Index, Term: earlier.Term}}
	removed.replica.Step(sim.clock(removed), Input{Messages: []Message{late}})
	// then the report is ignored, since the member's own log holds that entry and the later configurations.
	if !removed.replica.isPromotable() || len(removed.replica.Status().Members) == 0 {
		t.Error("a member of the group considers itself removed")
	}
}
