package engine

import (
	"slices"
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// govern puts a mandate in force, with a lease that ends after left (0: no lease), and takes the turn; *done is true once the mandate is in
// force.
func (r *harness) govern(s capture.Mandate, left time.Duration) (done *bool) {
	done = new(bool)
	until := time.Time{}
	if left != 0 {
		until = r.now.Add(left)
	}
	r.core.SetMandate(Mandate{s, until}, func() { *done = true })
	r.turnAfter(0, <-r.core.queue)
	return done
}

// verdict submits a message and returns the reply's verdict; false if the turn has not answered the message.
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

// answerCalls answers calls until none has been made for the time idle.
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

// wantNoCall fails the test if a call is made.
func (r *harness) wantNoCall(why string) {
	r.t.Helper()
	select {
	case s := <-r.front.attempts:
		r.t.Fatalf("%s: unexpected call to %s", why, s.To.Name)
	case <-time.After(20 * time.Millisecond):
	}
}

// TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts: messages are accepted only under a lease. Calls carry the mandate's version
// and must start before the lease ends.
func TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{}, 0)
	if verdict, _ := relay.verdict("a", 0, 7); verdict != Busy {
		t.Errorf("verdict without a lease: %v, want Busy", verdict)
	}
	relay.govern(capture.Mandate{Version: 3, Stamp: true}, time.Second)
	if verdict, _ := relay.verdict("b", 0, 7); verdict != Accepted {
		t.Errorf("verdict under a lease: %v, want Accepted", verdict)
	}
	attempt := <-relay.front.attempts
	if attempt.PolicyVersion != 3 || attempt.WriteBefore.IsZero() || attempt.WriteBefore.After(relay.now.Add(time.Second)) {
		t.Errorf("the call carries version %d, want 3, or WriteBefore, %v, is not within the lease", attempt.PolicyVersion, attempt.WriteBefore)
	}
	if e := relay.core.messages[attempt.Items[0].ref].entry; e.PolicyVersion != 3 {
		t.Errorf("the journal has version %d, want 3", e.PolicyVersion)
	}
	relay.answer(Outcome{})
	relay.turnAfter(2 * time.Second)
	if verdict, _ := relay.verdict("c", 0, 7); verdict != Busy {
		t.Errorf("verdict after the lease: %v, want Busy", verdict)
	}
	relay.govern(capture.Mandate{Version: 3, Closed: true}, time.Second)
	if verdict, _ := relay.verdict("d", 0, 7); verdict != Busy {
		t.Errorf("verdict under a closed mandate: %v, want Busy", verdict)
	}
	relay.govern(capture.Mandate{Version: 3, Shut: []int{7}}, time.Second)
	if verdict, _ := relay.verdict("e", 0, 7); verdict != Busy {
		t.Errorf("verdict for a partner that is shut: %v, want Busy", verdict)
	}
	if verdict, _ := relay.verdict("f", 1, 8); verdict != Accepted {
		t.Errorf("verdict for another partner: %v, want Accepted", verdict)
	}
}

// TestMandate_Halted_AttemptsWaitAndUnwrittenAreRecalled: a halt recalls attempts that have written nothing. Attempts that the module
// decides on during the halt start after it.
func TestMandate_Halted_AttemptsWaitAndUnwrittenAreRecalled(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{Version: 1, Stamp: true}, 5*time.Second)
	a, _ := relay.arrival("a", 1, 8, 9*time.Second)
	relay.turnAfter(5*time.Millisecond, a)
	first := <-relay.front.attempts // connecting, nothing is written
	halted := relay.govern(capture.Mandate{Version: 1, Stamp: true, Halted: 2}, 5*time.Second)
	if !*halted {
		t.Error("SetMandate's callback was not called after the relay was halted")
	}
	if first.MayWriteAt(relay.now) {
		t.Error("a call that had written nothing may be written after the relay was halted")
	}
	relay.answer(Outcome{Result: control.NotProcessed}) // the module decides on the next attempt at once
	relay.turnAfter(20 * time.Millisecond)
	relay.turnAfter(20 * time.Millisecond)
	relay.wantNoCall("halted")
	relay.govern(capture.Mandate{Version: 2, Stamp: true}, 5*time.Second)
	next := <-relay.front.attempts
	if next.PolicyVersion != 2 || next.Items[0].ID != "a" || !next.MayWriteAt(relay.now) {
		t.Errorf("after the halt the call is %+v, want message a under version 2", next)
	}
}

// TestSubmit_WhileHalted_WaitsForNewPolicy: messages that are submitted right before or during a halt for a change of policy wait for its
// end, and are accepted under the new version.
func TestSubmit_WhileHalted_WaitsForNewPolicy(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.govern(capture.Mandate{Version: 1}, time.Hour)
	got := make(chan Reply)
	submit := func(id string) {
		got <- relay.core.Submit("platform", Message{ID: id, Key: "k", Class: 1, Partner: 8, Deadline: time.Now().Add(9 * time.Second),
			Body: []byte("b")})
	}
	go submit("a")
	first := <-relay.core.queue // message a has passed Submit's check; its turn is taken when the relay is halted
	relay.core.SetMandate(Mandate{capture.Mandate{Version: 1, Halted: 2}, relay.now.Add(time.Hour)}, nil)
	relay.turnAfter(time.Millisecond, <-relay.core.queue, first)
	go submit("b")
	relay.core.SetMandate(Mandate{capture.Mandate{Version: 2}, relay.now.Add(time.Hour)}, nil)
	for answers := 0; answers < 2; {
		select {
		case ev := <-relay.core.queue:
			relay.turnAfter(time.Millisecond, ev)
		case v := <-got:
			if answers++; v.Verdict != Accepted {
				t.Errorf("a message is answered %v, want Accepted", v.Verdict)
			}
		}
	}
	for _, id := range []string{"a", "b"} {
		if m := relay.core.messagesByID["platform "+id]; m == nil || m.entry.PolicyVersion != 2 {
			t.Errorf("%s is not accepted under version 2: %+v", id, m)
		}
	}
}

// TestLease_AttemptWaitsPastTimeout_NeverBegan: an attempt that waits for a lease past its time-out ends as never started.
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
		t.Fatalf("a message that can't be sent has not ended: %+v", m)
	}
	if m.entry.MayHaveRun {
		t.Error("MayHaveRun is set though the call never started")
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

// TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart: a message may have the smaller of the numbers of attempts permitted when it was
// accepted and now, also after a restart.
func TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart(t *testing.T) {
	for _, test := range []struct{ accepted, afterRestart, want int }{{1, 0, 1}, {0, 1, 1}, {2, 1, 1}, {1, 2, 1}} {
		dir := t.TempDir()
		relay := newHarness(t, dir, time.Now())
		relay.govern(capture.Mandate{Version: 1, Attempts: []int{0, test.accepted}}, time.Hour)
		a, _ := relay.arrival("a", 1, 8, 20*time.Second)
		relay.turnAfter(5*time.Millisecond, a)
		if !(<-relay.front.attempts).MayWrite() { // the call is being written when the process ends
			t.Fatal("MayWrite of the first attempt is false")
		}
		shell := &failingShell{}
		relay = newHarness(t, dir, relay.now.Add(time.Second), func(core *Core) {
			core.SetShell(shell)
			core.SetMandate(Mandate{}, nil)
		})
		relay.govern(capture.Mandate{Version: 2, Attempts: []int{0, test.afterRestart}}, time.Hour)
		for range 400 {
			relay.turnAfter(20*time.Millisecond, relay.core.drainQueue(nil)...)
		}
		if calls := 1 + shell.calls; calls != test.want { // one was in flight when the process ended
			t.Errorf("accepted with %d attempts, after the restart %d: %d calls, want %d", test.accepted, test.afterRestart, calls, test.want)
		}
	}
}

// TestLease_PartnerLimitedByHand_WaitingAttemptsArePaced: attempts that were decided on while the relay had no lease, to a partner whose
// rate an operator has limited, do not start all at once under the next lease.
func TestLease_PartnerLimitedByHand_WaitingAttemptsArePaced(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	rateLimits := []capture.PartnerRateLimit{{Partner: 8, Limit: 4}} // one call per 250 ms, since the settings have one relay
	relay.govern(capture.Mandate{Version: 1, Most: rateLimits}, 200*time.Millisecond)
	calls, items := 0, 0
	answerPending := func() {
		relay.answerCalls(10*time.Millisecond, func(attempt *Attempt) []Outcome {
			calls, items = calls+1, items+len(attempt.Items)
			return make([]Outcome, len(attempt.Items))
		})
	}
	for i := range 4 { // the settings permit at most four pending messages
		a, _ := relay.arrival(string(rune('a'+i)), 1, 8, 15*time.Second)
		relay.turnAfter(time.Millisecond, a)
		if i == 0 {
			answerPending()
		}
	}
	for range 100 { // the lease ends, and the module continues to decide
		relay.turnAfter(20 * time.Millisecond)
	}
	answerPending()
	before := calls
	relay.govern(capture.Mandate{Version: 1, Most: rateLimits}, time.Hour)
	relay.turnAfter(time.Millisecond)
	answerPending()
	if burst := calls - before; burst > 1 {
		t.Errorf("%d calls at once under the new lease, want at most 1", burst)
	}
	for range 300 {
		relay.turnAfter(20 * time.Millisecond)
		answerPending()
	}
	if items != 4 {
		t.Errorf("%d messages were sent, want 4", items)
	}
}

// TestQuota_Halted_ModuleDecidesNoBurst: while a relay is halted and granted WithoutLease, calls to a partner with a shared limit must not
// accumulate. After the halt there is no burst, and every accepted message is still sent.
func TestQuota_Halted_ModuleDecidesNoBurst(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	endpoint := relay.core.fronts["platform"].listed["s-2"]
	limits := control.SharedLimits{GuaranteedShare: 0.25, KeepsGuaranteed: true, Grants: []control.Grant{{Endpoint: endpoint,
		ExtraShare: 0.25, Limit: 10}}} // 5 calls/s
	grant := func(attempt control.SharedLimits) {
		relay.core.GrantQuota(attempt, relay.now.Add(time.Hour), nil)
		relay.turnAfter(time.Millisecond, <-relay.core.queue)
	}
	answered := 0
	answerPending := func() {
		relay.answerCalls(5*time.Millisecond, func(attempt *Attempt) []Outcome {
			answered += len(attempt.Items)
			return []Outcome{{Reported: true, Share: 1, Limit: 10}}
		})
	}
	relay.govern(capture.Mandate{Version: 1}, time.Hour)
	grant(limits)
	accepted := 0
	for i := range 4 { // the settings permit at most four pending messages
		if v, _ := relay.verdict(string(rune('a'+i)), 1, 8); v == Accepted {
			accepted++
		}
		if i == 0 {
			answerPending()
		}
	}
	answerPending()
	sent := answered
	if sent == 0 || sent > 2 {
		t.Fatalf("%d calls before the halt, want one or two", sent)
	}
	relay.govern(capture.Mandate{Version: 1, Halted: 2}, time.Hour)
	grant(WithoutLease(limits))
	for range 100 {
		relay.turnAfter(20 * time.Millisecond)
	}
	if n := len(relay.core.awaitingLease); n > 1 {
		t.Errorf("%d calls wait for the end of the halt, want at most 1", n)
	}
	grant(limits)
	relay.govern(capture.Mandate{Version: 2}, time.Hour)
	relay.turnAfter(time.Millisecond)
	answerPending()
	if burst := answered - sent; burst > 1 {
		t.Errorf("%d calls at once after the halt, want at most 1", burst)
	}
	for range 60 {
		relay.turnAfter(20 * time.Millisecond)
		answerPending()
	}
	if answered != accepted || accepted < sent+2 {
		t.Errorf("%d messages were sent, want all %d accepted, and at least two after the halt", answered, accepted)
	}
}
