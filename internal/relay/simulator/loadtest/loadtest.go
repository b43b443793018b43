// Package loadtest drives a real relay process over loopback, open loop: stand-in partners whose behavior changes during the run,
// discovery, clients, and the relay as a process that can be killed and restarted. cmd/relay-simulator's load and demo call it.
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

// Plan configures a load test: the load, and the steps meanwhile.
type Plan struct {
	Partners    int
	Rate        float64 // messages a second
	Length      time.Duration
	MaxMessages int // bound on all messages
	Seed        uint64
	Class       string
	Timeout     time.Duration
	Behavior    Behavior // of all endpoints at first
	Steps       []Step
}

// Step is a change of the environment at a time.
type Step struct {
	At   time.Duration
	Text string
	Do   func(*LoadTest)
}

// Event is something that happened, at a time since the start.
type Event struct {
	At   time.Duration
	What string
}

// MessageTrace is everything that is known of a message.
type MessageTrace struct {
	ID            string
	Partner       int
	Events        []Event
	Status        int // of the relay's last answer; 0: none
	Executions    int // calls that took effect: a partner drops a duplicate key within the window
	firstExecuted time.Time
	Calls         int
	Notice        string // that its client got; "": none
	Outcome       string // see Outcomes
	Unusual       bool   // not delivered by a single call
}

// What became of messages.
const (
	OutcomeDelivered      = "delivered"
	OutcomeHandedBack     = "handed_back" // as the notice to its client says, like the next
	OutcomeGivenUp        = "given_up"
	OutcomeNeverAccepted  = "never taken on"
	OutcomeLost           = "lost"            // accepted, and neither delivered nor notified of: the relay has broken its promise
	OutcomeDeliveredTwice = "delivered twice" // likewise
)

// Outcomes returns all outcomes that there are, those first that are to be expected.
func Outcomes() []string {
	return []string{OutcomeDelivered, OutcomeHandedBack, OutcomeGivenUp, OutcomeNeverAccepted, OutcomeLost, OutcomeDeliveredTwice}
}

// LoadTest is a running load test.
type LoadTest struct {
	plan       Plan
	dir        string
	relay      string
	configFile string
	addr       string
	cmd        *exec.Cmd
	start      time.Time
	endpoints  *standin.Endpoints
	discovery  *standin.Discovery
	behaviors  []atomic.Pointer[Behavior]

	mu            sync.Mutex
	traces        map[string]*MessageTrace
	order         []string
	Timeline      []Event // steps, when they were run
	AcceptLatency *hdrhistogram.Histogram
	done          chan struct{}
}

// New starts the stand-ins and the relay's program, with its state, configuration and log in dir. On an error nothing is left running.
func New(plan Plan, relay, dir string) (*LoadTest, error) {
	test := &LoadTest{plan: plan, dir: dir, relay: relay, traces: map[string]*MessageTrace{}, AcceptLatency: hdrhistogram.New(1000, 120e9, 3), done: make(chan struct{}),
		behaviors: make([]atomic.Pointer[Behavior], plan.Partners+8)}
	for i := range test.behaviors {
		m := plan.Behavior
		test.behaviors[i].Store(&m)
	}
	var err error
	if test.endpoints, err = standin.NewEndpoints(plan.Partners+8, test.answer); err != nil { // some more, to replace others
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
	text := fmt.Sprintf(`{"name": "demo", "listen": %q, "state": %q, "discovery": %q, "seed": "%016x", "known": %s, %s}`, test.addr, filepath.Join(dir, "state"),
		test.discovery.Address, plan.Seed, list, settings)
	if err := cmp.Or(os.MkdirAll(filepath.Join(dir, "state"), 0o700), os.WriteFile(test.configFile, []byte(text), 0o600), test.Start()); err != nil {
		test.Close()
		return nil, err
	}
	return test, nil
}

const relayLog = "relay.log" // in the folder of the load test

const dedupWindow = 4 * time.Second // as in the settings

const settings = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "localities": ["a"], "machine_types": ["news-groups"],
  "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000, "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000,
    "connect_timeout": 1500000}, "family_info": {"workers": 64, "per_call": [1], "kind_apart": [true]}, "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

// Start starts the relay and waits until it serves; an error holds its log.
func (s *LoadTest) Start() error {
	log, err := os.OpenFile(filepath.Join(s.dir, relayLog), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s.cmd = exec.Command(s.relay, "serve", "--config", s.configFile)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return fmt.Errorf("the relay's program: %w", err)
	}
	if standin.WaitUntilServing(context.Background(), s.addr) {
		return nil
	}
	text, _ := os.ReadFile(filepath.Join(s.dir, relayLog))
	return fmt.Errorf("the relay does not come up; its log: %s", text)
}

// Kill kills the relay (SIGKILL) and waits for its end.
func (s *LoadTest) Kill() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
}

// SetBehavior changes how an endpoint answers from now on.
func (s *LoadTest) SetBehavior(endpoint int, m Behavior) { s.behaviors[endpoint].Store(&m) }

// Behavior returns how an endpoint answers now.
func (s *LoadTest) Behavior(endpoint int) Behavior { return *s.behaviors[endpoint].Load() }

// List has discovery announce a status of an endpoint, for a partner.
func (s *LoadTest) List(endpoint, partner int, status string) {
	s.discovery.PublishUpdate(s.endpoints.Entry(endpoint, partner, "news-groups", "a", status))
}

// answer is how a stand-in endpoint answers a call.
func (s *LoadTest) answer(a standin.Arrival) httpwire.Answer {
	behavior := s.Behavior(a.Endpoint)
	name := "s-" + strconv.Itoa(a.Endpoint)
	switch {
	case behavior.Hangs:
		s.record(a.ID, "call to "+name+", which hangs", func(t *MessageTrace) { t.Calls++ })
		for s.Behavior(a.Endpoint).Hangs {
			select {
			case <-s.done:
				return httpwire.Answer{Status: 503}
			case <-time.After(50 * time.Millisecond):
			}
		}
		return httpwire.Answer{Status: 503}
	case behavior.RetryAfter > 0:
		s.record(a.ID, fmt.Sprintf("call to %s, refused for %v", name, behavior.RetryAfter), func(t *MessageTrace) { t.Calls++ })
		return httpwire.Answer{Status: 429, Header: []string{"Retry-After", strconv.FormatFloat(behavior.RetryAfter.Seconds(), 'f', 3, 64)}}
	}
	s.mu.Lock()
	what := "delivered to " + name
	if t := s.traces[a.ID]; t != nil {
		if t.Calls++; t.Executions > 0 && time.Since(t.firstExecuted) <= dedupWindow {
			what = "again to " + name + ", dropped by its key"
		} else if t.Executions++; t.Executions == 1 {
			t.firstExecuted = time.Now()
		}
		t.Events = append(t.Events, Event{time.Since(s.start), what})
	}
	s.mu.Unlock()
	time.Sleep(behavior.ServiceTime)
	return httpwire.Answer{Status: 200}
}

func (s *LoadTest) record(id, what string, do func(*MessageTrace)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.traces[id]
	if t == nil {
		return
	}
	t.Events = append(t.Events, Event{time.Since(s.start), what})
	do(t)
}

// Run submits messages at random times whatever the relay does (open loop), so that a delay of the relay counts in full from the time at
// which the message was due. It calls progress, which may be nil, once a second, and returns a trace for each message in order.
func (s *LoadTest) Run(progress func(at time.Duration, sent, answered int)) []*MessageTrace {
	client := standin.NewClient(s.addr)
	defer client.Close()
	rng := rand.New(rand.NewPCG(s.plan.Seed, 5))
	s.start = time.Now().Add(20 * time.Millisecond)
	var submissions, steps sync.WaitGroup
	steps.Go(func() {
		for _, sc := range s.plan.Steps {
			time.Sleep(time.Until(s.start.Add(sc.At)))
			s.mu.Lock()
			s.Timeline = append(s.Timeline, Event{time.Since(s.start), sc.Text})
			s.mu.Unlock()
			sc.Do(s)
		}
	})
	answered := atomic.Int64{}
	shown, due := s.start, time.Duration(0)
	for n := 0; n < s.plan.MaxMessages; n++ {
		if due += time.Duration(rng.ExpFloat64() * float64(time.Second) / s.plan.Rate); due > s.plan.Length {
			break
		}
		m := &standin.Message{ID: fmt.Sprintf("%d-%d", s.plan.Seed, n), Key: fmt.Sprintf("k-%d-%d", s.plan.Seed, n), Class: s.plan.Class,
			Partner: rng.IntN(s.plan.Partners), Timeout: s.plan.Timeout, Body: `{"match":"heb-hea","home":1,"away":0}`}
		at := s.start.Add(due)
		time.Sleep(time.Until(at))
		s.mu.Lock()
		s.traces[m.ID] = &MessageTrace{ID: m.ID, Partner: m.Partner}
		s.order = append(s.order, m.ID)
		s.mu.Unlock()
		submissions.Go(func() {
			s.submit(client, m, at)
			answered.Add(1)
		})
		if progress != nil && time.Since(shown) > time.Second {
			shown = time.Now()
			progress(time.Since(s.start), n+1, int(answered.Load()))
		}
	}
	submissions.Wait()
	steps.Wait()
	s.awaitOutcomes()
	return s.classify()
}

// submit submits a message, and resubmits it when it is refused or not answered, until its deadline.
func (s *LoadTest) submit(client *standin.Client, m *standin.Message, at time.Time) {
	until := at.Add(m.Timeout)
	for attempt := 0; ; attempt++ {
		if m.Timeout = time.Until(until); m.Timeout < 100*time.Millisecond || attempt > 20 {
			s.record(m.ID, "its client gives up", func(*MessageTrace) {})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		status, _ := client.Send(ctx, m)
		cancel()
		s.record(m.ID, fmt.Sprintf("handed in: %s", answers[status]), func(t *MessageTrace) { t.Status = status })
		if status != 503 && status != 0 {
			if status == 202 {
				s.mu.Lock()
				_ = s.AcceptLatency.RecordValue(time.Since(at).Nanoseconds())
				s.mu.Unlock()
			}
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// answers names the relay's answers in traces, by status; 0: none.
var answers = map[int]string{0: "no answer", 202: "taken on", 503: "busy", 410: "given up"}

// awaitOutcomes waits until each accepted message has an outcome or is past its deadline.
func (s *LoadTest) awaitOutcomes() {
	until := time.Now().Add(s.plan.Timeout + 2*time.Second)
	for time.Now().Before(until) {
		notices, _ := s.discovery.Notices()
		open := false
		s.mu.Lock()
		for id, t := range s.traces {
			open = open || t.Status == 202 && t.Executions == 0 && notices[id] == ""
		}
		s.mu.Unlock()
		if !open {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// classify sets the outcome of each message.
func (s *LoadTest) classify() (all []*MessageTrace) {
	notices, _ := s.discovery.Notices()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.order {
		t := s.traces[id]
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
func (s *LoadTest) Close() {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	if s.cmd != nil && s.cmd.Process != nil && s.cmd.ProcessState == nil {
		_ = s.cmd.Process.Signal(syscall.SIGTERM)
		late := time.AfterFunc(20*time.Second, func() { _ = s.cmd.Process.Kill() })
		_ = s.cmd.Wait()
		late.Stop()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	if s.endpoints != nil {
		s.endpoints.Close()
	}
}
