package simulation

import (
	"errors"
	"slices"
	"testing"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
)

// formedWorld is a calm world in which all voters have a say.
func formedWorld(t *testing.T, o Options) *World {
	t.Helper()
	w := New(o)
	if !w.Await(20*time.Second, func() bool { return w.AllActOn(0) && w.formed() }) {
		t.Fatal("the fleet does not come about")
	}
	w.Run(3 * time.Second)
	return w
}

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

func judge(t *testing.T, w *World) {
	t.Helper()
	if b := checker.Judge(w.History, checker.Options{}); b != nil {
		t.Fatal(b)
	}
}

func (w *World) isolate(r *Relay) {
	for _, o := range w.Relays {
		if o != r {
			w.SetPartition(r, o, true)
			w.SetPartition(o, r, true)
		}
	}
}

// A relay whose clock is slow is cut off right after it got a lease; others' clocks are fast. It must stop before a
// change that goes on without it takes hold.
func TestLease_SlowClockPartitioned_EndsBeforeChange(t *testing.T) {
	o := calm(5, 3, 3)
	o.ActInterval, o.Delay = ms, 10*time.Microsecond
	w := New(o)
	for _, r := range w.Relays {
		r.clockRate = 1 + o.MaxClockDrift
	}
	last := w.Relays[4]
	last.clockRate = 1 - o.MaxClockDrift
	w.Run(5 * time.Second)
	until := last.Node.Status().LeaseLeft
	if !w.Await(2*time.Second, func() bool {
		l := last.Node.Status().LeaseLeft
		renewed := l > until
		until = l
		return renewed
	}) {
		t.Fatal("no lease is renewed")
	}
	w.isolate(last)
	w.Propose(w.Relays[1], 0, `{"format":1}`)
	at := w.Now()
	if !w.Await(3*o.Lease, func() bool { return w.Relays[1].Mandate.Version == 1 }) {
		t.Fatal("the change waits for ever for one that is cut off")
	}
	if took := w.Now() - at; took < o.Lease/2 || took > 2*o.Lease {
		t.Errorf("the change took %v, with a lease of %v out", took, o.Lease)
	}
	w.Run(o.Lease)
	judge(t, w)
}

// An answer that was long under way lends no more than its ping's time.
func TestLease_LateGrant_CountsFromItsRequest(t *testing.T) {
	o := calm(5, 3, 4)
	w := formedWorld(t, o)
	last := w.Relays[4]
	w.delayLeasesTo = last // grants to it take most of a lease
	w.Run(o.Lease)
	w.Propose(w.Relays[1], 0, `{"format":1}`)
	w.Run(20 * ms)
	for _, r := range w.Relays[:4] {
		w.SetPartition(last, r, true) // its acknowledgement is lost, late grants still come
	}
	w.Run(3 * o.Lease)
	judge(t, w)
}

// A leader that is cut off with some relays lends them nothing more once another may lead.
func TestLease_DeposedLeader_GrantsNothing(t *testing.T) {
	o := calm(6, 3, 5)
	w := formedWorld(t, o)
	l := w.leader(t)
	var with *Relay
	for _, r := range w.Relays[3:] {
		with = r
	}
	for _, r := range w.Relays {
		if r == l || r == with {
			continue
		}
		for _, x := range []*Relay{l, with} {
			w.SetPartition(r, x, true)
			w.SetPartition(x, r, true)
		}
	}
	w.Run(o.Lease)
	for _, r := range w.Relays {
		if r != l && r != with {
			w.Propose(r, 0, `{"format":1}`)
		}
	}
	if !w.Await(5*o.Lease, func() bool { return w.Relays[3].Mandate.Version == 1 }) {
		t.Fatal("the majority does not go on")
	}
	w.Run(o.Lease)
	judge(t, w)
	w.Heal()
	if !w.Await(10*o.Lease, func() bool { return w.AllActOn(1) }) {
		t.Fatal("those that were cut off don't come round")
	}
	judge(t, w)
}

// One "no" ends a change, and says who and why; two of three voters would have taken it.
func TestChange_RefusedByOneRelay_IsDropped(t *testing.T) {
	o := calm(5, 3, 6)
	o.CanApply = func(relay string, _ int, doc []byte) error {
		if relay == "r2" && len(doc) > 20 {
			return errors.New("key plugins.x: no plug-in of that name runs here")
		}
		return nil
	}
	w := formedWorld(t, o)
	ticket := w.Propose(w.Relays[3], 0, `{"format":1,"stamp":true}`)
	if !w.Await(10*o.Lease, func() bool { _, ok := w.Outcome(ticket); return ok }) {
		t.Fatal("the change does not end")
	}
	if p, _ := w.Outcome(ticket); p.DropReason != "r2: key plugins.x: no plug-in of that name runs here" {
		t.Errorf("it ended with %q", p.DropReason)
	}
	w.Run(time.Second)
	if !w.AllActOn(0) {
		t.Error("a dropped change has stopped somebody")
	}
	judge(t, w)
}

// A voter crashes right before it saves an entry, and the leader dies before it comes back. What the leader took
// for agreed on is still so.
func TestVoter_CrashesBeforeSave_CommittedChangeStays(t *testing.T) {
	for seed := range uint64(4) {
		o := calm(3, 3, 7+seed)
		w := formedWorld(t, o)
		l, a, b := w.three(t)
		w.isolate(b) // the leader and one more are the majority
		w.Run(100 * ms)
		w.crashBeforeSave = a
		w.Propose(l, 0, `{"format":1,"stamp":true}`)
		if !w.Await(o.Lease, func() bool { return a.Node == nil }) {
			t.Fatal("the entry does not come")
		}
		w.crashBeforeSave = nil
		w.Run(50 * ms)
		w.Crash(l)
		w.Heal()
		w.Start(a)
		w.Run(6 * o.Lease)
		w.Propose(b, 0, `{"format":1}`)
		w.Run(4 * o.Lease)
		w.Start(l)
		w.Run(6 * o.Lease)
		judge(t, w)
	}
}

// What a relay said before it was killed speaks for nothing that it does after.
func TestRelay_Restarted_FormerIncarnationSpeaksForNothing(t *testing.T) {
	for seed := range uint64(8) {
		o := calm(5, 3, 20+seed)
		w := formedWorld(t, o)
		r := w.Relays[4]
		w.recordFrom = r // what it sends is kept for later, too
		w.Run(o.Lease / 2)
		late := w.recorded
		w.recordFrom, w.recorded = nil, nil
		w.Crash(r)
		w.Start(r)
		w.Run(o.Lease)
		for i, again := range late { // and comes once more, a little at a time
			w.After(time.Duration(i)*ms, again)
		}
		w.Run(o.Lease / 4)
		for _, g := range w.Relays[:3] { // an answer to a former life, as if to this one's first pings
			for seq := range uint64(400) {
				w.notify(r, node.Event{From: g.Name, Message: &node.Message{LeaseGrant: &node.LeaseGrant{To: r.Name, Generation: 1, Incarnation: 7, Seq: seq,
					Lease: 50 * o.Lease, Epoch: 1}}})
			}
		}
		w.Run(5 * ms)
		w.isolate(r)
		w.Propose(w.Relays[1], 0, `{"format":1}`)
		w.Run(3 * o.Lease)
		judge(t, w)
		w.Heal()
		if !w.Await(10*o.Lease, func() bool { return w.AllActOn(1) }) {
			t.Fatalf("not all come round: %+v", r.Node.Status())
		}
	}
}

// The "yes" of a life that is over is not the next one's, however late it comes.
func TestChange_VerdictOfFormerIncarnation_IsIgnored(t *testing.T) {
	o := calm(5, 3, 30)
	w := formedWorld(t, o)
	l, r, slow := w.leader(t), w.Relays[4], w.Relays[3]
	w.Stop(slow, o.Lease/2) // keeps the change open
	w.recordFrom = r
	ticket := w.Propose(l, 0, `{"format":1}`)
	w.Run(40 * ms)
	late := w.recorded
	w.recordFrom, w.recorded = nil, nil
	w.Crash(r)
	w.Start(r)
	w.Run(3 * ms) // its first ping arrives, and nothing else
	for _, v := range w.Relays {
		w.SetPartition(r, v, true)
	}
	for _, again := range late {
		w.After(ms, again)
	}
	if !w.Await(6*o.Lease, func() bool { _, ok := w.Outcome(ticket); return ok }) {
		t.Fatal("the change does not end")
	}
	if p, _ := w.Outcome(ticket); !slices.Contains(p.Excused, r.Name) {
		t.Errorf("it ended without %v: %s never said in this life that it can apply it", p.Excused, r.Name)
	}
	judge(t, w)
}

// A voter that comes back with an older folder has forgotten what it promised: it does not vote again.
func TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain(t *testing.T) {
	for seed := range uint64(6) {
		o := calm(3, 3, 40+seed)
		w := formedWorld(t, o)
		l, a, b := w.three(t)
		back := w.CopyDisk(a)
		w.isolate(b)
		w.Run(100 * ms)
		ticket := w.Propose(l, 0, `{"format":1,"stamp":true}`)
		if !w.Await(5*o.Lease, func() bool { _, ok := w.Outcome(ticket); return ok }) {
			t.Fatal("the change does not end")
		}
		w.Crash(a)
		back()
		w.Start(a)
		w.Run(100 * ms) // time to hear what the leader remembers
		w.Crash(l)
		w.Heal()
		w.Run(6 * o.Lease)
		w.Propose(b, 0, `{"format":1}`)
		w.Run(4 * o.Lease)
		w.Start(l)
		w.Run(10 * o.Lease)
		judge(t, w)
		if !w.AllActOn(1) {
			t.Errorf("not all act under version 1: %+v", a.Node.Status())
		}
	}
}

// The older folder is from before the voter was taken in, and has no log at all (world 10908).
func TestVoter_RestoredFromEmptyDisk_Rejoins(t *testing.T) {
	for seed := range uint64(6) {
		w := New(calm(3, 3, 500+seed))
		a := w.Relays[2]
		back := w.CopyDisk(a) // right after its start
		if !w.Await(20*time.Second, func() bool { return w.AllActOn(0) && w.formed() }) {
			t.Fatal("the fleet does not come about")
		}
		w.Run(time.Duration(seed) * 100 * ms)
		w.Crash(a)
		back()
		w.Start(a)
		w.Run(5 * w.Lease)
		ticket := w.Propose(w.Relays[1], 0, `{"format":1}`)
		if !w.Await(10*w.Lease, func() bool { _, ok := w.Outcome(ticket); return ok && w.AllActOn(1) && w.formed() }) {
			t.Fatalf("it does not come round: %+v", a.Node.Status())
		}
		judge(t, w)
	}
}

// Most voters are lost for good; an operator goes on with the one that is left, and those that come back are void.
func TestForce_MajorityLost_LastVoterContinues(t *testing.T) {
	o := calm(5, 3, 60)
	w := formedWorld(t, o)
	ticket := w.Propose(w.Relays[0], 0, `{"format":1}`)
	w.Await(o.Lease, func() bool { _, ok := w.Outcome(ticket); return ok })
	w.Run(o.Lease)
	w.Crash(w.Relays[0])
	w.Crash(w.Relays[1])
	w.Run(4 * o.Lease)
	if w.Relays[3].Node.Status().MayAct {
		t.Fatal("a relay acts without a majority")
	}
	w.Admin(w.Relays[2], node.AdminRequest{Op: "force"})
	if !w.Await(10*o.Lease, func() bool { return w.AllActOn(1) }) {
		t.Fatal("the fleet does not go on")
	}
	w.Propose(w.Relays[3], 1, `{"format":1,"stamp":true}`)
	if !w.Await(10*o.Lease, func() bool { return w.AllActOn(2) }) {
		t.Fatal("no change takes hold")
	}
	w.Start(w.Relays[0])
	w.Start(w.Relays[1])
	if !w.Await(20*o.Lease, func() bool { return w.AllActOn(2) && w.formed() }) {
		t.Fatal("those that come back are not taken in")
	}
	judge(t, w)
}

// A thousand changes in a row leave state, log and messages as small as ten do.
func TestChange_ThousandInARow_StateStaysSmall(t *testing.T) {
	o := calm(4, 3, 70)
	o.ActInterval = 0
	w := formedWorld(t, o)
	size := func() (n int) {
		for _, e := range w.Relays[1].disk.image.Entries {
			n += len(e)
		}
		return n + len(w.Relays[1].disk.image.Snapshot)
	}
	maxSize := 0
	for v := range uint64(1000) {
		w.Propose(w.Relays[v%4], v, `{"format":1,"classes":{"match-event":{"attempts":2}}}`)
		if !w.Await(4*o.Lease, func() bool { return w.AllActOn(v + 1) }) {
			t.Fatalf("change %d does not take hold", v+1)
		}
		maxSize = max(maxSize, size())
	}
	if n := len(w.Relays[3].Node.Status().State.PastChanges); n > 32 || maxSize > 64<<10 {
		t.Errorf("%d ends are kept, and the log had up to %d bytes", n, maxSize)
	}
	judge(t, w)
}

// A relay that left the roster gets no lease; one that joins gets one.
func TestRoster_RelayLeaves_GetsNoLease(t *testing.T) {
	o := calm(5, 3, 80)
	w := formedWorld(t, o)
	short := w.relayNames(4)
	w.roster = short
	w.Crash(w.Relays[0])
	w.Start(w.Relays[0]) // with a file that names four
	w.Run(4 * o.Lease)
	w.Admin(w.Relays[0], node.AdminRequest{Op: "roster"})
	removed := w.Relays[4]
	if !w.Await(10*o.Lease, func() bool { return !removed.Node.Status().MayAct }) {
		t.Fatal("a relay acts that has left the roster")
	}
	if why := removed.Node.Status().WhyNot; why != "it is not on the roster" {
		t.Errorf("it says %q", why)
	}
	w.Propose(w.Relays[1], 0, `{"format":1}`)
	if !w.Await(10*o.Lease, func() bool { return w.Relays[1].Mandate.Version == 1 && w.Relays[1].Mandate.Halted == 0 }) {
		t.Fatal("no change takes hold")
	}
	judge(t, w)
}
