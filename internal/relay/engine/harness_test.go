package engine

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
)

// settings are the configuration of a test's relay: two classes, one that is deduplicated by key and one that is safe to repeat, and
// two kinds of destinations, which accept 3 messages per call and 1.
const settings = `{"state": "-", "listen": "-", "settings": {
  "allowed": {"cancel": true, "max_attempts": 3, "max_open": 4, "max_retry_after": 3000000, "retry_after": true},
  "family_info": {"kind_apart": [true, true], "per_call": [3, 1], "workers": 8}, "peers_total": 1, "round": 5000,
  "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "localities": ["a"], "machine_types": ["news-groups", "club-sites"], "registry_mode": "subscribe"}}`

// fakeFront is a front whose responses the test supplies.
type fakeFront struct {
	attempts           chan *Attempt  // the calls made
	answers            chan []Outcome // answers to the calls, in the order of the calls
	notices            chan []Notice  // the notices sent
	accepts            chan bool      // whether the notices of the next Notify call are accepted
	notifiesDeliveries bool
	watches            chan int64               // the list index after which each watch was started
	respond            func(*Attempt) []Outcome // used in place of answers, unless nil
}

func (f *fakeFront) Call(_ context.Context, attempt *Attempt) []Outcome {
	f.attempts <- attempt
	if f.respond != nil {
		return f.respond(attempt)
	}
	return <-f.answers
}

func (f *fakeFront) Notify(_ context.Context, n []Notice) []bool {
	f.notices <- n
	return slices.Repeat([]bool{<-f.accepts}, len(n))
}

func (f *fakeFront) CloseIdle(*Destination) {}

func (f *fakeFront) Watch(ctx context.Context, after int64, _ func(EndpointList)) error {
	f.watches <- after
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeFront) NotifiesDeliveries() bool { return f.notifiesDeliveries }

// harness is a core whose turns and clock the test drives. Only its calls run on goroutines of their own.
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
	r := &harness{t: t, core: c, now: now, dir: dir, front: &fakeFront{attempts: make(chan *Attempt, 9),
		answers: make(chan []Outcome, 9), notices: make(chan []Notice, 9), accepts: make(chan bool, 9),
		watches: make(chan int64, 9)}}
	c.AddFront("platform", r.front, EndpointList{Destinations: []Destination{
		{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7}, {Name: "s-2", Zone: "a", Kind: "club-sites", Partner: 8}}})
	for _, do := range before {
		do(c)
	}
	c.Restore(now)
	return r
}

// arrival returns the arrival of a message whose deadline is left from now, and the channel of its reply.
func (r *harness) arrival(id string, class, partner int, left time.Duration) (arrival, chan Reply) {
	reply := make(chan Reply, 1)
	return arrival{front: "platform", msg: Message{ID: id, Key: "k", Class: class, Partner: partner, Deadline: r.now.Add(left),
		Body: []byte("body")}, submittedAt: r.now, reply: reply}, reply
}

// turnAfter advances the clock by d and takes a turn.
func (r *harness) turnAfter(d time.Duration, events ...event) {
	r.now = r.now.Add(d)
	r.core.Turn(r.now, events)
}

// answer answers the call in flight and takes the turn that processes its outcomes.
func (r *harness) answer(outs ...Outcome) {
	r.front.answers <- outs
	r.turnAfter(5*time.Millisecond, <-r.core.queue)
}
