// Package policy holds the policies that package simulator runs, by name: the relay's decision module, the full relay, and simple
// policies as baselines. The simple ones keep the rules that bind every relay (idempotency, Retry-After, drains, attempts) and use
// common techniques otherwise: round robin, least in flight, power of two choices, full-jitter backoff, retry budgets, circuit breakers.
// Package experiment looks them up. A policy is not safe for concurrent use.
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
	MaxAttempts     int           // calls for one message, at least 1; 1: no retries
	Backoff         time.Duration // upper bound of the wait before the first retry, doubled for each further one; full jitter
	RetryBudget     float64       // retries that each arriving message adds to the budget; 0: unlimited retries
	BreakerFailures int           // consecutive failures after which an endpoint is blocked for 1 s; 0: never blocked
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

// SharesLimits reports whether relays share limits under the named policy.
func SharesLimits(name string) bool { return name == "shared" }

// factory returns a factory of simple policies with the given options.
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
	byDestination map[int][]*endpoint // sorted by ID
	nextIndex     map[int]int         // by destination; used by RoundRobin
	inFlight      int
	retryTokens   float64 // retries left in the budget
	truth         func(uint32) (int, bool)
}

type pendingMessage struct {
	id           uint64
	destination  int
	class        int
	deadline     time.Duration
	attempts     int
	sentTo       *endpoint // nil: not in flight
	mayHaveRun   bool      // an attempt may have run; the first such attempt was sent at mayHaveRunAt
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

// New returns a simple policy. Options.Timeout and Options.MaxAttempts must be above 0.
func New(opts Options, relaySettings control.Settings, seed uint64) (*Simple, error) {
	if opts.Timeout <= 0 || opts.MaxAttempts < 1 {
		return nil, fmt.Errorf("policy: timeout %v and %d attempts, want both above 0", opts.Timeout, opts.MaxAttempts)
	}
	return &Simple{options: opts, settings: relaySettings, rng: rand.New(rand.NewPCG(seed, 3)), pending: map[uint64]*pendingMessage{}, endpoints: map[uint32]*endpoint{},
		byDestination: map[int][]*endpoint{}, nextIndex: map[int]int{}, retryTokens: 10}, nil
}

// ObserveTruth gives an oracle access to the true state of the endpoints; other policies ignore it.
func (p *Simple) ObserveTruth(truth func(uint32) (int, bool)) {
	if p.options.Selection == Oracle {
		p.truth = truth
	}
}

// Step handles the events in order and sends the messages that may be sent.
func (p *Simple) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	p.now = now
	for i := range events {
		out = p.handleEvent(&events[i], out)
	}
	return p.dispatch(out)
}

// handleEvent updates the state for an event, and refuses a message that may not be queued or retried.
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
		resolved := p.pending[event.ID]
		if resolved == nil || resolved.sentTo == nil {
			return out
		}
		target := resolved.sentTo
		resolved.sentTo = nil
		p.inFlight--
		target.inFlight--
		if event.Result == control.Delivered {
			target.consecutiveFailures = 0
			delete(p.pending, resolved.id)
			return out
		}
		if event.RetryAfter > 0 {
			target.blockedUntil = max(target.blockedUntil, p.now+event.RetryAfter)
		}
		if target.consecutiveFailures++; p.options.BreakerFailures > 0 && target.consecutiveFailures >= p.options.BreakerFailures {
			target.blockedUntil, target.consecutiveFailures = max(target.blockedUntil, p.now+time.Second), 0
		}
		if !event.Result.NeverRan() && !resolved.mayHaveRun {
			resolved.mayHaveRun, resolved.mayHaveRunAt = true, p.now-event.Elapsed
		}
		if resolved.attempts >= min(p.options.MaxAttempts, p.settings.MaxAttempts) || !p.mayBeSent(resolved) || p.options.RetryBudget > 0 && p.retryTokens < 1 {
			return p.refuse(resolved, out)
		}
		if p.options.RetryBudget > 0 {
			p.retryTokens--
		}
		wait := time.Duration(p.rng.Int64N(int64(p.options.Backoff<<min(resolved.attempts-1, 8)) + 1))
		resolved.notBefore = p.now + wait
		p.queue = append(p.queue, resolved)
	}
	return out
}

// mayBeSent reports whether a message may still be sent: before its deadline, and after an attempt that may have run only if it is
// idempotent.
func (p *Simple) mayBeSent(m *pendingMessage) bool {
	c := &p.settings.Classes[m.class]
	return p.now < m.deadline && (!m.mayHaveRun || c.Effect == control.Safe || c.Effect == control.Keyed && p.now < m.mayHaveRunAt+c.DedupWindow)
}

// refuse drops a message. It fails the message if an attempt may have run and the class is unsafe, otherwise the client may resubmit it.
func (p *Simple) refuse(m *pendingMessage, out []control.Action) []control.Action {
	delete(p.pending, m.id)
	if m.mayHaveRun && p.settings.Classes[m.class].Effect == control.Unsafe {
		return append(out, control.Action{Kind: control.Fail, ID: m.id})
	}
	return append(out, control.Action{Kind: control.Refuse, ID: m.id, Duration: time.Second})
}

// handleList updates the states of the listed endpoints; endpoints missing from a complete list are removed.
func (p *Simple) handleList(event *control.Event) {
	if event.Complete {
		for _, known := range p.endpoints {
			known.state = control.Removed
		}
	}
	for _, listed := range event.Endpoints {
		known := p.endpoints[listed.ID]
		if known == nil {
			known = &endpoint{id: listed.ID}
			p.endpoints[listed.ID] = known
			p.byDestination[listed.Destination] = append(p.byDestination[listed.Destination], known)
			slices.SortFunc(p.byDestination[listed.Destination], func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
		}
		known.state = listed.State
	}
}

// dispatch sends the messages that may be sent now, and asks to be woken for the others.
func (p *Simple) dispatch(out []control.Action) []control.Action {
	wakeAt := time.Duration(0)
	wakeBy := func(at time.Duration) {
		if at > p.now && (wakeAt == 0 || at < wakeAt) {
			wakeAt = at
		}
	}
	unsent := p.queue[:0]
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
			unsent = append(unsent, message)
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
		timeout := min(p.options.Timeout, message.deadline-p.now)
		out = append(out, control.Action{Kind: control.Send, ID: message.id, Endpoint: target.id, Duration: timeout})
	}
	p.queue = unsent
	if wakeAt != 0 {
		out = append(out, control.Action{Kind: control.Wake, At: wakeAt})
	}
	return out
}

// selectEndpoint returns an endpoint that is ready and not blocked, according to the selection; nil: there is none.
func (p *Simple) selectEndpoint(destination int) *endpoint {
	var available []*endpoint
	for _, e := range p.byDestination[destination] {
		if e.state == control.Ready && e.blockedUntil <= p.now {
			available = append(available, e)
		}
	}
	if len(available) == 0 {
		return nil
	}
	byInFlight := func(a, b *endpoint) int { return cmp.Compare(a.inFlight, b.inFlight) }
	switch p.options.Selection {
	case LeastInFlight:
		return slices.MinFunc(available, byInFlight)
	case TwoChoices:
		return slices.MinFunc([]*endpoint{available[p.rng.IntN(len(available))], available[p.rng.IntN(len(available))]}, byInFlight)
	case Oracle:
		best, maxFree := (*endpoint)(nil), 0
		for _, e := range available {
			if free, up := p.truth(e.id); up && free-e.inFlight > maxFree {
				best, maxFree = e, free-e.inFlight
			}
		}
		return best
	}
	p.nextIndex[destination]++
	return available[p.nextIndex[destination]%len(available)]
}
