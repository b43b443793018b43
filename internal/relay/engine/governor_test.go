package engine

import (
	"slices"
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// govern tells the core its standing, with so much of its lease left, and takes the turn.
func (r *harness) govern(s capture.Mandate, left time.Duration) (done *bool) {
	done = new(bool)
	until := time.Time{}
	if left != 0 {
		until = r.now.Add(left)
	}
	r.core.Govern(Mandate{s, until}, func() { *done = true })
	r.turnAfter(0, <-r.core.queue)
	return done
}

func (r *harness) verdict(id string, class, partner int) (Verdict, bool) {
	a, reply := r.arrival(id, class, partner, 9*time.Second)
	r.turnAfter(5*time.Millisecond, a)
	select {
	case v := <-reply:
		return v.Verdict, true
	default:
		return 0, false
	}
}

// noStep tells that no call has gone out.
func (r *harness) noStep(why string) {
	r.t.Helper()
	select {
	case s := <-r.front.steps:
		r.t.Fatalf("%s: a call to %s went out", why, s.To.Name)
	case <-time.After(20 * time.Millisecond):
	}
}

// TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts: without a lease nothing is taken on; under one all is as ever, and calls tell their version and are bound by it.
func TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.govern(capture.Mandate{}, 0)
	if v, _ := r.verdict("a", 0, 7); v != Busy {
		t.Errorf("without a lease: %v", v)
	}
	r.govern(capture.Mandate{Version: 3, Stamp: true}, time.Second)
	if v, _ := r.verdict("b", 0, 7); v != Accepted {
		t.Errorf("under a lease: %v", v)
	}
	s := <-r.front.steps
	if s.PolicyVersion != 3 || s.WriteBefore.IsZero() || s.WriteBefore.After(r.now.Add(time.Second)) {
		t.Errorf("the call tells version %d and may be written until %v", s.PolicyVersion, s.WriteBefore)
	}
	if e := r.core.messages[s.Items[0].ref].entry; e.PolicyVersion != 3 {
		t.Errorf("the journal has version %d", e.PolicyVersion)
	}
	r.answer(Outcome{})
	r.turnAfter(2 * time.Second)
	if v, _ := r.verdict("c", 0, 7); v != Busy {
		t.Errorf("after its lease: %v", v)
	}
	r.govern(capture.Mandate{Version: 3, Closed: true}, time.Second)
	if v, _ := r.verdict("d", 0, 7); v != Busy {
		t.Errorf("closed: %v", v)
	}
	r.govern(capture.Mandate{Version: 3, Shut: []int{7}}, time.Second)
	if v, _ := r.verdict("e", 0, 7); v != Busy {
		t.Errorf("shut: %v", v)
	}
	if v, _ := r.verdict("f", 1, 8); v != Accepted {
		t.Errorf("another partner: %v", v)
	}
}

// TestMandate_Halted_AttemptsWaitAndUnwrittenAreRecalled: what the module decides while the relay is halted waits, and begins once it may act; what has written nothing yet
// is called back.
func TestMandate_Halted_AttemptsWaitAndUnwrittenAreRecalled(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.govern(capture.Mandate{Version: 1, Stamp: true}, 5*time.Second)
	a, _ := r.arrival("a", 1, 8, 9*time.Second)
	r.turnAfter(5*time.Millisecond, a)
	first := <-r.front.steps // connecting, nothing is written
	stopped := r.govern(capture.Mandate{Version: 1, Stamp: true, Halted: 2}, 5*time.Second)
	if !*stopped {
		t.Error("it does not say that it has stopped")
	}
	if first.MayWriteAt(r.now) {
		t.Error("a call that had written nothing goes out after the relay has stopped")
	}
	r.answer(Outcome{Result: control.NotProcessed}) // the module sends it again at once
	r.turnAfter(20 * time.Millisecond)
	r.turnAfter(20 * time.Millisecond)
	r.noStep("halted")
	r.govern(capture.Mandate{Version: 2, Stamp: true}, 5*time.Second)
	next := <-r.front.steps
	if next.PolicyVersion != 2 || next.Items[0].ID != "a" || !next.MayWriteAt(r.now) {
		t.Errorf("it goes on with %+v", next)
	}
}

// TestSubmit_WhileHalted_WaitsForNewPolicy: a message that is handed in right before the relay stops for a change waits for that, and is taken on
// under the new version; one that comes later too.
func TestSubmit_WhileHalted_WaitsForNewPolicy(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.govern(capture.Mandate{Version: 1}, time.Hour)
	got := make(chan Reply)
	hand := func(id string) {
		got <- r.core.Submit("platform", Message{ID: id, Key: "k", Class: 1, Partner: 8, Deadline: time.Now().Add(9 * time.Second), Body: []byte("b")})
	}
	go hand("a")
	first := <-r.core.queue // it has passed the check, and its turn comes when the relay is halted
	r.core.Govern(Mandate{capture.Mandate{Version: 1, Halted: 2}, r.now.Add(time.Hour)}, nil)
	r.turnAfter(time.Millisecond, <-r.core.queue, first)
	go hand("b")
	r.core.Govern(Mandate{capture.Mandate{Version: 2}, r.now.Add(time.Hour)}, nil)
	for answers := 0; answers < 2; {
		select {
		case ev := <-r.core.queue:
			r.turnAfter(time.Millisecond, ev)
		case v := <-got:
			if answers++; v.Verdict != Accepted {
				t.Errorf("it is answered %v", v.Verdict)
			}
		}
	}
	for _, id := range []string{"a", "b"} {
		if m := r.core.messagesByID["platform "+id]; m == nil || m.entry.PolicyVersion != 2 {
			t.Errorf("%s is not taken on under version 2: %+v", id, m)
		}
	}
}

// TestLease_AttemptWaitsPastTimeout_NeverBegan: what waits past its time-out never began.
func TestLease_AttemptWaitsPastTimeout_NeverBegan(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.govern(capture.Mandate{Version: 1}, 50*time.Millisecond)
	a, _ := r.arrival("a", 1, 8, 9*time.Second)
	r.now = r.now.Add(40 * time.Millisecond)
	r.turnAfter(5*time.Millisecond, a)
	first := <-r.front.steps
	r.answer(Outcome{Result: control.Throttled, RetryAfter: time.Millisecond})
	for range 600 {
		r.turnAfter(20 * time.Millisecond)
	}
	r.noStep("no lease")
	_ = first
	m := r.core.messagesByID["platform a"]
	if m == nil || !m.entry.NoticePending || !m.entry.Notice.HandedBack && m.entry.MayHaveRun {
		t.Fatalf("a message that can't be sent has no end: %+v", m)
	}
	if m.entry.MayHaveRun {
		t.Error("a call that never began may have run")
	}
}

// erring is a shell whose calls fail at once.
type erring struct {
	inertShell
	calls int
}

func (e *erring) Call(_ Front, s *Attempt, _ time.Time, done func([]Outcome)) func() {
	e.calls++
	done(slices.Repeat([]Outcome{{Result: control.Errored}}, len(s.Items)))
	return func() {}
}

// TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart: of the allowances under which a message was taken on and is tried the narrower counts, and outlasts a restart.
func TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart(t *testing.T) {
	for _, c := range []struct{ taken, tried, want int }{{1, 0, 1}, {0, 1, 1}, {2, 1, 1}, {1, 2, 1}} {
		dir := t.TempDir()
		r := newHarness(t, dir, time.Now())
		r.govern(capture.Mandate{Version: 1, Attempts: []int{0, c.taken}}, time.Hour)
		a, _ := r.arrival("a", 1, 8, 20*time.Second)
		r.turnAfter(5*time.Millisecond, a)
		if !(<-r.front.steps).MayWrite() { // its bytes are out when the process ends
			t.Fatal("the first attempt may not begin")
		}
		sh := &erring{}
		r = newHarness(t, dir, r.now.Add(time.Second), func(c *Core) {
			c.SetShell(sh)
			c.Govern(Mandate{}, nil)
		})
		r.govern(capture.Mandate{Version: 2, Attempts: []int{0, c.tried}}, time.Hour)
		for range 400 {
			r.turnAfter(20*time.Millisecond, r.core.drainQueue(nil)...)
		}
		if calls := 1 + sh.calls; calls != c.want { // one was out when the process ended
			t.Errorf("taken on with %d, tried with %d: %d calls, want %d", c.taken, c.tried, calls, c.want)
		}
	}
}

// TestLease_PartnerLimitedByHand_WaitingAttemptsArePaced: what was decided for a partner that is limited by hand while the relay had no lease does not go out all at once when
// it has one again.
func TestLease_PartnerLimitedByHand_WaitingAttemptsArePaced(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	most := []capture.PartnerRateLimit{{Partner: 8, Limit: 4}} // a call in 250 ms: the settings name one relay
	r.govern(capture.Mandate{Version: 1, Most: most}, 200*time.Millisecond)
	out, items := 0, 0
	drain := func() {
		for {
			select {
			case s := <-r.front.steps:
				out, items = out+1, items+len(s.Items)
				r.answer(make([]Outcome, len(s.Items))...)
			case <-time.After(10 * time.Millisecond):
				return
			}
		}
	}
	for i := range 4 { // the settings let it hold three beside one that is out
		a, _ := r.arrival(string(rune('a'+i)), 1, 8, 15*time.Second)
		r.turnAfter(time.Millisecond, a)
		if i == 0 {
			drain()
		}
	}
	for range 100 { // the lease is over, and the module goes on deciding
		r.turnAfter(20 * time.Millisecond)
	}
	drain()
	before := out
	r.govern(capture.Mandate{Version: 1, Most: most}, time.Hour)
	r.turnAfter(time.Millisecond)
	drain()
	if at := out - before; at > 1 {
		t.Errorf("%d calls at once when it has a lease again", at)
	}
	for range 300 {
		r.turnAfter(20 * time.Millisecond)
		drain()
	}
	if items != 4 {
		t.Errorf("%d of 4 messages went out", items)
	}
}

// TestQuota_Halted_ModuleDecidesNoBurst: given a partner whose limit relays share, when the relay is halted for a while and rests meanwhile, then it
// has no more to send at once than a relay that goes on, and all that it has taken on goes out afterwards.
func TestQuota_Halted_ModuleDecidesNoBurst(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	endpoint := r.core.fronts["platform"].listed["s-2"]
	part := control.SharedLimits{GuaranteedShare: 0.25, KeepsGuaranteed: true, Grants: []control.Grant{{Endpoint: endpoint, ExtraShare: 0.25, Limit: 10}}} // 5 calls/s
	lend := func(s control.SharedLimits) {
		r.core.GrantQuota(s, r.now.Add(time.Hour), nil)
		r.turnAfter(time.Millisecond, <-r.core.queue)
	}
	out := 0
	drain := func() {
		for {
			select {
			case s := <-r.front.steps:
				out += len(s.Items)
				r.answer(Outcome{Reported: true, Share: 1, Limit: 10})
			case <-time.After(5 * time.Millisecond):
				return
			}
		}
	}
	r.govern(capture.Mandate{Version: 1}, time.Hour)
	lend(part)
	taken := 0
	for i := range 4 { // the settings let it hold three beside one that is out
		if v, _ := r.verdict(string(rune('a'+i)), 1, 8); v == Accepted {
			taken++
		}
		if i == 0 {
			drain()
		}
	}
	drain()
	sent := out
	if sent == 0 || sent > 2 {
		t.Fatalf("%d calls before it is halted, want one or two", sent)
	}
	r.govern(capture.Mandate{Version: 1, Halted: 2}, time.Hour)
	lend(WithoutLease(part))
	for range 100 {
		r.turnAfter(20 * time.Millisecond)
	}
	if n := len(r.core.awaitingLease); n > 1 {
		t.Errorf("%d calls wait for the end of the halt", n)
	}
	lend(part)
	r.govern(capture.Mandate{Version: 2}, time.Hour)
	r.turnAfter(time.Millisecond)
	drain()
	if at := out - sent; at > 1 {
		t.Errorf("%d calls at once when it goes on", at)
	}
	for range 60 {
		r.turnAfter(20 * time.Millisecond)
		drain()
	}
	if out != taken || taken < sent+2 {
		t.Errorf("%d of %d messages went out", out, taken)
	}
}
