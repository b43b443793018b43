// Package loadtest plays loads on a relay over loopback: stand-in partners whose manners change while it runs, discovery,
// clients, and the relay as a process that can be killed. All of it is bounded in time and count.
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

// Manners are how a stand-in endpoint takes calls.
type Manners struct {
	Took   time.Duration // for a call
	Hangs  bool          // nothing is answered as long as it lasts
	Refuse time.Duration // calls are turned away with this wait; 0: they are not
}

// Plan is a load and what happens meanwhile.
type Plan struct {
	Partners int
	Rate     float64 // messages a second
	Length   time.Duration
	Most     int // messages in all
	Seed     uint64
	Class    string
	Timeout  time.Duration
	Manners  Manners // to begin with
	Script   []Scene
}

// Scene is something that happens at a time.
type Scene struct {
	At   time.Duration
	Text string
	Do   func(*Stage)
}

// Event is something that befell a message.
type Event struct {
	At   time.Duration
	What string
}

// Track is all that is known of a message.
type Track struct {
	ID      string
	Partner int
	Events  []Event
	Status  int // of the relay's answer; 0: there was none
	Runs    int // calls that took effect: a partner drops a key that it has had within the window
	first   time.Time
	Calls   int
	Notice  string // told to its client; "": none
	End     string
	Odd     bool // worth a look
}

// Stage is a load that runs.
type Stage struct {
	plan  Plan
	dir   string
	relay string
	file  string
	addr  string
	cmd   *exec.Cmd
	start time.Time
	ends  *standin.Endpoints
	disco *standin.Discovery
	state []atomic.Pointer[Manners]

	mu     sync.Mutex
	tracks map[string]*Track
	order  []string
	Told   []Event // scenes and what became of them
	Lat    *hdrhistogram.Histogram
	done   chan struct{}
}

// New sets a stage: the relay's program is started with stand-ins around it, in a folder of its own.
func New(plan Plan, relay, dir string) (*Stage, error) {
	s := &Stage{plan: plan, dir: dir, relay: relay, tracks: map[string]*Track{}, Lat: hdrhistogram.New(1000, 120e9, 3), done: make(chan struct{}),
		state: make([]atomic.Pointer[Manners], plan.Partners+8)}
	for i := range s.state {
		m := plan.Manners
		s.state[i].Store(&m)
	}
	var err error
	if s.ends, err = standin.NewEndpoints(plan.Partners+8, s.answer); err != nil { // some more, to replace others
		return nil, err
	}
	list := s.ends.List(plan.Partners, "news-groups", "a")
	if s.disco, err = standin.NewDiscovery(list); err != nil {
		s.Close()
		return nil, err
	}
	if s.addr, err = standin.Spare(); err != nil {
		s.Close()
		return nil, err
	}
	s.file = filepath.Join(dir, "relay.json")
	text := fmt.Sprintf(`{"name": "demo", "listen": %q, "state": %q, "discovery": %q, "seed": "%016x", "known": %s, %s}`, s.addr, filepath.Join(dir, "state"),
		s.disco.Address, plan.Seed, list, settings)
	if err := cmp.Or(os.MkdirAll(filepath.Join(dir, "state"), 0o700), os.WriteFile(s.file, []byte(text), 0o600), s.Start()); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

const window = 4 * time.Second // as in the settings

const settings = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "localities": ["a"], "machine_types": ["news-groups"],
  "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000, "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000,
    "connect_timeout": 1500000}, "family_info": {"workers": 64, "per_call": [1], "kind_apart": [true]}, "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

// Start starts the relay, and waits until it serves.
func (s *Stage) Start() error {
	log, err := os.OpenFile(filepath.Join(s.dir, "relay.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s.cmd = exec.Command(s.relay, "serve", "--config", s.file)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return fmt.Errorf("the relay's program: %w", err)
	}
	if standin.Up(context.Background(), s.addr) {
		return nil
	}
	text, _ := os.ReadFile(filepath.Join(s.dir, "relay.log"))
	return fmt.Errorf("the relay does not come up; its log: %s", text)
}

// Kill ends the relay at once, as a crash would.
func (s *Stage) Kill() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
}

// Set gives an endpoint other manners.
func (s *Stage) Set(endpoint int, m Manners) { s.state[endpoint].Store(&m) }

// Was are an endpoint's manners.
func (s *Stage) Was(endpoint int) Manners { return *s.state[endpoint].Load() }

// List tells discovery's watchers that an endpoint has another status, for a partner.
func (s *Stage) List(endpoint, partner int, status string) {
	s.disco.Tell(s.ends.Entry(endpoint, partner, "news-groups", "a", status))
}

// answer is what a stand-in endpoint says to a call.
func (s *Stage) answer(a standin.Arrival) httpwire.Answer {
	m := s.Was(a.Endpoint)
	name := "s-" + strconv.Itoa(a.Endpoint)
	switch {
	case m.Hangs:
		s.note(a.ID, "call to "+name+", which hangs", func(t *Track) { t.Calls++ })
		for s.Was(a.Endpoint).Hangs {
			select {
			case <-s.done:
				return httpwire.Answer{Status: 503}
			case <-time.After(50 * time.Millisecond):
			}
		}
		return httpwire.Answer{Status: 503}
	case m.Refuse > 0:
		s.note(a.ID, fmt.Sprintf("call to %s, refused for %v", name, m.Refuse), func(t *Track) { t.Calls++ })
		return httpwire.Answer{Status: 429, Header: []string{"Retry-After", strconv.FormatFloat(m.Refuse.Seconds(), 'f', 3, 64)}}
	}
	s.mu.Lock()
	what := "delivered to " + name
	if t := s.tracks[a.ID]; t != nil {
		if t.Calls++; t.Runs > 0 && time.Since(t.first) <= window {
			what = "again to " + name + ", dropped by its key"
		} else if t.Runs++; t.Runs == 1 {
			t.first = time.Now()
		}
		t.Events = append(t.Events, Event{time.Since(s.start), what})
	}
	s.mu.Unlock()
	time.Sleep(m.Took)
	return httpwire.Answer{Status: 200}
}

func (s *Stage) note(id, what string, do func(*Track)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tracks[id]
	if t == nil {
		return
	}
	t.Events = append(t.Events, Event{time.Since(s.start), what})
	do(t)
}

// Play hands in messages at times drawn beforehand, whatever the relay does: what it delays counts in full, from the time
// at which the message was due. Progress is told once a second.
func (s *Stage) Play(progress func(at time.Duration, sent, answered int)) []*Track {
	client := standin.NewClient(s.addr)
	defer client.Close()
	rng := rand.New(rand.NewPCG(s.plan.Seed, 5))
	s.start = time.Now().Add(20 * time.Millisecond)
	var all, scenes sync.WaitGroup
	scenes.Go(func() {
		for _, sc := range s.plan.Script {
			time.Sleep(time.Until(s.start.Add(sc.At)))
			s.mu.Lock()
			s.Told = append(s.Told, Event{time.Since(s.start), sc.Text})
			s.mu.Unlock()
			sc.Do(s)
		}
	})
	answered := atomic.Int64{}
	shown, due := s.start, time.Duration(0)
	for n := 0; n < s.plan.Most; n++ {
		if due += time.Duration(rng.ExpFloat64() * float64(time.Second) / s.plan.Rate); due > s.plan.Length {
			break
		}
		m := &standin.Message{ID: fmt.Sprintf("%d-%d", s.plan.Seed, n), Key: fmt.Sprintf("k-%d-%d", s.plan.Seed, n), Class: s.plan.Class,
			Partner: rng.IntN(s.plan.Partners), Timeout: s.plan.Timeout, Body: `{"match":"heb-hea","home":1,"away":0}`}
		at := s.start.Add(due)
		time.Sleep(time.Until(at))
		s.mu.Lock()
		s.tracks[m.ID] = &Track{ID: m.ID, Partner: m.Partner}
		s.order = append(s.order, m.ID)
		s.mu.Unlock()
		all.Go(func() {
			s.hand(client, m, at)
			answered.Add(1)
		})
		if progress != nil && time.Since(shown) > time.Second {
			shown = time.Now()
			progress(time.Since(s.start), n+1, int(answered.Load()))
		}
	}
	all.Wait()
	scenes.Wait()
	s.settle()
	return s.judge()
}

// hand hands a message in, and again where it was refused or nobody answered, as long as it has time.
func (s *Stage) hand(client *standin.Client, m *standin.Message, at time.Time) {
	until := at.Add(m.Timeout)
	for try := 0; ; try++ {
		if m.Timeout = time.Until(until); m.Timeout < 100*time.Millisecond || try > 20 {
			s.note(m.ID, "its client gives up", func(*Track) {})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		status, _ := client.Send(ctx, m)
		cancel()
		s.note(m.ID, fmt.Sprintf("handed in: %s", answers[status]), func(t *Track) { t.Status = status })
		if status != 503 && status != 0 {
			if status == 202 {
				s.mu.Lock()
				_ = s.Lat.RecordValue(time.Since(at).Nanoseconds())
				s.mu.Unlock()
			}
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

var answers = map[int]string{0: "no answer", 202: "taken on", 503: "busy", 410: "given up"}

// settle waits until each message that was taken on has its end, or its time is up.
func (s *Stage) settle() {
	until := time.Now().Add(s.plan.Timeout + 2*time.Second)
	for time.Now().Before(until) {
		notices, _ := s.disco.Notices()
		open := false
		s.mu.Lock()
		for id, t := range s.tracks {
			open = open || t.Status == 202 && t.Runs == 0 && notices[id] == ""
		}
		s.mu.Unlock()
		if !open {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// judge gives each message its end.
func (s *Stage) judge() (all []*Track) {
	notices, _ := s.disco.Notices()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.order {
		t := s.tracks[id]
		t.Notice = notices[id]
		switch {
		case t.Runs > 0:
			t.End = "delivered"
		case t.Notice != "":
			t.End = t.Notice
		case t.Status == 202:
			t.End = "lost"
		default:
			t.End = "never taken on"
		}
		if t.Runs > 1 {
			t.End = "delivered twice"
		}
		t.Odd = t.End != "delivered" || t.Calls > 1
		slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
		all = append(all, t)
	}
	return all
}

// Close ends the relay, with time to drain, and the stand-ins.
func (s *Stage) Close() {
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
	if s.disco != nil {
		s.disco.Close()
	}
	if s.ends != nil {
		s.ends.Close()
	}
}
