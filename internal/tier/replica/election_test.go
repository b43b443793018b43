package replica

import (
	"testing"
	"time"
)

func TestElection_AnyGroupSize_ElectsAndCommits(t *testing.T) {
	for members := 1; members <= 5; members++ {
		sim, _ := newGroupWithLeader(t, uint64(members), members, 0)
		if !sim.commitsWithin(time.Second) {
			t.Errorf("%d members: no command was committed", members)
		}
		sim.requireSafe(t)
	}
}

func TestLeader_NoFaults_Stays(t *testing.T) {
	sim, first := newGroupWithLeader(t, 3, 3, 0)
	term := first.replica.Status().Term
	sim.runFor(10 * time.Second)
	if sim.leader() != first || first.replica.Status().Term != term {
		t.Errorf("leader %v in term %d, want %s in %d", sim.leader(), first.replica.Status().Term, first.id, term)
	}
	sim.requireSafe(t)
}

func TestPreVote_MemberWasPartitioned_DoesNotDeposeLeader(t *testing.T) {
	sim, first := newGroupWithLeader(t, 4, 3, 0)
	term := first.replica.Status().Term
	isolated := sim.others(first)[0]
	sim.isolate(isolated)
	sim.runFor(2 * time.Second)
	sim.heal()
	sim.runFor(2 * time.Second)
	if sim.leader() != first || first.replica.Status().Term != term {
		t.Errorf("the leader changed from %s in term %d to %v", first.id, term, sim.leader())
	}
	if got := isolated.replica.Status(); got.Leader != first.id || got.Term != term {
		t.Errorf("after the partition the member follows %q in term %d", got.Leader, got.Term)
	}
	sim.requireSafe(t)
}

func TestPreVote_MemberOnlySends_DoesNotDeposeLeader(t *testing.T) {
	sim, first := newGroupWithLeader(t, 5, 3, 0)
	term := first.replica.Status().Term
	sender := sim.others(first)[0]
	for _, n := range sim.nodes {
		sim.partitioned[[2]int{n.slot, sender.slot}] = true
	}
	sim.runFor(2 * time.Second)
	if sim.leader() != first || first.replica.Status().Term != term {
		t.Errorf("the leader changed from %s in term %d to %v", first.id, term, sim.leader())
	}
	sim.requireSafe(t)
}

func TestLeader_LosesQuorum_StepsDown(t *testing.T) {
	sim, first := newGroupWithLeader(t, 6, 3, 0)
	sim.isolate(first)
	token := sim.propose(first)
	var got *Outcome
	sim.onOutcome = func(_ *node, outcome Outcome) {
		if outcome.Token == token {
			got = &outcome
		}
	}
	sim.runFor(testElection + 2*testHeartbeat)
	if first.replica.Status().IsLeader {
		t.Errorf("the leader has not stepped down after an election timeout without a majority")
	}
	if got == nil || got.Done || got.Dropped {
		t.Errorf("outcome %+v, want neither done nor dropped", got)
	}
	if !sim.commitsWithin(time.Second) || sim.leader() == first {
		t.Errorf("the other members commit nothing without the isolated leader")
	}
	sim.heal()
	sim.runFor(time.Second)
	sim.requireSafe(t)
}

func TestLeader_HearsNobody_IsReplaced(t *testing.T) {
	sim, first := newGroupWithLeader(t, 7, 3, 0)
	for _, n := range sim.nodes {
		sim.partitioned[[2]int{n.slot, first.slot}] = true
	}
	if !sim.commitsWithin(2*time.Second) || sim.leader() == first {
		t.Errorf("a leader that receives no messages was not replaced")
	}
	sim.requireSafe(t)
}

func TestFollower_Proposal_IsDropped(t *testing.T) {
	sim, first := newGroupWithLeader(t, 8, 3, 0)
	other := sim.others(first)[0]
	token := sim.propose(other)
	var got []Outcome
	sim.onOutcome = func(_ *node, outcome Outcome) { got = append(got, outcome) }
	sim.runFor(testHeartbeat)
	if len(got) != 1 || got[0] != (Outcome{Token: token, Dropped: true}) {
		t.Errorf("outcomes %+v, want the proposal dropped", got)
	}
}

func TestElection_MemberWithoutConfiguration_NeitherCampaignsNorVotes(t *testing.T) {
	options := Options{ID: "x", HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	r, err := New(options, Recovered{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	for now := time.Duration(0); now < 10*time.Second; now += testHeartbeat {
		if ready := r.Step(now, Input{}); len(ready.MessagesAfterSync)+len(ready.MessagesBeforeSync) > 0 {
			t.Fatalf("a member without a configuration sends messages: %+v", ready)
		}
	}
	ask := Message{Kind: RequestVote, From: "a", To: "x", Term: 9, Index: 100, LogTerm: 8}
	if ready := r.Step(11*time.Second, Input{Messages: []Message{ask}}); len(ready.MessagesAfterSync) > 0 {
		t.Errorf("a member without a configuration responds to RequestVote: %+v", ready.MessagesAfterSync)
	}
}

func TestElection_Vote_IsSavedBeforeItIsSent(t *testing.T) {
	initial := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	options := Options{ID: "b", InitialMembers: initial, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	r, err := New(options, Recovered{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	first := Message{Kind: RequestVote, From: "a", To: "b", Term: 1}
	second := Message{Kind: RequestVote, From: "c", To: "b", Term: 1}
	ready := r.Step(0, Input{Messages: []Message{first, second}})
	if ready.HardState == nil || *ready.HardState != (HardState{Term: 1, Vote: "a"}) {
		t.Errorf("hard state %+v, want term 1 with a vote for a", ready.HardState)
	}
	if len(ready.MessagesBeforeSync) != 0 || len(ready.MessagesAfterSync) != 2 {
		t.Fatalf("messages before the sync %+v and after it %+v, want none and two", ready.MessagesBeforeSync, ready.MessagesAfterSync)
	}
	if ready.MessagesAfterSync[0].Reject || !ready.MessagesAfterSync[1].Reject {
		t.Errorf("responses %+v, want the first vote granted and the second rejected", ready.MessagesAfterSync)
	}
	hardState := *ready.HardState
	restarted, err := New(options, Recovered{HardState: hardState}, 0)
	if err != nil {
		t.Fatal(err)
	}
	ready = restarted.Step(0, Input{Messages: []Message{second}})
	if len(ready.MessagesAfterSync) != 1 || !ready.MessagesAfterSync[0].Reject {
		t.Errorf("after a restart the member votes again in the same term: %+v", ready.MessagesAfterSync)
	}
}

func TestElectionTimeout_SeedAndIdentity_DetermineIt(t *testing.T) {
	initial := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	wake := func(id string, seed uint64) time.Duration {
		options := Options{ID: id, InitialMembers: initial, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, Seed: seed}
		r, err := New(options, Recovered{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return r.Step(0, Input{}).NextWake
	}
	if first, second := wake("a", 1), wake("a", 1); first != second {
		t.Error("the same seed gives different timeouts")
	}
	if wake("a", 1) == wake("b", 1) || wake("a", 1) == wake("a", 2) {
		t.Error("different members or seeds give the same timeout")
	}
	for seed := range uint64(100) {
		if got := wake("a", seed); got < testElection || got >= 2*testElection {
			t.Errorf("seed %d: timeout %v, want at least one and less than two election timeouts", seed, got)
		}
	}
}

func TestLeadershipTransfer_Requested_NeedsNoElectionTimeout(t *testing.T) {
	sim, first := newGroupWithLeader(t, 9, 3, 0)
	for range 20 {
		sim.propose(first)
	}
	first.inbox.TransferLeadership = true
	sim.wake(first)
	began := sim.now
	if !sim.runUntil(sim.now+testElection, func() bool { return sim.leader() != nil && sim.leader() != first }) {
		t.Fatalf("no other member took over the leadership")
	}
	if sim.now-began > testElection/2 {
		t.Errorf("the transfer took %v, want at most half an election timeout", sim.now-began)
	}
	if sim.checker.commands != 0 && sim.checker.commands != 20 {
		t.Errorf("%d of 20 proposals were acknowledged, want none or all", sim.checker.commands)
	}
	sim.requireSafe(t)
}

func TestPreVote_NoLeaderHeardYet_UsesInitialTimeout(t *testing.T) {
	const initialTimeout = testElection / 4
	initial := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for seed := range uint64(100) {
		options := Options{ID: "a", InitialMembers: initial, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, InitialElectionTimeout: initialTimeout, Seed: seed}
		r, err := New(options, Recovered{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		first := r.Step(0, Input{}).NextWake
		if first < initialTimeout || first >= 2*initialTimeout {
			t.Errorf("seed %d: the first PreVote comes after %v", seed, first)
		}
		ready := r.Step(first, Input{})
		if len(ready.MessagesAfterSync) != 2 || !ready.MessagesAfterSync[0].PreVote || ready.HardState != nil {
			t.Fatalf("seed %d: the member sends no PreVote requests: %+v", seed, ready)
		}
		if wait := ready.NextWake - first; wait < initialTimeout || wait >= 2*initialTimeout {
			t.Errorf("seed %d: the next PreVote comes after %v", seed, wait)
		}
		lastContact := ready.NextWake
		ready = r.Step(lastContact, Input{Messages: []Message{{Kind: AppendEntries, From: "b", To: "a", Term: 1}}})
		if wait := ready.NextWake - lastContact; wait < testElection || wait >= 2*testElection {
			t.Errorf("seed %d: after contact with a leader the next PreVote comes after %v", seed, wait)
		}
	}
}
