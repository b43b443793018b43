package simulation

import (
	"errors"
	"slices"
	"testing"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
)

// formedWorld returns a world with all voters voting and all relays acting.
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
	t.Fatal("there is no leader")
	return nil
}

// leaderAndOthers returns the leader and the other two relays of a fleet of three.
func (w *World) leaderAndOthers(t *testing.T) (l, a, b *Relay) {
	t.Helper()
	l = w.leader(t)
	return l, w.Relays[(l.Index+1)%3], w.Relays[(l.Index+2)%3]
}

// requireNoBreach fails the test if the history has a breach.
func requireNoBreach(t *testing.T, world *World) {
	t.Helper()
	if b := checker.Check(world.History, checker.Options{}); b != nil {
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

// TestLease_SlowClockPartitioned_EndsBeforeChange: a relay with a slow clock is partitioned right after it got a lease from relays with
// fast clocks. It must stop acting before a change takes effect without it.
func TestLease_SlowClockPartitioned_EndsBeforeChange(t *testing.T) {
	options := faultlessOptions(5, 3, 3)
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
		t.Fatal("the lease is not renewed within 2s")
	}
	world.isolate(last)
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	at := world.Now()
	if !world.Await(3*options.Lease, func() bool { return world.Relays[1].Mandate.Version == 1 }) {
		t.Fatal("the change does not take effect within 3 leases while a relay is partitioned")
	}
	if took := world.Now() - at; took < options.Lease/2 || took > 2*options.Lease {
		t.Errorf("the change took %v, want half of to twice the lease of %v", took, options.Lease)
	}
	world.Run(options.Lease)
	requireNoBreach(t, world)
}

// TestLease_LateGrant_CountsFromItsRequest: a lease does not end later because its grant was in transit for long.
func TestLease_LateGrant_CountsFromItsRequest(t *testing.T) {
	options := faultlessOptions(5, 3, 4)
	world := formedWorld(t, options)
	last := world.Relays[4]
	world.delayLeasesTo = last // grants to this relay take most of a lease
	world.Run(options.Lease)
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	world.Run(20 * ms)
	for _, r := range world.Relays[:4] {
		world.SetPartition(last, r, true) // its requests are lost, late grants still arrive
	}
	world.Run(3 * options.Lease)
	requireNoBreach(t, world)
}

// TestLease_DeposedLeader_GrantsNothing: a leader that is partitioned together with another relay grants it no lease once there may be
// another leader.
func TestLease_DeposedLeader_GrantsNothing(t *testing.T) {
	options := faultlessOptions(6, 3, 5)
	world := formedWorld(t, options)
	l := world.leader(t)
	var follower *Relay
	for _, r := range world.Relays[3:] {
		follower = r
	}
	for _, r := range world.Relays {
		if r == l || r == follower {
			continue
		}
		for _, x := range []*Relay{l, follower} {
			world.SetPartition(r, x, true)
			world.SetPartition(x, r, true)
		}
	}
	world.Run(options.Lease)
	for _, r := range world.Relays {
		if r != l && r != follower {
			world.Propose(r, 0, `{"format":1}`)
		}
	}
	if !world.Await(5*options.Lease, func() bool { return world.Relays[3].Mandate.Version == 1 }) {
		t.Fatal("the majority does not put version 1 into force within 5 leases")
	}
	world.Run(options.Lease)
	requireNoBreach(t, world)
	world.Heal()
	if !world.Await(10*options.Lease, func() bool { return world.AllActOn(1) }) {
		t.Fatal("not all relays act under version 1 after the partition")
	}
	requireNoBreach(t, world)
}

// TestChange_RefusedByOneRelay_IsDropped: a change is dropped if a single relay can't apply it, and the drop reason has the relay and its
// reason.
func TestChange_RefusedByOneRelay_IsDropped(t *testing.T) {
	options := faultlessOptions(5, 3, 6)
	options.CanApply = func(relay string, _ int, doc []byte) error {
		if relay == "r2" && len(doc) > 20 {
			return errors.New("key plugins.x: no plug-in of that name runs here")
		}
		return nil
	}
	world := formedWorld(t, options)
	ticket := world.Propose(world.Relays[3], 0, `{"format":1,"stamp":true}`)
	if !world.Await(10*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
		t.Fatal("the change has no outcome")
	}
	if p, _ := world.Outcome(ticket); p.DropReason != "r2: key plugins.x: no plug-in of that name runs here" {
		t.Errorf("drop reason %q, want that of r2", p.DropReason)
	}
	world.Run(time.Second)
	if !world.AllActOn(0) {
		t.Error("not all relays act under version 0 after the dropped change")
	}
	requireNoBreach(t, world)
}

// TestVoter_CrashesBeforeSave_CommittedChangeStays: a voter crashes right before it saves an entry, and the leader crashes before the voter
// is restarted. The voter must not have acknowledged the entry before the save, so that no committed entry is lost.
func TestVoter_CrashesBeforeSave_CommittedChangeStays(t *testing.T) {
	for seed := range uint64(4) {
		options := faultlessOptions(3, 3, 7+seed)
		world := formedWorld(t, options)
		l, a, b := world.leaderAndOthers(t)
		world.isolate(b) // the leader and one other voter are the majority
		world.Run(100 * ms)
		world.crashBeforeSave = a
		world.Propose(l, 0, `{"format":1,"stamp":true}`)
		if !world.Await(options.Lease, func() bool { return a.Node == nil }) {
			t.Fatal("the voter gets no entry to save within a lease")
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
		requireNoBreach(t, world)
	}
}

// TestRelay_Restarted_FormerIncarnationIsIgnored: messages from and grants to the incarnation before a crash have no effect after the
// restart.
func TestRelay_Restarted_FormerIncarnationIsIgnored(t *testing.T) {
	for seed := range uint64(8) {
		options := faultlessOptions(5, 3, 20+seed)
		world := formedWorld(t, options)
		r := world.Relays[4]
		world.recordFrom = r // its messages are sent, and recorded to be delivered again
		world.Run(options.Lease / 2)
		late := world.recorded
		world.recordFrom, world.recorded = nil, nil
		world.Crash(r)
		world.Start(r)
		world.Run(options.Lease)
		for i, again := range late { // the recorded messages arrive again after the restart
			world.After(time.Duration(i)*ms, again)
		}
		world.Run(options.Lease / 4)
		for _, g := range world.Relays[:3] { // grants to a former incarnation with the Seq of the new one's requests
			for seq := range uint64(400) {
				world.notify(r, node.Event{From: g.Name, Message: &node.Message{LeaseGrant: &node.LeaseGrant{To: r.Name, Generation: 1, Incarnation: 7, Seq: seq,
					Lease: 50 * options.Lease, Epoch: 1}}})
			}
		}
		world.Run(5 * ms)
		world.isolate(r)
		world.Propose(world.Relays[1], 0, `{"format":1}`)
		world.Run(3 * options.Lease)
		requireNoBreach(t, world)
		world.Heal()
		if !world.Await(10*options.Lease, func() bool { return world.AllActOn(1) }) {
			t.Fatalf("not all relays act under version 1: %+v", r.Node.Status())
		}
	}
}

// TestChange_VerdictOfFormerIncarnation_IsIgnored: a verdict of a former incarnation that arrives late does not count for the new one.
func TestChange_VerdictOfFormerIncarnation_IsIgnored(t *testing.T) {
	options := faultlessOptions(5, 3, 30)
	world := formedWorld(t, options)
	l, r, slow := world.leader(t), world.Relays[4], world.Relays[3]
	world.Stop(slow, options.Lease/2) // keeps the change from being decided
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
		t.Fatal("the change has no outcome")
	}
	if p, _ := world.Outcome(ticket); !slices.Contains(p.Excused, r.Name) {
		t.Errorf("excused relays %v, want %s among them, which sent no verdict in this incarnation", p.Excused, r.Name)
	}
	requireNoBreach(t, world)
}

// TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain: a voter that is restored from an older disk has lost votes and entries, and must not
// vote as the same member.
func TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain(t *testing.T) {
	for seed := range uint64(6) {
		options := faultlessOptions(3, 3, 40+seed)
		world := formedWorld(t, options)
		l, a, b := world.leaderAndOthers(t)
		restore := world.CopyDisk(a)
		world.isolate(b)
		world.Run(100 * ms)
		ticket := world.Propose(l, 0, `{"format":1,"stamp":true}`)
		if !world.Await(5*options.Lease, func() bool { _, ok := world.Outcome(ticket); return ok }) {
			t.Fatal("the change has no outcome")
		}
		world.Crash(a)
		restore()
		world.Start(a)
		world.Run(100 * ms) // time for the answers to its PositionQuery
		world.Crash(l)
		world.Heal()
		world.Run(6 * options.Lease)
		world.Propose(b, 0, `{"format":1}`)
		world.Run(4 * options.Lease)
		world.Start(l)
		world.Run(10 * options.Lease)
		requireNoBreach(t, world)
		if !world.AllActOn(1) {
			t.Errorf("not all relays act under version 1 at the end: %+v", a.Node.Status())
		}
	}
}

// TestVoter_RestoredFromEmptyDisk_Rejoins: a voter rejoins after it is restored from a disk from before it joined, which has no log, as
// with seed 10908 of Random.
func TestVoter_RestoredFromEmptyDisk_Rejoins(t *testing.T) {
	for seed := range uint64(6) {
		world := New(faultlessOptions(3, 3, 500+seed))
		a := world.Relays[2]
		restore := world.CopyDisk(a) // before it has saved anything
		if !world.Await(20*time.Second, func() bool { return world.AllActOn(0) && world.formed() }) {
			t.Fatal("the fleet does not form")
		}
		world.Run(time.Duration(seed) * 100 * ms)
		world.Crash(a)
		restore()
		world.Start(a)
		world.Run(5 * world.Lease)
		ticket := world.Propose(world.Relays[1], 0, `{"format":1}`)
		if !world.Await(10*world.Lease, func() bool { _, ok := world.Outcome(ticket); return ok && world.AllActOn(1) && world.formed() }) {
			t.Fatalf("the restored voter does not rejoin: %+v", a.Node.Status())
		}
		requireNoBreach(t, world)
	}
}

// TestForce_MajorityLost_LastVoterContinues: after the loss of most voters an operator bootstraps a new voter group at the last one. The
// others rejoin as new members when they are restarted.
func TestForce_MajorityLost_LastVoterContinues(t *testing.T) {
	options := faultlessOptions(5, 3, 60)
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
		t.Fatal("not all relays act under version 1 after force")
	}
	world.Propose(world.Relays[3], 1, `{"format":1,"stamp":true}`)
	if !world.Await(10*options.Lease, func() bool { return world.AllActOn(2) }) {
		t.Fatal("the change does not take effect")
	}
	world.Start(world.Relays[0])
	world.Start(world.Relays[1])
	if !world.Await(20*options.Lease, func() bool { return world.AllActOn(2) && world.formed() }) {
		t.Fatal("the restarted voters do not rejoin")
	}
	requireNoBreach(t, world)
}

// TestChange_ThousandInARow_StateStaysSmall: the number of past changes and the size of the log stay bounded over a thousand changes.
func TestChange_ThousandInARow_StateStaysSmall(t *testing.T) {
	options := faultlessOptions(4, 3, 70)
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
			t.Fatalf("change %d does not take effect", v+1)
		}
		maxSize = max(maxSize, size())
	}
	if n := len(world.Relays[3].Node.Status().State.PastChanges); n > 32 || maxSize > 64<<10 {
		t.Errorf("%d past changes and up to %d bytes of log, want at most 32 and 65536", n, maxSize)
	}
	requireNoBreach(t, world)
}

// TestRoster_RelayLeaves_GetsNoLease: a relay that left the roster gets no lease.
func TestRoster_RelayLeaves_GetsNoLease(t *testing.T) {
	options := faultlessOptions(5, 3, 80)
	world := formedWorld(t, options)
	shorter := world.relayNames(4)
	world.roster = shorter
	world.Crash(world.Relays[0])
	world.Start(world.Relays[0]) // with a configuration of four relays
	world.Run(4 * options.Lease)
	world.Admin(world.Relays[0], node.AdminRequest{Op: "roster"})
	removed := world.Relays[4]
	if !world.Await(10*options.Lease, func() bool { return !removed.Node.Status().MayAct }) {
		t.Fatal("a relay that left the roster still acts after 10 leases")
	}
	if why := removed.Node.Status().WhyNot; why != "it is not on the roster" {
		t.Errorf("reason %q, want that it is not on the roster", why)
	}
	world.Propose(world.Relays[1], 0, `{"format":1}`)
	if !world.Await(10*options.Lease, func() bool { return world.Relays[1].Mandate.Version == 1 && world.Relays[1].Mandate.Halted == 0 }) {
		t.Fatal("the change does not take effect")
	}
	requireNoBreach(t, world)
}
