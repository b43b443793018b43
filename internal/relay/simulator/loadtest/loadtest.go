// Package loadtest drives a real relay process over loopback with open-loop load: it runs stand-in partners whose behavior changes during
// the test, discovery, clients, and the relay as a process that can be killed and restarted. The load and demo commands of
// cmd/relay-simulator use it.
//
// A LoadTest owns the relay process and the stand-ins from New until Close, which must be called. Run owns its goroutines, and
// returns after they have ended; steps run on one of them.
package loadtest

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
)

// Behavior is how a stand-in endpoint answers calls.
type Behavior struct {
	ServiceTime time.Duration // of a call
	Hangs       bool          // calls are not answered while this is set
	RetryAfter  time.Duration // calls are throttled with this Retry-After; 0: they are not
}

// Plan configures a load test: the load, and the steps during it.
type Plan struct {
	Partners    int
	Rate        float64 // messages per second
	Length      time.Duration
	MaxMessages int // maximum number of messages
	Seed        uint64
	Class       string
	Timeout     time.Duration
	Behavior    Behavior // of all endpoints at the start
	Steps       []Step
}

// Step is a change of the environment at a time since the start.
type Step struct {
	At   time.Duration
	Text string // shown in the timeline
	Do   func(*LoadTest)
}

// Event is something that happened, at a time since the start.
type Event struct {
	At   time.Duration
	What string
}

// MessageTrace is the history of a message.
type MessageTrace struct {
	ID            string
	Partner       int
	Events        []Event
	Status        int // of the relay's last response; 0: none
	Executions    int // calls that took effect; a partner drops a duplicate key within dedupWindow
	firstExecuted time.Time
	Calls         int
	Notice        string // outcome in the notice to its client; "": none
	Outcome       string // one of Outcomes
	Unusual       bool   // not delivered by a single call
}

// The outcomes of messages.
const (
	OutcomeDelivered      = "delivered"
	OutcomeHandedBack     = "handed_back" // from the notice to its client, like OutcomeGivenUp
	OutcomeGivenUp        = "given_up"
	OutcomeNeverAccepted  = "never accepted"
	OutcomeLost           = "lost"            // accepted, but neither delivered nor in a notice: a fault of the relay
	OutcomeDeliveredTwice = "delivered twice" // took effect twice: a fault of the relay
)

// Outcomes returns all outcomes, starting with those that are expected.
func Outcomes() []string {
	return []string{OutcomeDelivered, OutcomeHandedBack, OutcomeGivenUp, OutcomeNeverAccepted, OutcomeLost, OutcomeDeliveredTwice}
}

// LoadTest is a running load test.
type LoadTest struct {
	plan       Plan
	dir        string
	relay      string // path of the relay's program
	configFile string
	addr       string
	cmd        *exec.Cmd
	start      time.Time
	endpoints  *standin.Endpoints
	discovery  *standin.Discovery
	behaviors  []atomic.Pointer[Behavior]

	mu            sync.Mutex // guards traces, order, Timeline and AcceptLatency
	traces        map[string]*MessageTrace
	order         []string // message IDs in the order of submission
	Timeline      []Event  // steps, at the times when they ran
	AcceptLatency *hdrhistogram.Histogram
	done          chan struct{}
}

// New starts the stand-ins and the relay's program, with its state, configuration and log in dir. After an error nothing is left running.
func New(plan Plan, relay, dir string) (*LoadTest, error) {
	test := &LoadTest{plan: plan, dir: dir, relay: relay, traces: map[string]*MessageTrace{}, AcceptLatency: hdrhistogram.New(1000, 120e9, 3), done: make(chan struct{}),
		behaviors: make([]atomic.Pointer[Behavior], plan.Partners+8)}
	for i := range test.behaviors {
		behavior := plan.Behavior
		test.behaviors[i].Store(&behavior)
	}
	var err error
	if test.endpoints, err = standin.NewEndpoints(plan.Partners+8, test.answer); err != nil { // 8 spare endpoints, to replace others
		return nil, err
	}
	list := test.endpoints.SnapshotOf(plan.Partners, "news-groups", "a")
	if test.discovery, err = standin.NewDiscovery(list); err != nil {
		test.Close()
		return nil, err
	}
	if test.addr, err = standin.FreeAddress(); err != nil {
		test.Close()
		return nil, err
	}
	test.configFile = filepath.Join(dir, "relay.json")
	config := fmt.Sprintf(`{"name": "demo", "listen": %q, "state": %q, "discovery": %q, "seed": "%016x", "known": %s, %s}`, test.addr, filepath.Join(dir, "state"),
		test.discovery.Address, plan.Seed, list, settings)
	if err := cmp.Or(os.MkdirAll(filepath.Join(dir, "state"), 0o700), os.WriteFile(test.configFile, []byte(config), 0o600), test.Start()); err != nil {
		test.Close()
		return nil, err
	}
	return test, nil
}

const relayLog = "relay.log" // in LoadTest.dir

const dedupWindow = 4 * time.Second // must be memory_span in settings

const settings = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "localities": ["a"], "machine_types": ["news-groups"],
  "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000, "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000,
    "connect_timeout": 1500000}, "family_info": {"workers": 64, "per_call": [1], "kind_apart": [true]}, "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

// Start starts the relay and waits until it serves; an error contains its log.
func (l *LoadTest) Start() error {
	log, err := os.OpenFile(filepath.Join(l.dir, relayLog), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	l.cmd = exec.Command(l.relay, "serve", "--config", l.configFile)
	l.cmd.Stdout, l.cmd.Stderr = log, log
	if err := l.cmd.Start(); err != nil {
		return fmt.Errorf("starting the relay's program: %w", err)
	}
	if standin.WaitUntilServing(context.Background(), l.addr) {
		return nil
	}
	text, _ := os.ReadFile(filepath.Join(l.dir, relayLog))
	return fmt.Errorf("the relay did not answer GET /up with status 200 after its start; its log: %s", text)
}

// Kill kills the relay (SIGKILL) and waits for it to exit.
func (l *LoadTest) Kill() {
	_ = l.cmd.Process.Kill()
	_ = l.cmd.Wait()
}

// SetBehavior changes how an endpoint answers calls from now on.
func (l *LoadTest) SetBehavior(endpoint int, b Behavior) { l.behaviors[endpoint].Store(&b) }

// Behavior returns how an endpoint answers calls now.
func (l *LoadTest) Behavior(endpoint int) Behavior { return *l.behaviors[endpoint].Load() }

// PublishStatus publishes the status of an endpoint of a partner through discovery.
func (l *LoadTest) PublishStatus(endpoint, partner int, status string) {
	l.discovery.PublishUpdate(l.endpoints.Entry(endpoint, partner, "news-groups", "a", status))
}

// answer returns a stand-in endpoint's response to a call, according to its behavior.
func (l *LoadTest) answer(arrival standin.Arrival) httpwire.Answer {
	behavior := l.Behavior(arrival.Endpoint)
	name := "s-" + strconv.Itoa(arrival.Endpoint)
	switch {
	case behavior.Hangs:
		l.record(arrival.ID, "call to "+name+", which hangs", func(t *MessageTrace) { t.Calls++ })
		for l.Behavior(arrival.Endpoint).Hangs {
			select {
			case <-l.done:
				return httpwire.Answer{Status: 503}
			case <-time.After(50 * time.Millisecond):
			}
		}
		return httpwire.Answer{Status: 503}
	case behavior.RetryAfter > 0:
		l.record(arrival.ID, fmt.Sprintf("call to %s, refused for %v", name, behavior.RetryAfter), func(t *MessageTrace) { t.Calls++ })
		return httpwire.Answer{Status: 429, Header: []string{"Retry-After", strconv.FormatFloat(behavior.RetryAfter.Seconds(), 'f', 3, 64)}}
	}
	l.mu.Lock()
	what := "delivered to " + name
	if t := l.traces[arrival.ID]; t != nil {
		if t.Calls++; t.Executions > 0 && time.Since(t.firstExecuted) <= dedupWindow {
			what = "duplicate to " + name + ", dropped by its key"
		} else if t.Executions++; t.Executions == 1 {
			t.firstExecuted = time.Now()
		}
		t.Events = append(t.Events, Event{time.Since(l.start), what})
	}
	l.mu.Unlock()
	time.Sleep(behavior.ServiceTime)
	return httpwire.Answer{Status: 200}
}

// record adds an event to the trace of a message and applies update to the trace.
func (l *LoadTest) record(id, what string, update func(*MessageTrace)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.traces[id]
	if t == nil {
		return
	}
	t.Events = append(t.Events, Event{time.Since(l.start), what})
	update(t)
}

// Run submits messages at random times regardless of the relay's responses (open loop): latencies count from when a message was due, so
// they include delays of the relay. It calls progress, which may be nil, about once a second, and returns the traces of all messages in
// order.
func (l *LoadTest) Run(progress func(at time.Duration, sent, answered int)) []*MessageTrace {
	client := standin.NewClient(l.addr)
	defer client.Close()
	rng := rand.New(rand.NewPCG(l.plan.Seed, 5))
	l.start = time.Now().Add(20 * time.Millisecond)
	var submissions, steps sync.WaitGroup
	steps.Go(func() {
		for _, step := range l.plan.Steps {
			time.Sleep(time.Until(l.start.Add(step.At)))
			l.mu.Lock()
			l.Timeline = append(l.Timeline, Event{time.Since(l.start), step.Text})
			l.mu.Unlock()
			step.Do(l)
		}
	})
	answered := atomic.Int64{}
	shown, due := l.start, time.Duration(0)
	for n := 0; n < l.plan.MaxMessages; n++ {
		if due += time.Duration(rng.ExpFloat64() * float64(time.Second) / l.plan.Rate); due > l.plan.Length {
			break
		}
		m := &standin.Message{ID: fmt.Sprintf("%d-%d", l.plan.Seed, n), Key: fmt.Sprintf("k-%d-%d", l.plan.Seed, n), Class: l.plan.Class,
			Partner: rng.IntN(l.plan.Partners), Timeout: l.plan.Timeout, Body: `{"match":"heb-hea","home":1,"away":0}`}
		at := l.start.Add(due)
		time.Sleep(time.Until(at))
		l.mu.Lock()
		l.traces[m.ID] = &MessageTrace{ID: m.ID, Partner: m.Partner}
		l.order = append(l.order, m.ID)
		l.mu.Unlock()
		submissions.Go(func() {
			l.submit(client, m, at)
			answered.Add(1)
		})
		if progress != nil && time.Since(shown) > time.Second {
			shown = time.Now()
			progress(time.Since(l.start), n+1, int(answered.Load()))
		}
	}
	submissions.Wait()
	steps.Wait()
	l.awaitOutcomes()
	return l.classify()
}

// submit submits a message, and resubmits it when it is refused or not answered, until its deadline or 21 submissions.
func (l *LoadTest) submit(client *standin.Client, m *standin.Message, due time.Time) {
	until := due.Add(m.Timeout)
	for attempt := 0; ; attempt++ {
		if m.Timeout = time.Until(until); m.Timeout < 100*time.Millisecond || attempt > 20 {
			l.record(m.ID, "abandoned by its client", func(*MessageTrace) {})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		status, _ := client.Send(ctx, m)
		cancel()
		l.record(m.ID, fmt.Sprintf("submitted: %s", statusTexts[status]), func(t *MessageTrace) { t.Status = status })
		if status != 503 && status != 0 {
			if status == 202 {
				l.mu.Lock()
				_ = l.AcceptLatency.RecordValue(time.Since(due).Nanoseconds())
				l.mu.Unlock()
			}
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// statusTexts describes the relay's responses in traces, by HTTP status; 0: no response.
var statusTexts = map[int]string{0: "no response", 202: "accepted", 503: "busy", 410: "given up"}

// awaitOutcomes waits until each accepted message has an outcome or all deadlines have passed.
func (l *LoadTest) awaitOutcomes() {
	until := time.Now().Add(l.plan.Timeout + 2*time.Second)
	for time.Now().Before(until) {
		notices, _ := l.discovery.Notices()
		pending := false
		l.mu.Lock()
		for id, t := range l.traces {
			pending = pending || t.Status == 202 && t.Executions == 0 && notices[id] == ""
		}
		l.mu.Unlock()
		if !pending {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// classify sets the outcome of each message and returns the traces in order.
func (l *LoadTest) classify() (all []*MessageTrace) {
	notices, _ := l.discovery.Notices()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.order {
		t := l.traces[id]
		t.Notice = notices[id]
		switch {
		case t.Executions > 0:
			t.Outcome = OutcomeDelivered
		case t.Notice != "":
			t.Outcome = t.Notice
		case t.Status == 202:
			t.Outcome = OutcomeLost
		default:
			t.Outcome = OutcomeNeverAccepted
		}
		if t.Executions > 1 {
			t.Outcome = OutcomeDeliveredTwice
		}
		t.Unusual = t.Outcome != OutcomeDelivered || t.Calls > 1
		slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
		all = append(all, t)
	}
	return all
}

// Close terminates the relay (SIGTERM, SIGKILL after 20 s) and closes the stand-ins.
func (l *LoadTest) Close() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	if l.cmd != nil && l.cmd.Process != nil && l.cmd.ProcessState == nil {
		_ = l.cmd.Process.Signal(syscall.SIGTERM)
		killTimer := time.AfterFunc(20*time.Second, func() { _ = l.cmd.Process.Kill() })
		_ = l.cmd.Wait()
		killTimer.Stop()
	}
	if l.discovery != nil {
		l.discovery.Close()
	}
	if l.endpoints != nil {
		l.endpoints.Close()
	}
}
