// Package policy holds the policies that package simulator runs, by name: the relay's decision module, the full relay, and simple
// ones to compare them with. The simple ones keep the rules that bind every relay (idempotency, Retry-After, drains, attempts) and use
// common techniques otherwise: round robin, least in flight, power of two choices, full-jitter backoff, retry budgets, circuit breakers.
// Package experiment looks them up. A policy is used by one simulator's goroutine.
package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/fullrelay"
)

// Selection is how a policy selects among a destination's endpoints.
type Selection uint8

// The selections.
const (
	RoundRobin    Selection = iota
	LeastInFlight           // the endpoint with the fewest of this relay's calls in flight
	TwoChoices              // the less loaded of two drawn at random (power of two choices)
	Oracle                  // the endpoint with the most free capacity, by its true state
)

// Options configure a simple policy.
type Options struct {
	Selection       Selection
	Timeout         time.Duration // of a call
	MaxAttempts     int           // calls for one message, 1 or more; 1: no retries
	Backoff         time.Duration // bound before the first retry, doubled with each, with full jitter
	RetryBudget     float64       // retries earned by each message that arrives; 0: unlimited
	BreakerFailures int           // consecutive failures that block an endpoint for a second; 0: never
}

// ByName maps the names of policies to their factories.
var ByName = map[string]simulator.PolicyFactory{
	"core":        fullrelay.New,
	"module":      func(s control.Settings, seed uint64) (simulator.Policy, error) { return control.New(s, seed) },
	"shared":      func(s control.Settings, seed uint64) (simulator.Policy, error) { return control.New(s, seed) }, // see SharesLimits
	"single":      factory(Options{Timeout: 10 * time.Second, MaxAttempts: 1}),
	"round-robin": factory(Options{Timeout: 2 * time.Second, MaxAttempts: 4, Backoff: 100 * time.Millisecond}),
	"least-out":   factory(Options{Selection: LeastInFlight, Timeout: 2 * time.Second, MaxAttempts: 4, Backoff: 100 * time.Millisecond}),
	"two-choices": factory(Options{Selection: TwoChoices, Timeout: 2 * time.Second, MaxAttempts: 4, Backoff: 100 * time.Millisecond}),
	"budget":      factory(Options{Selection: TwoChoices, Timeout: 2 * time.Second, MaxAttempts: 4, Backoff: 100 * time.Millisecond, RetryBudget: 0.2}),
	"breaker":     factory(Options{Selection: TwoChoices, Timeout: 2 * time.Second, MaxAttempts: 4, Backoff: 100 * time.Millisecond, RetryBudget: 0.2, BreakerFailures: 5}),
	"oracle":      factory(Options{Selection: Oracle, Timeout: 4 * time.Second, MaxAttempts: 5, Backoff: 50 * time.Millisecond}),
}

// SharesLimits reports whether the relays under a policy share limits.
func SharesLimits(name string) bool { return name == "shared" }

func factory(o Options) simulator.PolicyFactory {
	return func(s control.Settings, seed uint64) (simulator.Policy, error) { return New(o, s, seed) }
}

// Simple is a policy configured by Options.
type Simple struct {
	options       Options
	settings      control.Settings
	rng           *rand.Rand
	now           time.Duration
	pending       map[uint64]*pendingMessage
	queue         []*pendingMessage // messages that are not in flight, in order of arrival or failure
	endpoints     map[uint32]*endpoint
	byDestination map[int][]*endpoint // by destination, by id
	nextIndex     map[int]int
	inFlight      int
	retryTokens   float64 // of the retry budget
	truth         func(uint32) (int, bool)
}

type pendingMessage struct {
	id           uint64
	destination  int
	class        int
	deadline     time.Duration
	attempts     int
	sentTo       *endpoint // nil: not in flight
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	notBefore    time.Duration // end of its backoff
}

type endpoint struct {
	id                  uint32
	state               control.State
	inFlight            int
	blockedUntil        time.Duration // by Retry-After, or by the breaker
	consecutiveFailures int
}

// New returns a simple policy; options without a timeout or an attempt are an error.
func New(o Options, set control.Settings, seed uint64) (*Simple, error) {
	if o.Timeout <= 0 || o.MaxAttempts < 1 {
		return nil, fmt.Errorf("policy: timeout %v and %d attempts make none", o.Timeout, o.MaxAttempts)
	}
	return &Simple{options: o, settings: set, rng: rand.New(rand.NewPCG(seed, 3)), pending: map[uint64]*pendingMessage{}, endpoints: map[uint32]*endpoint{},
		byDestination: map[int][]*endpoint{}, nextIndex: map[int]int{}, retryTokens: 10}, nil
}

// ObserveTruth shows an oracle the true state.
func (p *Simple) ObserveTruth(truth func(uint32) (int, bool)) {
	if p.options.Selection == Oracle {
		p.truth = truth
	}
}

// Step handles the events in order and sends what may be sent.
func (p *Simple) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	p.now = now
	for i := range events {
		out = p.handleEvent(&events[i], out)
	}
	return p.dispatch(out)
}

func (p *Simple) handleEvent(event *control.Event, out []control.Action) []control.Action {
	switch event.Kind {
	case control.Listed:
		p.handleList(event)
	case control.Arrived:
		p.retryTokens = min(p.retryTokens+p.options.RetryBudget, 100)
		message := &pendingMessage{id: event.ID, destination: event.Destination, class: event.Class, deadline: event.Deadline, attempts: event.Attempt, mayHaveRun: event.MayHaveRun, mayHaveRunAt: event.RanAt}
		p.pending[message.id] = message
		if p.settings.MaxOpen > 0 && len(p.pending) > p.settings.MaxOpen || !p.mayBeSent(message) {
			return p.refuse(message, out)
		}
		p.queue = append(p.queue, message)
	case control.Resolved:
		m := p.pending[event.ID]
		if m == nil || m.sentTo == nil {
			return out
		}
		at := m.sentTo
		m.sentTo = nil
		p.inFlight--
		at.inFlight--
		if event.Result == control.Delivered {
			at.consecutiveFailures = 0
			delete(p.pending, m.id)
			return out
		}
		if event.RetryAfter > 0 {
			at.blockedUntil = max(at.blockedUntil, p.now+event.RetryAfter)
		}
		if at.consecutiveFailures++; p.options.BreakerFailures > 0 && at.consecutiveFailures >= p.options.BreakerFailures {
			at.blockedUntil, at.consecutiveFailures = max(at.blockedUntil, p.now+time.Second), 0
		}
		if !event.Result.NeverRan() && !m.mayHaveRun {
			m.mayHaveRun, m.mayHaveRunAt = true, p.now-event.Elapsed
		}
		if m.attempts >= min(p.options.MaxAttempts, p.settings.MaxAttempts) || !p.mayBeSent(m) || p.options.RetryBudget > 0 && p.retryTokens < 1 {
			return p.refuse(m, out)
		}
		if p.options.RetryBudget > 0 {
			p.retryTokens--
		}
		wait := time.Duration(p.rng.Int64N(int64(p.options.Backoff<<min(m.attempts-1, 8)) + 1))
		m.notBefore = p.now + wait
		p.queue = append(p.queue, m)
	}
	return out
}

// mayBeSent reports whether a message may still be sent: before its deadline, and again only where that is idempotent.
func (p *Simple) mayBeSent(m *pendingMessage) bool {
	c := &p.settings.Classes[m.class]
	return p.now < m.deadline && (!m.mayHaveRun || c.Effect == control.Safe || c.Effect == control.Keyed && p.now < m.mayHaveRunAt+c.Memory)
}

func (p *Simple) refuse(m *pendingMessage, out []control.Action) []control.Action {
	delete(p.pending, m.id)
	if m.mayHaveRun && p.settings.Classes[m.class].Effect == control.Unsafe {
		return append(out, control.Action{Kind: control.Fail, ID: m.id})
	}
	return append(out, control.Action{Kind: control.Refuse, ID: m.id, For: time.Second})
}

func (p *Simple) handleList(e *control.Event) {
	if e.Complete {
		for _, at := range p.endpoints {
			at.state = control.Removed
		}
	}
	for _, l := range e.Endpoints {
		at := p.endpoints[l.ID]
		if at == nil {
			at = &endpoint{id: l.ID}
			p.endpoints[l.ID] = at
			p.byDestination[l.Destination] = append(p.byDestination[l.Destination], at)
			slices.SortFunc(p.byDestination[l.Destination], func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
		}
		at.state = l.State
	}
}

// dispatch sends what may be sent now, and asks to be woken for the rest.
func (p *Simple) dispatch(out []control.Action) []control.Action {
	wake := time.Duration(0)
	wakeBy := func(at time.Duration) {
		if at > p.now && (wake == 0 || at < wake) {
			wake = at
		}
	}
	queued := p.queue[:0]
	for _, message := range p.queue {
		if !p.mayBeSent(message) {
			out = p.refuse(message, out)
			continue
		}
		target := (*endpoint)(nil)
		if message.notBefore <= p.now && p.inFlight < p.settings.Slots {
			target = p.selectEndpoint(message.destination)
		}
		if target == nil {
			queued = append(queued, message)
			wakeBy(message.notBefore)
			wakeBy(message.deadline)
			for _, e := range p.byDestination[message.destination] {
				wakeBy(e.blockedUntil)
			}
			if p.truth != nil {
				wakeBy(p.now + 20*time.Millisecond)
			}
			continue
		}
		message.sentTo = target
		message.attempts++
		p.inFlight++
		target.inFlight++
		within := min(p.options.Timeout, message.deadline-p.now)
		out = append(out, control.Action{Kind: control.Send, ID: message.id, Endpoint: target.id, For: within})
	}
	p.queue = queued
	if wake != 0 {
		out = append(out, control.Action{Kind: control.Wake, At: wake})
	}
	return out
}

// selectEndpoint returns an endpoint that may be sent to; nil: there is none.
func (p *Simple) selectEndpoint(dest int) *endpoint {
	var open []*endpoint
	for _, e := range p.byDestination[dest] {
		if e.state == control.Ready && e.blockedUntil <= p.now {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return nil
	}
	byInFlight := func(a, b *endpoint) int { return cmp.Compare(a.inFlight, b.inFlight) }
	switch p.options.Selection {
	case LeastInFlight:
		return slices.MinFunc(open, byInFlight)
	case TwoChoices:
		return slices.MinFunc([]*endpoint{open[p.rng.IntN(len(open))], open[p.rng.IntN(len(open))]}, byInFlight)
	case Oracle:
		best, maxFree := (*endpoint)(nil), 0
		for _, e := range open {
			if free, up := p.truth(e.id); up && free-e.inFlight > maxFree {
				best, maxFree = e, free-e.inFlight
			}
		}
		return best
	}
	p.nextIndex[dest]++
	return open[p.nextIndex[dest]%len(open)]
}
