package engine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
)

const settings = `{"state": "-", "listen": "-", "settings": {
  "allowed": {"cancel": true, "max_attempts": 3, "max_open": 4, "max_retry_after": 3000000, "retry_after": true},
  "family_info": {"kind_apart": [true, true], "per_call": [3, 1], "workers": 8}, "peers_total": 1, "round": 5000,
  "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "localities": ["a"], "machine_types": ["news-groups", "club-sites"], "registry_mode": "subscribe"}}`

// fakeFront is a wire whose answers the test gives.
type fakeFront struct {
	steps   chan *Attempt
	answers chan []Outcome
	notices chan []Notice
	taken   chan bool
	tells   bool
	watches chan int64               // after which index each was begun
	at      func(*Attempt) []Outcome // answers in the place of answers, if it is set
}

func (f *fakeFront) Call(_ context.Context, s *Attempt) []Outcome {
	f.steps <- s
	if f.at != nil {
		return f.at(s)
	}
	return <-f.answers
}
func (f *fakeFront) Notify(_ context.Context, n []Notice) []bool {
	f.notices <- n
	return slices.Repeat([]bool{<-f.taken}, len(n))
}
func (f *fakeFront) CloseIdle(*Destination) {}
func (f *fakeFront) Watch(ctx context.Context, after int64, _ func(EndpointList)) error {
	f.watches <- after
	<-ctx.Done()
	return ctx.Err()
}
func (f *fakeFront) NotifiesDeliveries() bool { return f.tells }

// harness is a core whose turns and clock the test drives.
type harness struct {
	t     *testing.T
	core  *Core
	front *fakeFront
	now   time.Time
	dir   string
}

func newHarness(t *testing.T, dir string, now time.Time, before ...func(*Core)) *harness {
	t.Helper()
	cfg, err := config.Parse([]byte(settings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log, err := journal.Open(dir, 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(cfg, log, slog.New(slog.NewTextHandler(io.Discard, nil)), now)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, core: c, now: now, dir: dir, front: &fakeFront{steps: make(chan *Attempt, 9),
		answers: make(chan []Outcome, 9), notices: make(chan []Notice, 9), taken: make(chan bool, 9),
		watches: make(chan int64, 9)}}
	c.AddFront("platform", r.front, EndpointList{Destinations: []Destination{
		{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7}, {Name: "s-2", Zone: "a", Kind: "club-sites", Partner: 8}}})
	for _, do := range before {
		do(c)
	}
	c.Restore(now)
	return r
}

// hand makes the arrival of a message.
func (r *harness) arrival(id string, class, partner int, left time.Duration) (arrival, chan Reply) {
	reply := make(chan Reply, 1)
	return arrival{front: "platform", msg: Message{ID: id, Key: "k", Class: class, Partner: partner, Deadline: r.now.Add(left),
		Body: []byte("body")}, submittedAt: r.now, reply: reply}, reply
}

// turnAfter lets d pass and takes the turn.
func (r *harness) turnAfter(d time.Duration, events ...event) {
	r.now = r.now.Add(d)
	r.core.Turn(r.now, events)
}

// answer gives the call that is out its answer and takes the turn that learns of it.
func (r *harness) answer(outs ...Outcome) {
	r.front.answers <- outs
	r.turnAfter(5*time.Millisecond, <-r.core.queue)
}

func TestCore_Submission_IsAnsweredInItsTurn(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		left  time.Duration
		late  time.Duration // how long the arrival stood in the queue
		want  Verdict
	}{
		{"taken", 1, time.Second, 0, Accepted},
		{"hopeless from the start: the module refuses it in the same turn", 1, 10 * time.Millisecond, 0, Busy},
		// Its client is about to close the connection and hand it in elsewhere: two copies would run.
		{"stood in the queue for too long", 1, time.Second, 350 * time.Millisecond, Busy},
		{"no such class", 9, time.Second, 0, Accepted}, // the front has checked it: the module just ignores it
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, t.TempDir(), time.Now())
			a, reply := r.arrival("m", c.class, 7, c.left)
			r.turnAfter(c.late, a)
			got := <-reply
			if got.Verdict != c.want || got.Verdict == Busy && got.RetryAfter <= 0 {
				t.Errorf("got %+v, want verdict %d, and with a refusal when to come again", got, c.want)
			}
			if held := len(r.core.messages) == 1; held != (c.want == Accepted) {
				t.Errorf("held: %v", held)
			}
		})
	}
	r := newHarness(t, t.TempDir(), time.Now())
	for i := range 5 {
		a, reply := r.arrival(fmt.Sprint(i), 1, 7, time.Second)
		r.turnAfter(0, a)
		if <-reply; len(r.core.messages)-r.core.outstanding > 4 {
			t.Errorf("%d messages are held, 4 at most", len(r.core.messages)-r.core.outstanding)
		}
	}
	a, reply := r.arrival("0", 1, 7, time.Second)
	r.core.messages = map[uint64]*message{}
	if r.turnAfter(0, a); (<-reply).Verdict != Accepted || len(r.core.messages) != 0 {
		t.Error("a message that is held already is taken on again")
	}
}

// TestCore_Killed_JournalHoldsAnswersAndBegunAttempts guards against a kill right after the answer or the first byte of a call: the journal
// must hold both by then.
func TestCore_Killed_JournalHoldsAnswersAndBegunAttempts(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	a, reply := r.arrival("m", 0, 7, time.Second)
	r.turnAfter(0, a)
	if got := <-reply; got.Verdict != Accepted {
		t.Fatalf("got %+v", got)
	}
	step := <-r.front.steps
	if len(step.Items) != 1 || string(step.Items[0].Body) != "body" || step.Items[0].Key != "k" {
		t.Errorf("the call carries %+v", step.Items)
	}
	killed := func() *journal.Entry {
		copied := t.TempDir()
		if err := os.CopyFS(copied, os.DirFS(r.dir)); err != nil {
			t.Fatal(err)
		}
		j, err := journal.Open(copied, 3<<20)
		if err != nil {
			t.Fatal(err)
		}
		e := j.Entries()
		if len(e) != 1 || e[0].ID != "m" {
			t.Fatalf("the journal holds %+v", e)
		}
		return e[0]
	}
	if e := killed(); e.Attempts != 0 || e.InFlight || e.MayHaveRun {
		t.Errorf("killed while the connection comes up, the journal holds %+v", e)
	}
	if !step.MayWrite() {
		t.Fatal("the call may not be written")
	}
	if e := killed(); e.Attempts != 1 || !e.InFlight || e.LastAttemptOn != "s-1" {
		t.Errorf("killed after the first byte, the journal holds %+v", e)
	}
}

// TestCore_Restarted_ResendsOnlyWhatMayRunAgain: what the module is told of the time before a restart decides whether a message may go again.
func TestCore_Restarted_ResendsOnlyWhatMayRunAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		attempts int
		gap      time.Duration // from the attempt to the restart
		ran      bool
		sent     bool
		notice   []Notice
	}{
		{"keyed, within its window", 0, 1, time.Second, true, true, nil},
		// A connection takes up to 0.15 s to carry its first call there: decided here, it would arrive too late.
		{"keyed, its window all but over", 0, 1, 3800 * time.Millisecond, true, false, []Notice{{ID: "m", HandedBack: true}}},
		{"keyed, past its window", 0, 1, 5 * time.Second, true, false, []Notice{{ID: "m", HandedBack: true}}},
		{"keyed, never ran", 0, 1, 5 * time.Second, false, true, nil},
		{"safe, at any time", 1, 1, 5 * time.Second, true, true, nil},
		{"all attempts made", 1, 3, time.Second, true, false, []Notice{{ID: "m", HandedBack: true}}},
		{"its time is up", 1, 1, 30 * time.Second, true, false, []Notice{{ID: "m", HandedBack: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, now := t.TempDir(), time.Now()
			log, err := journal.Open(dir, 3<<20)
			if err != nil {
				t.Fatal(err)
			}
			e := &journal.Entry{ID: "m", Front: "platform", Destination: 7, Class: c.class, Deadline: now.Add(16 * time.Second)}
			_ = log.Accept(e)
			_ = log.Flush()
			for range c.attempts {
				log.Schedule(e, now, "s-1")
				if !log.Begin([]*journal.Entry{e}) {
					t.Fatal("an attempt may not begin")
				}
				if !c.ran {
					log.EndAttempt(e, true)
				}
			}
			_ = log.Flush()
			r := newHarness(t, dir, now.Add(c.gap))
			if c.sent {
				step := <-r.front.steps
				if step.Items[0].attempt != c.attempts {
					t.Errorf("sent as attempt %d, want %d", step.Items[0].attempt, c.attempts)
				}
				if end := time.UnixMicro(now.UnixMicro()).Add(3875 * time.Millisecond); !step.WriteBefore.IsZero() != (c.ran && c.class == 0) ||
					!step.WriteBefore.IsZero() && !step.WriteBefore.Equal(end) {
					t.Errorf("to be written before %v, want the end of the window, %v", step.WriteBefore, end)
				}
			} else {
				same := cmpopts.IgnoreFields(Notice{}, "RetryAfter", "Class", "Deadline", "MayHaveRunAt", "ref")
				if d := cmp.Diff(c.notice, <-r.front.notices, same, cmpopts.EquateEmpty()); d != "" {
					t.Errorf("notices (-want +got)\n%s", d)
				}
			}
			if n := len(r.core.inFlight); (n == 1) != c.sent {
				t.Errorf("%d calls are out", n)
			}
		})
	}
}

// TestCore_TenantAndWeight_ReachModule: whose a message is and what the list says of a destination reach the module, the first also
// after a restart.
func TestCore_TenantAndWeight_ReachModule(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.core.settings.Weights = true
	a, _ := r.arrival("m", 0, 7, time.Minute)
	a.msg.Tenant = 2
	a.apply(r.core, r.now)
	listChanged{r.core.frontsInOrder[0], r.core.frontsInOrder[0].listReportedBy, EndpointList{Index: 9, Destinations: []Destination{{Name: "s-1", Partner: 7, Weight: 4.5},
		{Name: "s-2", Partner: 8, Weight: math.NaN()}}}}.apply(r.core, r.now)
	if ev := r.core.moduleEvents[0]; ev.Tenant != 2 {
		t.Errorf("the module hears of tenant %d", ev.Tenant)
	}
	if eps := r.core.moduleEvents[1].Endpoints; eps[0].Weight != 4.5 || eps[1].Weight != 0 {
		t.Errorf("weights %v and %v", eps[0].Weight, eps[1].Weight)
	}
	r.turnAfter(time.Millisecond)
	r = newHarness(t, r.dir, r.now)
	for _, m := range r.core.messages {
		if ev := r.core.arrival(m); ev.Tenant != 2 {
			t.Errorf("after a restart the module hears of tenant %d", ev.Tenant)
		}
	}
	if len(r.core.messages) != 1 {
		t.Errorf("%d messages after a restart", len(r.core.messages))
	}
}

// TestAttempt_SendsOfOneTurn_ShareCall: sends of one turn to one destination share a call, as in the simulator, and each item fares as
// its own answer says.
func TestAttempt_SendsOfOneTurn_ShareCall(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.front.tells = true
	var in []event
	for _, id := range []string{"a", "b", "c", "d"} {
		a, _ := r.arrival(id, 1, 7, 20*time.Second)
		in = append(in, a)
	}
	r.turnAfter(0, in...)
	step := <-r.front.steps
	if len(step.Items) != 3 {
		t.Fatalf("%d messages in the call, want the 3 that its kind carries", len(step.Items))
	}
	if r.core.joins(&Attempt{To: step.To}, &message{entry: &journal.Entry{Body: make([]byte, 60<<10)}}) {
		t.Error("a message joins a call that in Base64 would outgrow a body")
	}
	r.front.taken <- true
	r.answer(Outcome{Result: control.Delivered}, Outcome{Result: control.NotProcessed, Final: true},
		Outcome{Result: control.Throttled, RetryAfter: 10 * time.Second})
	if got := <-r.front.notices; len(got) != 1 || got[0].ID != step.Items[0].ID || !got[0].Delivered {
		t.Errorf("notices %+v, want one of the delivery", got)
	}
	if r.core.messagesByID["platform "+step.Items[1].ID] != nil || r.core.messagesByID["platform "+step.Items[2].ID] == nil {
		t.Error("want the message that is over forgotten and the one turned away held")
	}
}

// TestNotice_MessageNotDelivered_IsSentUntilAccepted follows messages that are not delivered to their one notice, which is owed until it is taken.
func TestNotice_MessageNotDelivered_IsSentUntilAccepted(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	a, _ := r.arrival("m", 0, 8, 2*time.Second)
	r.turnAfter(0, a)
	<-r.front.steps
	r.front.taken <- false // discovery is down
	r.answer(Outcome{Result: control.Rejected})
	if got := <-r.front.notices; len(got) != 1 || got[0].HandedBack {
		t.Errorf("notices %+v, want one that m was given up", got)
	}
	r.turnAfter(0, <-r.core.queue)
	if len(r.front.notices) != 0 {
		t.Error("the notice is sent again at once")
	}
	r.front.taken <- true
	r.turnAfter(r.core.limits.NoticeRetry)
	if got := <-r.front.notices; len(got) != 1 || got[0].ID != "m" {
		t.Errorf("notices %+v, want that of m again", got)
	}
	r.turnAfter(0, <-r.core.queue)
	if len(r.core.journal.Entries()) != 0 || len(r.core.messages) != 0 || r.core.outstanding != 0 {
		t.Error("a message whose notice was taken is still held")
	}
}

// TestCore_ClientNeverHeardAnswer_StopsMessage: a client that never heard its answer hands the message in elsewhere, so this copy must stop.
func TestCore_ClientNeverHeardAnswer_StopsMessage(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	a, _ := r.arrival("m", 0, 8, 2*time.Second)
	r.turnAfter(0, a)
	step := <-r.front.steps
	r.turnAfter(0, withdrawn{1})
	r.answer(Outcome{Result: control.Cancelled})
	if len(r.core.messages) != 0 || len(r.front.steps) != 0 || step.cancel == nil || len(r.core.journal.Entries()) != 0 {
		t.Error("it is still held, or sent again")
	}
}

// TestEndpointList_CompleteListOfOneFront_LeavesOthersAlone: a whole list of one front must not take the other front's destinations away.
func TestEndpointList_CompleteListOfOneFront_LeavesOthersAlone(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.core.AddFront("other", r.front, EndpointList{Destinations: []Destination{{Name: "s-1", Partner: 7}}})
	r.turnAfter(0, listChanged{r.core.frontsInOrder[1], r.core.frontsInOrder[1].listReportedBy, EndpointList{Complete: true}})
	a, _ := r.arrival("m", 1, 8, time.Second)
	if r.turnAfter(0, a); (<-r.front.steps).To.Name != "s-2" {
		t.Error("the first front's destination is gone")
	}
}

// TestDrain_RefusesNewWorkAndFinishesOld: after SIGTERM new work is refused, and what is held goes on.
func TestDrain_RefusesNewWorkAndFinishesOld(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	first, _ := r.arrival("m", 1, 8, 20*time.Second)
	r.turnAfter(0, first)
	r.core.Drain()
	if got := r.core.Submit("platform", Message{}); got.Verdict != Busy {
		t.Errorf("got %+v", got)
	}
	second, reply := r.arrival("n", 1, 8, time.Second)
	r.turnAfter(0, <-r.core.queue, second)
	if got := <-reply; got.Verdict != Busy {
		t.Errorf("got %+v", got)
	}
	ended := make(chan struct{})
	go func() { r.core.Run(); close(ended) }()
	select {
	case <-r.core.Drained():
		t.Error("it has drained while a call is out")
	default:
	}
	r.front.answers <- []Outcome{{Result: control.Delivered}}
	<-r.core.Drained()
	for range 2 { // whoever passed Submit's check before Drain is answered until Stop, and in the very last turn
		late, lateReply := r.arrival("o", 1, 8, time.Second)
		if r.core.queue <- late; (<-lateReply).Verdict != Busy {
			t.Error("a message that came after the relay had drained is not refused")
		}
	}
	late, reply := r.arrival("p", 1, 8, time.Second)
	r.core.queue <- late
	r.core.Stop()
	if <-ended; (<-reply).Verdict != Busy || len(r.core.journal.Entries()) != 0 {
		t.Error("a message that came before the last turn is not refused, or one that was over is left")
	}
}

// TestWatch_DiscoveryMoves_WatchAndNoticesFollow guards against a reload that leaves the watch or the notices with the old discovery, which takes
// no new connection, and against one that asks for what has been told already or forgets what has not.
func TestWatch_DiscoveryMoves_WatchAndNoticesFollow(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	if got := <-r.front.watches; got != 0 {
		t.Errorf("the first watch goes on after %d", got)
	}
	r.turnAfter(0, listChanged{r.core.frontsInOrder[0], r.core.frontsInOrder[0].listReportedBy, EndpointList{Index: 43}})
	a, _ := r.arrival("m", 0, 8, 2*time.Second)
	r.turnAfter(0, a)
	<-r.front.steps
	r.answer(Outcome{Result: control.Rejected})
	<-r.front.notices // goes to the old discovery, and gets no answer there
	call := r.core.frontsInOrder[0].cancelNotify
	r.turnAfter(0, moved{"platform"}, moved{"nobody"})
	if got := <-r.front.watches; got != 43 {
		t.Errorf("the new watch goes on after %d, want 43", got)
	}
	r.front.taken <- false
	for range 2 { // that call's end, and the old watch's
		r.turnAfter(0, <-r.core.queue)
	}
	if got := <-r.front.notices; call == nil || len(got) != 1 || got[0].ID != "m" {
		t.Errorf("notices %+v, want that of m again, at once", got)
	}
	if len(r.front.watches) != 0 {
		t.Error("the end of the old watch has begun one more")
	}
}

// TestSubmit_IDOfPendingMessage_OwnsNothingOfIt: a second request with the id of a message that is held owns nothing of it. When its answer is lost,
// the first client's message goes on.
func TestSubmit_IDOfPendingMessage_OwnsNothingOfIt(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	a, first := r.arrival("m", 1, 8, 2*time.Second)
	r.turnAfter(0, a)
	b, second := r.arrival("m", 1, 8, 2*time.Second)
	r.turnAfter(0, b)
	if got := <-second; got.Verdict != Accepted {
		t.Fatalf("got %+v", got)
	} else if r.core.Withdraw(got); len(r.core.queue) != 0 {
		t.Error("the second client withdraws the first one's message")
	}
	if r.core.Withdraw(<-first); len(r.core.queue) != 1 {
		t.Error("the first client can't withdraw its message")
	}
}

// TestSubmit_UnknownPartner_IsRefused: a message for a partner that no endpoint list names is refused, not held until its time is up.
func TestSubmit_UnknownPartner_IsRefused(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	a, reply := r.arrival("m", 1, 9, 2*time.Second)
	if r.turnAfter(0, a); (<-reply).Verdict != Busy || len(r.core.messages) != 0 {
		t.Error("it is taken on")
	}
}

// TestAttempt_RecalledBeforeFirstByte_WritesNothing guards against a call whose connection comes up only after its destination has told to wait, or
// drains: nothing of it may be written any more.
func TestAttempt_RecalledBeforeFirstByte_WritesNothing(t *testing.T) {
	for name, happens := range map[string]func(r *harness, out, on *Attempt){
		"a wait is told": func(r *harness, out, _ *Attempt) {
			r.turnAfter(0, attemptEnded{out, []Outcome{{Result: control.Throttled, RetryAfter: time.Second}}})
		},
		"it drains": func(r *harness, _, _ *Attempt) {
			r.turnAfter(0, listChanged{r.core.frontsInOrder[0], r.core.frontsInOrder[0].listReportedBy, EndpointList{Destinations: []Destination{
				{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7, State: control.Draining}}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, t.TempDir(), time.Now())
			var steps []*Attempt
			for _, id := range []string{"a", "b"} {
				a, _ := r.arrival(id, 1, 7, 20*time.Second)
				r.turnAfter(5*time.Millisecond, a)
				steps = append(steps, <-r.front.steps)
			}
			if !steps[0].MayWrite() {
				t.Fatal("the first call may not be written")
			}
			if happens(r, steps[0], steps[1]); steps[1].MayWrite() || steps[0].progress.Load() != attemptBegun {
				t.Error("want the second call alone called back")
			}
		})
	}
	if late := (&Attempt{WriteBefore: time.Now()}); late.MayWrite() {
		t.Error("a call may be written after its window")
	}
}

// TestHousekeeping_DestinationLongRemoved_IsForgotten guards against tables that grow for as long as the relay runs: a destination that has left the list
// is forgotten once nothing of it can be unfinished, and its number is not given to another.
func TestHousekeeping_DestinationLongRemoved_IsForgotten(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	for i := range 50 {
		gone := Destination{Name: fmt.Sprint("old-", i), Zone: "a", Kind: "news-groups", Partner: 7}
		r.turnAfter(time.Second, listChanged{r.core.frontsInOrder[0], r.core.frontsInOrder[0].listReportedBy, EndpointList{Index: int64(2 * i), Destinations: []Destination{gone}}})
		gone.State = control.Removed
		r.turnAfter(time.Second, listChanged{r.core.frontsInOrder[0], r.core.frontsInOrder[0].listReportedBy, EndpointList{Index: int64(2*i + 1), Destinations: []Destination{gone}}})
		r.core.forgetRemoved(r.now)
	}
	if n, names, list := len(r.core.destinations), len(r.core.destinationNumbers), len(r.core.frontsInOrder[0].listed); n > 20 || names != n || list != n {
		t.Errorf("%d destinations, %d names and %d in the list, want those of the last 25 s", n, names, list)
	}
	if r.core.destinationNumbers["platform s-1"] != 1 || r.core.destinationNumber(r.core.frontsInOrder[0], "new") <= 50 {
		t.Error("the one still listed is gone, or a number is used again")
	}
	r.turnAfter(0, listChanged{r.core.frontsInOrder[0], r.core.frontsInOrder[0].listReportedBy, EndpointList{Complete: true, Index: 999}})
	r.core.forgetRemoved(r.now.Add(time.Minute))
	if len(r.core.destinations) != 0 || r.core.serves(r.core.frontsInOrder[0], 7) {
		t.Errorf("%d destinations stay though the whole list is empty", len(r.core.destinations))
	}
}
