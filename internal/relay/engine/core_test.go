package engine

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mastusher/control"
	"mastusher/internal/relay/journal"
)

func TestCore_Submission_IsAnsweredInItsTurn(t *testing.T) {
	for _, test := range []struct {
		name  string
		class int
		left  time.Duration
		late  time.Duration // how long the arrival waited in the queue
		want  Verdict
	}{
		{"accepted", 1, time.Second, 0, Accepted},
		{"deadline too close: the module refuses it in the same turn", 1, 10 * time.Millisecond, 0, Busy},
		// Its client is about to close the connection and submit the message elsewhere: two copies would run.
		{"waited in the queue for too long", 1, time.Second, 350 * time.Millisecond, Busy},
		{"no such class", 9, time.Second, 0, Accepted}, // the front checks the class: the module just ignores the message
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := newHarness(t, t.TempDir(), time.Now())
			a, reply := relay.arrival("m", test.class, 7, test.left)
			relay.turnAfter(test.late, a)
			got := <-reply
			if got.Verdict != test.want || got.Verdict == Busy && got.RetryAfter <= 0 {
				t.Errorf("got %+v, want verdict %d, and RetryAfter if that is Busy", got, test.want)
			}
			if pending := len(relay.core.messages) == 1; pending != (test.want == Accepted) {
				t.Errorf("message is pending: %v", pending)
			}
		})
	}
	relay := newHarness(t, t.TempDir(), time.Now())
	for i := range 5 {
		a, reply := relay.arrival(fmt.Sprint(i), 1, 7, time.Second)
		relay.turnAfter(0, a)
		if <-reply; len(relay.core.messages)-relay.core.outstanding > 4 {
			t.Errorf("%d messages are pending, want at most 4", len(relay.core.messages)-relay.core.outstanding)
		}
	}
	a, reply := relay.arrival("0", 1, 7, time.Second)
	relay.core.messages = map[uint64]*message{}
	if relay.turnAfter(0, a); (<-reply).Verdict != Accepted || len(relay.core.messages) != 0 {
		t.Error("a duplicate of a pending message is not answered Accepted, or is added as a second message")
	}
}

// TestCore_Killed_JournalHasAnswersAndStartedAttempts: the process is killed right after an answer or the first byte of a call. The journal
// must already contain the message or the attempt.
func TestCore_Killed_JournalHasAnswersAndStartedAttempts(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	a, reply := relay.arrival("m", 0, 7, time.Second)
	relay.turnAfter(0, a)
	if got := <-reply; got.Verdict != Accepted {
		t.Fatalf("the message is answered %+v, want Accepted", got)
	}
	attempt := <-relay.front.attempts
	if len(attempt.Items) != 1 || string(attempt.Items[0].Body) != "body" || attempt.Items[0].Key != "k" {
		t.Errorf("the call carries %+v, want the message with its body and key", attempt.Items)
	}
	entryAfterKill := func() *journal.Entry {
		copied := t.TempDir()
		if err := os.CopyFS(copied, os.DirFS(relay.dir)); err != nil {
			t.Fatal(err)
		}
		j, err := journal.Open(copied, 3<<20)
		if err != nil {
			t.Fatal(err)
		}
		e := j.Entries()
		if len(e) != 1 || e[0].ID != "m" {
			t.Fatalf("the journal has %+v, want the message alone", e)
		}
		return e[0]
	}
	if e := entryAfterKill(); e.Attempts != 0 || e.InFlight || e.MayHaveRun {
		t.Errorf("killed while connecting, the journal has %+v, want no attempt", e)
	}
	if !attempt.MayWrite() {
		t.Fatal("MayWrite is false")
	}
	if e := entryAfterKill(); e.Attempts != 1 || !e.InFlight || e.LastAttemptOn != "s-1" {
		t.Errorf("killed after the first byte, the journal has %+v, want one attempt in flight", e)
	}
}

// TestCore_Restarted_ResendsOnlyWhatMayBeRetried: after a restart the module decides by the journal's records whether a message may be
// retried.
func TestCore_Restarted_ResendsOnlyWhatMayBeRetried(t *testing.T) {
	for _, test := range []struct {
		name     string
		class    int
		attempts int
		gap      time.Duration // from the attempt to the restart
		ran      bool
		sent     bool
		notice   []Notice
	}{
		{"keyed, within its window", 0, 1, time.Second, true, true, nil},
		// A new connection delays a call by up to 0.15 s: a retry that is decided here would arrive after the window.
		{"keyed, its window almost over", 0, 1, 3800 * time.Millisecond, true, false, []Notice{{ID: "m", HandedBack: true}}},
		{"keyed, past its window", 0, 1, 5 * time.Second, true, false, []Notice{{ID: "m", HandedBack: true}}},
		{"keyed, never ran", 0, 1, 5 * time.Second, false, true, nil},
		{"safe, at any time", 1, 1, 5 * time.Second, true, true, nil},
		{"all attempts made", 1, 3, time.Second, true, false, []Notice{{ID: "m", HandedBack: true}}},
		{"past its deadline", 1, 1, 30 * time.Second, true, false, []Notice{{ID: "m", HandedBack: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir, now := t.TempDir(), time.Now()
			log, err := journal.Open(dir, 3<<20)
			if err != nil {
				t.Fatal(err)
			}
			e := &journal.Entry{ID: "m", Front: "platform", Destination: 7, Class: test.class, Deadline: now.Add(16 * time.Second)}
			_ = log.Accept(e)
			_ = log.Flush()
			for range test.attempts {
				log.Schedule(e, now, "s-1")
				if !log.Begin([]*journal.Entry{e}) {
					t.Fatal("the journal does not begin an attempt")
				}
				if !test.ran {
					log.EndAttempt(e, true)
				}
			}
			_ = log.Flush()
			relay := newHarness(t, dir, now.Add(test.gap))
			if test.sent {
				attempt := <-relay.front.attempts
				if attempt.Items[0].attempt != test.attempts {
					t.Errorf("sent as attempt %d, want %d", attempt.Items[0].attempt, test.attempts)
				}
				if end := time.UnixMicro(now.UnixMicro()).Add(3875 * time.Millisecond); !attempt.WriteBefore.IsZero() != (test.ran &&
					test.class == 0) ||
					!attempt.WriteBefore.IsZero() && !attempt.WriteBefore.Equal(end) {
					t.Errorf("WriteBefore is %v, want %v for a keyed message that may have run, else none", attempt.WriteBefore, end)
				}
			} else {
				same := cmpopts.IgnoreFields(Notice{}, "RetryAfter", "Class", "Deadline", "MayHaveRunAt", "ref")
				if d := cmp.Diff(test.notice, <-relay.front.notices, same, cmpopts.EquateEmpty()); d != "" {
					t.Errorf("notices (-want +got)\n%s", d)
				}
			}
			if n := len(relay.core.inFlight); (n == 1) != test.sent {
				t.Errorf("%d calls are in flight, want one only if the message may be retried", n)
			}
		})
	}
}

// TestCore_TenantAndWeight_ReachModule: a message's tenant and a destination's weight are passed to the module; the tenant also after a
// restart.
func TestCore_TenantAndWeight_ReachModule(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.core.settings.Weights = true
	a, _ := relay.arrival("m", 0, 7, time.Minute)
	a.msg.Tenant = 2
	a.apply(relay.core, relay.now)
	listChanged{relay.core.frontsInOrder[0], relay.core.frontsInOrder[0].listReportedBy, EndpointList{Index: 9,
		Destinations: []Destination{{Name: "s-1", Partner: 7, Weight: 4.5},
			{Name: "s-2", Partner: 8, Weight: math.NaN()}}}}.apply(relay.core, relay.now)
	if ev := relay.core.moduleEvents[0]; ev.Tenant != 2 {
		t.Errorf("the module gets tenant %d, want 2", ev.Tenant)
	}
	if eps := relay.core.moduleEvents[1].Endpoints; eps[0].ListedLimit != 4.5 || eps[1].ListedLimit != 0 {
		t.Errorf("the module gets weights %v and %v, want 4.5 and 0", eps[0].ListedLimit, eps[1].ListedLimit)
	}
	relay.turnAfter(time.Millisecond)
	relay = newHarness(t, relay.dir, relay.now)
	for _, m := range relay.core.messages {
		if ev := relay.core.arrivedEvent(m); ev.Tenant != 2 {
			t.Errorf("after a restart the module gets tenant %d, want 2", ev.Tenant)
		}
	}
	if len(relay.core.messages) != 1 {
		t.Errorf("%d messages after a restart, want 1", len(relay.core.messages))
	}
}

// TestNotice_MessageNotDelivered_IsSentUntilAccepted: the notice of a message that was not delivered is sent again, after a delay, until it
// is accepted; only then the message is forgotten.
func TestNotice_MessageNotDelivered_IsSentUntilAccepted(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	a, _ := relay.arrival("m", 0, 8, 2*time.Second)
	relay.turnAfter(0, a)
	<-relay.front.attempts
	relay.front.accepts <- false // discovery is down
	relay.answer(Outcome{Result: control.Rejected})
	if got := <-relay.front.notices; len(got) != 1 || got[0].HandedBack {
		t.Errorf("notices %+v, want one that m was given up", got)
	}
	relay.turnAfter(0, <-relay.core.queue)
	if len(relay.front.notices) != 0 {
		t.Error("the notice is sent again without delay")
	}
	relay.front.accepts <- true
	relay.turnAfter(relay.core.limits.NoticeRetry)
	if got := <-relay.front.notices; len(got) != 1 || got[0].ID != "m" {
		t.Errorf("notices %+v, want that of m again", got)
	}
	relay.turnAfter(0, <-relay.core.queue)
	if len(relay.core.journal.Entries()) != 0 || len(relay.core.messages) != 0 || relay.core.outstanding != 0 {
		t.Error("a message whose notice was accepted is still pending")
	}
}

// TestCore_ClientNeverHeardAnswer_StopsMessage: a client that never received its answer submits the message elsewhere, so the relay must
// not send its copy again.
func TestCore_ClientNeverHeardAnswer_StopsMessage(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	a, _ := relay.arrival("m", 0, 8, 2*time.Second)
	relay.turnAfter(0, a)
	attempt := <-relay.front.attempts
	relay.turnAfter(0, withdrawn{1})
	relay.answer(Outcome{Result: control.Cancelled})
	if len(relay.core.messages) != 0 || len(relay.front.attempts) != 0 || attempt.cancel == nil || len(relay.core.journal.Entries()) != 0 {
		t.Error("the withdrawn message is still pending or journalled, or was sent again")
	}
}

// TestDrain_RefusesNewWorkAndFinishesOld: while draining, after SIGTERM, new messages are refused and pending ones are still processed.
func TestDrain_RefusesNewWorkAndFinishesOld(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	first, _ := relay.arrival("m", 1, 8, 20*time.Second)
	relay.turnAfter(0, first)
	relay.core.Drain()
	if got := relay.core.Submit("platform", Message{}); got.Verdict != Busy {
		t.Errorf("a message is answered %+v while draining, want Busy", got)
	}
	second, reply := relay.arrival("n", 1, 8, time.Second)
	relay.turnAfter(0, <-relay.core.queue, second)
	if got := <-reply; got.Verdict != Busy {
		t.Errorf("a message is answered %+v while draining, want Busy", got)
	}
	ended := make(chan struct{})
	go func() { relay.core.Run(); close(ended) }()
	select {
	case <-relay.core.Drained():
		t.Error("Drained is closed while a call is in flight")
	default:
	}
	relay.front.answers <- []Outcome{{Result: control.Delivered}}
	<-relay.core.Drained()
	for range 2 { // a submission that passed Submit's check before Drain is answered until Stop, and even in the last turn
		late, lateReply := relay.arrival("o", 1, 8, time.Second)
		if relay.core.queue <- late; (<-lateReply).Verdict != Busy {
			t.Error("a message submitted after the relay has drained is not refused")
		}
	}
	late, reply := relay.arrival("p", 1, 8, time.Second)
	relay.core.queue <- late
	relay.core.Stop()
	if <-ended; (<-reply).Verdict != Busy || len(relay.core.journal.Entries()) != 0 {
		t.Error("a message submitted before the last turn is not refused, or the journal is not empty")
	}
}

// TestSubmit_DuplicateOfPendingMessage_CannotWithdrawIt: if the answer to a duplicate of a pending message is lost, the first client's
// message must not be withdrawn.
func TestSubmit_DuplicateOfPendingMessage_CannotWithdrawIt(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	a, first := relay.arrival("m", 1, 8, 2*time.Second)
	relay.turnAfter(0, a)
	b, second := relay.arrival("m", 1, 8, 2*time.Second)
	relay.turnAfter(0, b)
	if got := <-second; got.Verdict != Accepted {
		t.Fatalf("the duplicate is answered %+v, want Accepted", got)
	} else if relay.core.Withdraw(got); len(relay.core.queue) != 0 {
		t.Error("the second client withdraws the first client's message")
	}
	if relay.core.Withdraw(<-first); len(relay.core.queue) != 1 {
		t.Error("the first client can't withdraw its message")
	}
}

// TestSubmit_UnknownPartner_IsRefused: a message for a partner without listed endpoints is refused, not kept until its deadline.
func TestSubmit_UnknownPartner_IsRefused(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	a, reply := relay.arrival("m", 1, 9, 2*time.Second)
	if relay.turnAfter(0, a); (<-reply).Verdict != Busy || len(relay.core.messages) != 0 {
		t.Error("a message for an unknown partner is accepted")
	}
}

// TestRestore_ClockSetBack_NarrowerTimesCount: the clock was set back while the relay was down. Times in the journal that are now in the
// future are interpreted in the more restrictive way.
func TestRestore_ClockSetBack_NarrowerTimesCount(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	log, err := journal.Open(dir, 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	for i, id := range []string{"keyed", "safe", "of a class that is gone"} {
		e := &journal.Entry{ID: id, Front: "platform", Destination: 7 + i%2, Class: i + i/2*7, Deadline: now.Add(16 * time.Second)}
		_ = log.Accept(e)
		_ = log.Flush()
		if id == "keyed" {
			log.Schedule(e, now, "s-1")
			log.Begin([]*journal.Entry{e})
			log.EndAttempt(e, false)
		}
	}
	_ = log.Close()
	relay := newHarness(t, dir, now.Add(-time.Hour))
	// The keyed message may be handed back: all endpoints of its partner deduplicate by its key, wherever it is submitted next.
	if n := <-relay.front.notices; len(n) != 2 || n[0].ID != "of a class that is gone" || n[0].HandedBack || n[1].ID != "keyed" {
		t.Errorf("notices %+v, want that of the message of an unknown class and that of the keyed one", n)
	}
	attempt := <-relay.front.attempts
	if attempt.Items[0].ID != "safe" || len(relay.front.attempts) != 0 {
		t.Errorf("%q is sent, and %d more: want only the safe one", attempt.Items[0].ID, len(relay.front.attempts))
	}
	for _, m := range relay.core.messages {
		if class := &relay.core.settings.Classes[min(m.entry.Class, 1)]; m.entry.Deadline.After(relay.now.Add(class.Deadline)) && !m.entry.NoticePending {
			t.Errorf("%s has deadline %v, later than its class permits", m.entry.ID, m.entry.Deadline)
		}
	}
}
