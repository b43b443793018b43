package simulation

import (
	"errors"
	"slices"
	"testing"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
)

// formedWorld is a world without faults in which all voters vote.
func formedWorld(t *testing.T, options Options) *World {
	t.Helper()
	world := New(options)
	if !world.Await(20*time.Second, func() bool { return world.AllActOn(0) && world.formed() }) {
		t.Fatal("the fleet does not form")
	}
	world.Run(3 * time.Second)
	return world
}

// leader returns the relay that leads.
func (w *World) leader(t *testing.T) *Relay {
	t.Helper()
	for _, r := range w.Relays {
		if r.Node != nil && r.Node.Status().Voter == "leads" {
			return r
		}
	}
	t.Fatal("nobody leads")
	return nil
}

// three are the leader and the others, of a fleet of three.
func (w *World) three(t *testing.T) (l, a, b *Relay) {
	t.Helper()
	l = w.leader(t)
	return l, w.Relays[(l.Index+1)%3], w.Relays[(l.Index+2)%3]
}

// judge fails the test where the history has a breach.
func judge(t *testing.T, world *World) {
	t.Helper()
	if b := checker.Judge(world.History, checker.Options{}); b != nil {
		t.Fatal(b)
	}
}

// isolate partitions a relay from all others, in both directions.
func (w *World) isolate(r *Relay) {
	for _, o := range w.Relays {
		if o != r {
			w.SetPartition(r, o, true)
			w.SetPartition(o, r, true)
		}
	}
}

// TestLease_SlowClockPartitioned_EndsBeforeChange: a relay whose clock is slow is partitioned right after it got a lease; the others'
// clocks are fast. It must stop before a change that goes on without it takes effect.
func TestLease_SlowClockPartitioned_EndsBeforeChange(t *testing.T) {
	options := calm(5, 3, 3)
	options.ActInterval, options.Delay = ms, 10*time.Microsecond
	world := New(options)
	for _, r := range world.Relays {
		r.clockRate = 1 + options.MaxClockDrift
	}
	last := world.Relays[4]
	last.clockRate = 1 - options.MaxClockDrift
	world.Run(5 * time.Second)
	until := last.Node.Status().LeaseLeft
	if !world.Await(2*time.Second, func() bool {
		l := last.Node.Status().LeaseLeft
		renewed := l > until
		until = l
		return renewed
	}) {
		t.Fatal("no lease is renewed")
	}
	world.isolate(last)
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	at := world.Now()
	if !world.Await(3*options.Lease, func() bool { return world.Relays[1].Mandate.Version == 1 }) {
		t.Fatal("the change waits for ever for a partitioned relay")
	}
	if took := world.Now() - at; took < options.Lease/2 || took > 2*options.Lease {
		t.Errorf("the change took %v, with a lease of %v out", took, options.Lease)
	}
	world.Run(options.Lease)
	judge(t, world)
}

// TestLease_LateGrant_CountsFromItsRequest: a grant that was long in transit gives no more time than if it had come at once.
func TestLease_LateGrant_CountsFromItsRequest(t *testing.T) {
	options := calm(5, 3, 4)
	world := formedWorld(t, options)
	last := world.Relays[4]
	world.delayLeasesTo = last // grants to it take most of a lease
	world.Run(options.Lease)
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	world.Run(20 * ms)
	for _, r := range world.Relays[:4] {
		world.SetPartition(last, r, true) // its acknowledgement is lost, late grants still come
	}
	world.Run(3 * options.Lease)
	judge(t, world)
}

// TestLease_DeposedLeader_GrantsNothing: a leader that is partitioned together with some relays grants them no more leases once another
// may lead.
func TestLease_DeposedLeader_GrantsNothing(t *testing.T) {
	options := calm(6, 3, 5)
	world := formedWorld(t, options)
	l := world.leader(t)
	var with *Relay
	for _, r := range world.Relays[3:] {
		with = r
	}
	for _, r := range world.Relays {
		if r == l || r == with {
			continue
		}
		for _, x := range []*Relay{l, with} {
			world.SetPartition(r, x, true)
			world.SetPartition(x, r, true)
		}
	}
	world.Run(options.Lease)
	for _, r := range world.Relays {
		if r != l && r != with {
			world.Propose(r, 0, `{"format":1}`)
		}
	}
	if !world.Await(5*options.Lease, func() bool { return world.Relays[3].Mandate.Version == 1 }) {
		t.Fatal("the majority does not go on")
	}
	world.Run(options.Lease)
	judge(t, world)
	world.Heal()
	if !world.Await(10*options.Lease, func() bool { return world.AllActOn(1) }) {
		t.Fatal("those that were partitioned don't adopt the new policy")
	}
	judge(t, world)
}

// TestChange_RefusedByOneRelay_IsDropped: one refusal ends a change, and says which relay refused it and why, though the others can apply
// it.
func TestChange_RefusedByOneRelay_IsDropped(t *testing.T) {
	options := calm(5, 3, 6)
	options.CanApply = func(relay string, _ int, doc []byte) error {
		if relay == "r2" && len(doc) > 20 {
			return errors.New("key plugins.x: no plug-in of that name runs here")
		}
		return nil
	}
	world := formedWorld(t, options)
	ticket := world.Propose(world.Relays[3], 0, `{"format":1,"stamp":true}`)
	if !world.Await(10*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
		t.Fatal("the change does not end")
	}
	if p, _ := world.Outcome(ticket); p.DropReason != "r2: key plugins.x: no plug-in of that name runs here" {
		t.Errorf("it ended with %q", p.DropReason)
	}
	world.Run(time.Second)
	if !world.AllActOn(0) {
		t.Error("a dropped change has stopped somebody")
	}
	judge(t, world)
}

// TestVoter_CrashesBeforeSave_CommittedChangeStays: a voter crashes right before it saves an entry, and the leader crashes before the
// voter is restarted. What the leader considered committed stays committed.
func TestVoter_CrashesBeforeSave_CommittedChangeStays(t *testing.T) {
	for seed := range uint64(4) {
		options := calm(3, 3, 7+seed)
		world := formedWorld(t, options)
		l, a, b := world.three(t)
		world.isolate(b) // the leader and one more are the majority
		world.Run(100 * ms)
		world.crashBeforeSave = a
		world.Propose(l, 0, `{"format":1,"stamp":true}`)
		if !world.Await(options.Lease, func() bool { return a.Node == nil }) {
			t.Fatal("the entry does not come")
		}
		world.crashBeforeSave = nil
		world.Run(50 * ms)
		world.Crash(l)
		world.Heal()
		world.Start(a)
		world.Run(6 * options.Lease)
		world.Propose(b, 0, `{"format":1}`)
		world.Run(4 * options.Lease)
		world.Start(l)
		world.Run(6 * options.Lease)
		judge(t, world)
	}
}

// TestRelay_Restarted_FormerIncarnationSpeaksForNothing: what a relay sent before it crashed counts for nothing that it does after its
// restart.
func TestRelay_Restarted_FormerIncarnationSpeaksForNothing(t *testing.T) {
	for seed := range uint64(8) {
		options := calm(5, 3, 20+seed)
		world := formedWorld(t, options)
		r := world.Relays[4]
		world.recordFrom = r // what it sends is kept for later, too
		world.Run(options.Lease / 2)
		late := world.recorded
		world.recordFrom, world.recorded = nil, nil
		world.Crash(r)
		world.Start(r)
		world.Run(options.Lease)
		for i, again := range late { // and arrives once more, a little at a time
			world.After(time.Duration(i)*ms, again)
		}
		world.Run(options.Lease / 4)
		for _, g := range world.Relays[:3] { // grants to a former incarnation, as if for this one's first requests
			for seq := range uint64(400) {
				world.notify(r, node.Event{From: g.Name, Message: &node.Message{LeaseGrant: &node.LeaseGrant{To: r.Name, Generation: 1, Incarnation: 7, Seq: seq,
					Lease: 50 * options.Lease, Epoch: 1}}})
			}
		}
		world.Run(5 * ms)
		world.isolate(r)
		world.Propose(world.Relays[1], 0, `{"format":1}`)
		world.Run(3 * options.Lease)
		judge(t, world)
		world.Heal()
		if !world.Await(10*options.Lease, func() bool { return world.AllActOn(1) }) {
			t.Fatalf("not all adopt the new policy: %+v", r.Node.Status())
		}
	}
}

// TestChange_VerdictOfFormerIncarnation_IsIgnored: the verdict of a former incarnation does not count for the next one, however late it
// arrives.
func TestChange_VerdictOfFormerIncarnation_IsIgnored(t *testing.T) {
	options := calm(5, 3, 30)
	world := formedWorld(t, options)
	l, r, slow := world.leader(t), world.Relays[4], world.Relays[3]
	world.Stop(slow, options.Lease/2) // keeps the change open
	world.recordFrom = r
	ticket := world.Propose(l, 0, `{"format":1}`)
	world.Run(40 * ms)
	late := world.recorded
	world.recordFrom, world.recorded = nil, nil
	world.Crash(r)
	world.Start(r)
	world.Run(3 * ms) // its first lease request arrives, and nothing else
	for _, v := range world.Relays {
		world.SetPartition(r, v, true)
	}
	for _, again := range late {
		world.After(ms, again)
	}
	if !world.Await(6*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
		t.Fatal("the change does not end")
	}
	if p, _ := world.Outcome(ticket); !slices.Contains(p.Excused, r.Name) {
		t.Errorf("it ended without %v: %s never said in this incarnation that it can apply it", p.Excused, r.Name)
	}
	judge(t, world)
}

// TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain: a voter that is restored from an older disk has forgotten its votes: it does not vote
// again.
func TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain(t *testing.T) {
	for seed := range uint64(6) {
		options := calm(3, 3, 40+seed)
		world := formedWorld(t, options)
		l, a, b := world.three(t)
		back := world.CopyDisk(a)
		world.isolate(b)
		world.Run(100 * ms)
		ticket := world.Propose(l, 0, `{"format":1,"stamp":true}`)
		if !world.Await(5*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
			t.Fatal("the change does not end")
		}
		world.Crash(a)
		back()
		world.Start(a)
		world.Run(100 * ms) // time to hear what the leader remembers
		world.Crash(l)
		world.Heal()
		world.Run(6 * options.Lease)
		world.Propose(b, 0, `{"format":1}`)
		world.Run(4 * options.Lease)
		world.Start(l)
		world.Run(10 * options.Lease)
		judge(t, world)
		if !world.AllActOn(1) {
			t.Errorf("not all act under version 1: %+v", a.Node.Status())
		}
	}
}

// TestVoter_RestoredFromEmptyDisk_Rejoins: the older disk is from before the voter joined, and has no log at all (world 10908).
func TestVoter_RestoredFromEmptyDisk_Rejoins(t *testing.T) {
	for seed := range uint64(6) {
		world := New(calm(3, 3, 500+seed))
		a := world.Relays[2]
		back := world.CopyDisk(a) // right after its start
		if !world.Await(20*time.Second, func() bool { return world.AllActOn(0) && world.formed() }) {
			t.Fatal("the fleet does not form")
		}
		world.Run(time.Duration(seed) * 100 * ms)
		world.Crash(a)
		back()
		world.Start(a)
		world.Run(5 * world.Lease)
		ticket := world.Propose(world.Relays[1], 0, `{"format":1}`)
		if !world.Await(10*world.Lease, func() bool { _, ok := world.Outcome(ticket); return ok && world.AllActOn(1) && world.formed() }) {
			t.Fatalf("it does not rejoin: %+v", a.Node.Status())
		}
		judge(t, world)
	}
}

// TestForce_MajorityLost_LastVoterContinues: most voters are lost for good; an operator goes on with the last one, and those that are
// restarted rejoin as new members.
func TestForce_MajorityLost_LastVoterContinues(t *testing.T) {
	options := calm(5, 3, 60)
	world := formedWorld(t, options)
	ticket := world.Propose(world.Relays[0], 0, `{"format":1}`)
	world.Await(options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok })
	world.Run(options.Lease)
	world.Crash(world.Relays[0])
	world.Crash(world.Relays[1])
	world.Run(4 * options.Lease)
	if world.Relays[3].Node.Status().MayAct {
		t.Fatal("a relay acts without a majority")
	}
	world.Admin(world.Relays[2], node.AdminRequest{Op: "force"})
	if !world.Await(10*options.Lease, func() bool { return world.AllActOn(1) }) {
		t.Fatal("the fleet does not go on")
	}
	world.Propose(world.Relays[3], 1, `{"format":1,"stamp":true}`)
	if !world.Await(10*options.Lease, func() bool { return world.AllActOn(2) }) {
		t.Fatal("no change takes hold")
	}
	world.Start(world.Relays[0])
	world.Start(world.Relays[1])
	if !world.Await(20*options.Lease, func() bool { return world.AllActOn(2) && world.formed() }) {
		t.Fatal("those that are restarted do not rejoin")
	}
	judge(t, world)
}

// TestChange_ThousandInARow_StateStaysSmall: a thousand changes in a row leave state, log and messages as small as ten do.
func TestChange_ThousandInARow_StateStaysSmall(t *testing.T) {
	options := calm(4, 3, 70)
	options.ActInterval = 0
	world := formedWorld(t, options)
	size := func() (n int) {
		for _, e := range world.Relays[1].disk.image.Entries {
			n += len(e)
		}
		return n + len(world.Relays[1].disk.image.Snapshot)
	}
	maxSize := 0
	for v := range uint64(1000) {
		world.Propose(world.Relays[v%4], v, `{"format":1,"classes":{"match-event":{"attempts":2}}}`)
		if !world.Await(4*options.Lease, func() bool { return world.AllActOn(v + 1) }) {
			t.Fatalf("change %d does not take hold", v+1)
		}
		maxSize = max(maxSize, size())
	}
	if n := len(world.Relays[3].Node.Status().State.PastChanges); n > 32 || maxSize > 64<<10 {
		t.Errorf("%d ends are kept, and the log had up to %d bytes", n, maxSize)
	}
	judge(t, world)
}

// TestRoster_RelayLeaves_GetsNoLease: a relay that left the roster gets no lease.
func TestRoster_RelayLeaves_GetsNoLease(t *testing.T) {
	options := calm(5, 3, 80)
	world := formedWorld(t, options)
	short := world.relayNames(4)
	world.roster = short
	world.Crash(world.Relays[0])
	world.Start(world.Relays[0]) // with a file that names four
	world.Run(4 * options.Lease)
	world.Admin(world.Relays[0], node.AdminRequest{Op: "roster"})
	removed := world.Relays[4]
	if !world.Await(10*options.Lease, func() bool { return !removed.Node.Status().MayAct }) {
		t.Fatal("a relay acts that has left the roster")
	}
	if why := removed.Node.Status().WhyNot; why != "it is not on the roster" {
		t.Errorf("it says %q", why)
	}
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	if !world.Await(10*options.Lease, func() bool { return world.Relays[1].Mandate.Version == 1 && world.Relays[1].Mandate.Halted == 0 }) {
		t.Fatal("no change takes hold")
	}
	judge(t, world)
}
