package engine

import (
	"slices"
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// govern hands the core its mandate, with so much of its lease left (0: it has none), and takes the turn; *done is true once the mandate
// has taken hold.
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

// verdict submits a message and returns the reply's verdict; false: the turn has not answered it.
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

// answerCalls answers the calls that go out, until none has for so long.
func (r *harness) answerCalls(idle time.Duration, respond func(*Attempt) []Outcome) {
	for {
		select {
		case attempt := <-r.front.attempts:
			r.answer(respond(attempt)...)
		case <-time.After(idle):
			return
		}
	}
}

// wantNoCall fails the test if a call has gone out.
func (r *harness) wantNoCall(why string) {
	r.t.Helper()
	select {
	case s := <-r.front.attempts:
		r.t.Fatalf("%s: a call to %s went out", why, s.To.Name)
	case <-time.After(20 * time.Millisecond):
	}
}

// TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts: without a lease nothing is accepted; under one messages are, and
// calls carry their version and are bound by it.
func TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{}, 0)
	if verdict, _ := relay.verdict("a", 0, 7); verdict != Busy {
		t.Errorf("without a lease: %v", verdict)
	}
	relay.govern(capture.Mandate{Version: 3, Stamp: true}, time.Second)
	if verdict, _ := relay.verdict("b", 0, 7); verdict != Accepted {
		t.Errorf("under a lease: %v", verdict)
	}
	attempt := <-relay.front.attempts
	if attempt.PolicyVersion != 3 || attempt.WriteBefore.IsZero() || attempt.WriteBefore.After(relay.now.Add(time.Second)) {
		t.Errorf("the call tells version %d and may be written until %v", attempt.PolicyVersion, attempt.WriteBefore)
	}
	if e := relay.core.messages[attempt.Items[0].ref].entry; e.PolicyVersion != 3 {
		t.Errorf("the journal has version %d", e.PolicyVersion)
	}
	relay.answer(Outcome{})
	relay.turnAfter(2 * time.Second)
	if verdict, _ := relay.verdict("c", 0, 7); verdict != Busy {
		t.Errorf("after its lease: %v", verdict)
	}
	relay.govern(capture.Mandate{Version: 3, Closed: true}, time.Second)
	if verdict, _ := relay.verdict("d", 0, 7); verdict != Busy {
		t.Errorf("closed: %v", verdict)
	}
	relay.govern(capture.Mandate{Version: 3, Shut: []int{7}}, time.Second)
	if verdict, _ := relay.verdict("e", 0, 7); verdict != Busy {
		t.Errorf("shut: %v", verdict)
	}
	if verdict, _ := relay.verdict("f", 1, 8); verdict != Accepted {
		t.Errorf("another partner: %v", verdict)
	}
}

// TestMandate_Halted_AttemptsWaitAndUnwrittenAreRecalled: what the module decides while the relay is halted waits, and begins once it may
// act; what has written nothing yet is called back.
func TestMandate_Halted_AttemptsWaitAndUnwrittenAreRecalled(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{Version: 1, Stamp: true}, 5*time.Second)
	a, _ := relay.arrival("a", 1, 8, 9*time.Second)
	relay.turnAfter(5*time.Millisecond, a)
	first := <-relay.front.attempts // connecting, nothing is written
	stopped := relay.govern(capture.Mandate{Version: 1, Stamp: true, Halted: 2}, 5*time.Second)
	if !*stopped {
		t.Error("it does not say that it has stopped")
	}
	if first.MayWriteAt(relay.now) {
		t.Error("a call that had written nothing goes out after the relay has stopped")
	}
	relay.answer(Outcome{Result: control.NotProcessed}) // the module sends it again at once
	relay.turnAfter(20 * time.Millisecond)
	relay.turnAfter(20 * time.Millisecond)
	relay.wantNoCall("halted")
	relay.govern(capture.Mandate{Version: 2, Stamp: true}, 5*time.Second)
	next := <-relay.front.attempts
	if next.PolicyVersion != 2 || next.Items[0].ID != "a" || !next.MayWriteAt(relay.now) {
		t.Errorf("it goes on with %+v", next)
	}
}

// TestSubmit_WhileHalted_WaitsForNewPolicy: a message that is submitted right before the relay halts for a change waits for that, and is accepted
// under the new version; one that comes later too.
func TestSubmit_WhileHalted_WaitsForNewPolicy(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{Version: 1}, time.Hour)
	got := make(chan Reply)
	hand := func(id string) {
		got <- relay.core.Submit("platform", Message{ID: id, Key: "k", Class: 1, Partner: 8, Deadline: time.Now().Add(9 * time.Second),
			Body: []byte("b")})
	}
	go hand("a")
	first := <-relay.core.queue // it has passed the check, and its turn comes when the relay is halted
	relay.core.Govern(Mandate{capture.Mandate{Version: 1, Halted: 2}, relay.now.Add(time.Hour)}, nil)
	relay.turnAfter(time.Millisecond, <-relay.core.queue, first)
	go hand("b")
	relay.core.Govern(Mandate{capture.Mandate{Version: 2}, relay.now.Add(time.Hour)}, nil)
	for answers := 0; answers < 2; {
		select {
		case ev := <-relay.core.queue:
			relay.turnAfter(time.Millisecond, ev)
		case v := <-got:
			if answers++; v.Verdict != Accepted {
				t.Errorf("it is answered %v", v.Verdict)
			}
		}
	}
	for _, id := range []string{"a", "b"} {
		if m := relay.core.messagesByID["platform "+id]; m == nil || m.entry.PolicyVersion != 2 {
			t.Errorf("%s is not taken on under version 2: %+v", id, m)
		}
	}
}

// TestLease_AttemptWaitsPastTimeout_NeverBegan: what waits past its time-out never began.
func TestLease_AttemptWaitsPastTimeout_NeverBegan(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{Version: 1}, 50*time.Millisecond)
	a, _ := relay.arrival("a", 1, 8, 9*time.Second)
	relay.now = relay.now.Add(40 * time.Millisecond)
	relay.turnAfter(5*time.Millisecond, a)
	first := <-relay.front.attempts
	relay.answer(Outcome{Result: control.Throttled, RetryAfter: time.Millisecond})
	for range 600 {
		relay.turnAfter(20 * time.Millisecond)
	}
	relay.wantNoCall("no lease")
	_ = first
	m := relay.core.messagesByID["platform a"]
	if m == nil || !m.entry.NoticePending || !m.entry.Notice.HandedBack && m.entry.MayHaveRun {
		t.Fatalf("a message that can't be sent has no end: %+v", m)
	}
	if m.entry.MayHaveRun {
		t.Error("a call that never began may have run")
	}
}

// failingShell is a shell whose calls fail at once.
type failingShell struct {
	inertShell
	calls int
}

func (e *failingShell) Call(_ Front, s *Attempt, _ time.Time, done func([]Outcome)) func() {
	e.calls++
	done(slices.Repeat([]Outcome{{Result: control.Errored}}, len(s.Items)))
	return func() {}
}

// TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart: of the numbers of attempts allowed when a message was accepted and now,
// the smaller counts, and outlasts a restart.
func TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart(t *testing.T) {
	for _, test := range []struct{ accepted, afterRestart, want int }{{1, 0, 1}, {0, 1, 1}, {2, 1, 1}, {1, 2, 1}} {
		dir := t.TempDir()
		relay := newHarness(t, dir, time.Now())
		relay.govern(capture.Mandate{Version: 1, Attempts: []int{0, test.accepted}}, time.Hour)
		a, _ := relay.arrival("a", 1, 8, 20*time.Second)
		relay.turnAfter(5*time.Millisecond, a)
		if !(<-relay.front.attempts).MayWrite() { // its bytes are out when the process ends
			t.Fatal("the first attempt may not begin")
		}
		shell := &failingShell{}
		relay = newHarness(t, dir, relay.now.Add(time.Second), func(core *Core) {
			core.SetShell(shell)
			core.Govern(Mandate{}, nil)
		})
		relay.govern(capture.Mandate{Version: 2, Attempts: []int{0, test.afterRestart}}, time.Hour)
		for range 400 {
			relay.turnAfter(20*time.Millisecond, relay.core.drainQueue(nil)...)
		}
		if calls := 1 + shell.calls; calls != test.want { // one was out when the process ended
			t.Errorf("accepted with %d, after the restart %d: %d calls, want %d", test.accepted, test.afterRestart, calls, test.want)
		}
	}
}

// TestLease_PartnerLimitedByHand_WaitingAttemptsArePaced: what was decided, while the relay had no lease, for a partner that an operator
// has limited is not sent all at once when it has one again.
func TestLease_PartnerLimitedByHand_WaitingAttemptsArePaced(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	rateLimits := []capture.PartnerRateLimit{{Partner: 8, Limit: 4}} // a call in 250 ms: the settings name one relay
	relay.govern(capture.Mandate{Version: 1, Most: rateLimits}, 200*time.Millisecond)
	calls, items := 0, 0
	drain := func() {
		relay.answerCalls(10*time.Millisecond, func(attempt *Attempt) []Outcome {
			calls, items = calls+1, items+len(attempt.Items)
			return make([]Outcome, len(attempt.Items))
		})
	}
	for i := range 4 { // the settings let it hold three beside one that is out
		a, _ := relay.arrival(string(rune('a'+i)), 1, 8, 15*time.Second)
		relay.turnAfter(time.Millisecond, a)
		if i == 0 {
			drain()
		}
	}
	for range 100 { // the lease is over, and the module goes on deciding
		relay.turnAfter(20 * time.Millisecond)
	}
	drain()
	before := calls
	relay.govern(capture.Mandate{Version: 1, Most: rateLimits}, time.Hour)
	relay.turnAfter(time.Millisecond)
	drain()
	if burst := calls - before; burst > 1 {
		t.Errorf("%d calls at once when it has a lease again", burst)
	}
	for range 300 {
		relay.turnAfter(20 * time.Millisecond)
		drain()
	}
	if items != 4 {
		t.Errorf("%d of 4 messages went out", items)
	}
}

// TestQuota_Halted_ModuleDecidesNoBurst: given a partner whose limit relays share, when the relay is halted for a while and rests meanwhile, then it
// has no more to send at once than a relay that goes on, and all that it has accepted is sent afterwards.
func TestQuota_Halted_ModuleDecidesNoBurst(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	endpoint := relay.core.fronts["platform"].listed["s-2"]
	limits := control.SharedLimits{GuaranteedShare: 0.25, KeepsGuaranteed: true, Grants: []control.Grant{{Endpoint: endpoint,
		ExtraShare: 0.25, Limit: 10}}} // 5 calls/s
	grant := func(attempt control.SharedLimits) {
		relay.core.GrantQuota(attempt, relay.now.Add(time.Hour), nil)
		relay.turnAfter(time.Millisecond, <-relay.core.queue)
	}
	out := 0
	drain := func() {
		relay.answerCalls(5*time.Millisecond, func(attempt *Attempt) []Outcome {
			out += len(attempt.Items)
			return []Outcome{{Reported: true, Share: 1, Limit: 10}}
		})
	}
	relay.govern(capture.Mandate{Version: 1}, time.Hour)
	grant(limits)
	taken := 0
	for i := range 4 { // the settings let it hold three beside one that is out
		if v, _ := relay.verdict(string(rune('a'+i)), 1, 8); v == Accepted {
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
	relay.govern(capture.Mandate{Version: 1, Halted: 2}, time.Hour)
	grant(WithoutLease(limits))
	for range 100 {
		relay.turnAfter(20 * time.Millisecond)
	}
	if n := len(relay.core.awaitingLease); n > 1 {
		t.Errorf("%d calls wait for the end of the halt", n)
	}
	grant(limits)
	relay.govern(capture.Mandate{Version: 2}, time.Hour)
	relay.turnAfter(time.Millisecond)
	drain()
	if burst := out - sent; burst > 1 {
		t.Errorf("%d calls at once when it goes on", burst)
	}
	for range 60 {
		relay.turnAfter(20 * time.Millisecond)
		drain()
	}
	if out != taken || taken < sent+2 {
		t.Errorf("%d of %d messages went out", out, taken)
	}
}
