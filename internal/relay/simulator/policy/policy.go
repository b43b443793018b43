// Package policy holds simple policies to compare the relay's module with. They keep the rules that bind every relay
// (repeats, waits, drains, attempts), and choose endpoints, time-outs and retries as is usual elsewhere.
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

// Pick is how a policy chooses among a destination's endpoints.
type Pick uint8

// The ways to choose.
const (
	RoundRobin Pick = iota
	LeastOut        // the one with the fewest of its own calls out
	TwoChoices      // the better of two by chance
	Oracle          // the one with the most room, as it truly is
)

// Options make up a policy.
type Options struct {
	Pick    Pick
	Timeout time.Duration // of a call
	Tries   int           // 1: no retries
	Backoff time.Duration // before the first, doubled with each, with full jitter
	Budget  float64       // retries for each message that comes; 0: without bound
	Breaker int           // failures in a row that keep an endpoint out for a while; 0: none
}

// Named are the policies by name.
var Named = map[string]simulator.Maker{
	"core":        fullrelay.Make,
	"module":      func(s control.Settings, seed uint64) (simulator.Policy, error) { return control.New(s, seed) },
	"shared":      func(s control.Settings, seed uint64) (simulator.Policy, error) { return control.New(s, seed) }, // see Shares
	"single":      simple(Options{Timeout: 10 * time.Second, Tries: 1}),
	"round-robin": simple(Options{Timeout: 2 * time.Second, Tries: 4, Backoff: 100 * time.Millisecond}),
	"least-out":   simple(Options{Pick: LeastOut, Timeout: 2 * time.Second, Tries: 4, Backoff: 100 * time.Millisecond}),
	"two-choices": simple(Options{Pick: TwoChoices, Timeout: 2 * time.Second, Tries: 4, Backoff: 100 * time.Millisecond}),
	"budget":      simple(Options{Pick: TwoChoices, Timeout: 2 * time.Second, Tries: 4, Backoff: 100 * time.Millisecond, Budget: 0.2}),
	"breaker":     simple(Options{Pick: TwoChoices, Timeout: 2 * time.Second, Tries: 4, Backoff: 100 * time.Millisecond, Budget: 0.2, Breaker: 5}),
	"oracle":      simple(Options{Pick: Oracle, Timeout: 4 * time.Second, Tries: 5, Backoff: 50 * time.Millisecond}),
}

// Shares tells whether the relays under a policy share limits.
func Shares(name string) bool { return name == "shared" }

func simple(o Options) simulator.Maker {
	return func(s control.Settings, seed uint64) (simulator.Policy, error) { return New(o, s, seed) }
}

// Simple is such a policy.
type Simple struct {
	o     Options
	set   control.Settings
	rng   *rand.Rand
	now   time.Duration
	held  map[uint64]*held
	line  []*held // those that are not out, by when they may go
	ends  map[uint32]*end
	of    map[int][]*end // by destination, by id
	turn  map[int]int
	out   int
	purse float64 // retries that may be made
	truth func(uint32) (int, bool)
}

type held struct {
	id       uint64
	dest     int
	class    int
	deadline time.Duration
	tries    int
	out      *end // nil: it waits
	ran      bool
	ranAt    time.Duration
	from     time.Duration // not sent before
}

type end struct {
	id     uint32
	state  control.State
	out    int
	until  time.Duration // not before: a wait, or a breaker
	failed int           // in a row
}

// New returns a policy.
func New(o Options, set control.Settings, seed uint64) (*Simple, error) {
	if o.Timeout <= 0 || o.Tries < 1 {
		return nil, fmt.Errorf("policy: time-out %v and %d tries make none", o.Timeout, o.Tries)
	}
	return &Simple{o: o, set: set, rng: rand.New(rand.NewPCG(seed, 3)), held: map[uint64]*held{}, ends: map[uint32]*end{},
		of: map[int][]*end{}, turn: map[int]int{}, purse: 10}, nil
}

// See shows an oracle the true state.
func (p *Simple) See(truth func(uint32) (int, bool)) {
	if p.o.Pick == Oracle {
		p.truth = truth
	}
}

// Step decides.
func (p *Simple) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	p.now = now
	for i := range events {
		out = p.event(&events[i], out)
	}
	return p.dispatch(out)
}

func (p *Simple) event(e *control.Event, out []control.Action) []control.Action {
	switch e.Kind {
	case control.Listed:
		p.listed(e)
	case control.Arrived:
		p.purse = min(p.purse+p.o.Budget, 100)
		m := &held{id: e.ID, dest: e.Destination, class: e.Class, deadline: e.Deadline, tries: e.Attempt, ran: e.MayHaveRun, ranAt: e.RanAt}
		p.held[m.id] = m
		if p.set.MaxOpen > 0 && len(p.held) > p.set.MaxOpen || !p.may(m) {
			return p.refuse(m, out)
		}
		p.line = append(p.line, m)
	case control.Resolved:
		m := p.held[e.ID]
		if m == nil || m.out == nil {
			return out
		}
		at := m.out
		m.out = nil
		p.out--
		at.out--
		if e.Result == control.Delivered {
			at.failed = 0
			delete(p.held, m.id)
			return out
		}
		if e.RetryAfter > 0 {
			at.until = max(at.until, p.now+e.RetryAfter)
		}
		if at.failed++; p.o.Breaker > 0 && at.failed >= p.o.Breaker {
			at.until, at.failed = max(at.until, p.now+time.Second), 0
		}
		if !e.Result.NeverRan() && !m.ran {
			m.ran, m.ranAt = true, p.now-e.Elapsed
		}
		if m.tries >= min(p.o.Tries, p.set.MaxAttempts) || !p.may(m) || p.o.Budget > 0 && p.purse < 1 {
			return p.refuse(m, out)
		}
		if p.o.Budget > 0 {
			p.purse--
		}
		wait := time.Duration(p.rng.Int64N(int64(p.o.Backoff<<min(m.tries-1, 8)) + 1))
		m.from = p.now + wait
		p.line = append(p.line, m)
	}
	return out
}

// may tells whether a message may still be sent.
func (p *Simple) may(m *held) bool {
	c := &p.set.Classes[m.class]
	return p.now < m.deadline && (!m.ran || c.Effect == control.Safe || c.Effect == control.Keyed && p.now < m.ranAt+c.Memory)
}

func (p *Simple) refuse(m *held, out []control.Action) []control.Action {
	delete(p.held, m.id)
	if m.ran && p.set.Classes[m.class].Effect == control.Unsafe {
		return append(out, control.Action{Kind: control.Fail, ID: m.id})
	}
	return append(out, control.Action{Kind: control.Refuse, ID: m.id, For: time.Second})
}

func (p *Simple) listed(e *control.Event) {
	if e.Complete {
		for _, at := range p.ends {
			at.state = control.Removed
		}
	}
	for _, l := range e.Endpoints {
		at := p.ends[l.ID]
		if at == nil {
			at = &end{id: l.ID}
			p.ends[l.ID] = at
			p.of[l.Destination] = append(p.of[l.Destination], at)
			slices.SortFunc(p.of[l.Destination], func(a, b *end) int { return cmp.Compare(a.id, b.id) })
		}
		at.state = l.State
	}
}

// dispatch sends what may go, and asks to be woken for the rest.
func (p *Simple) dispatch(out []control.Action) []control.Action {
	wake := time.Duration(0)
	by := func(at time.Duration) {
		if at > p.now && (wake == 0 || at < wake) {
			wake = at
		}
	}
	keep := p.line[:0]
	for _, m := range p.line {
		if !p.may(m) {
			out = p.refuse(m, out)
			continue
		}
		at := (*end)(nil)
		if m.from <= p.now && p.out < p.set.Slots {
			at = p.choose(m.dest)
		}
		if at == nil {
			keep = append(keep, m)
			by(m.from)
			by(m.deadline)
			for _, e := range p.of[m.dest] {
				by(e.until)
			}
			if p.truth != nil {
				by(p.now + 20*time.Millisecond)
			}
			continue
		}
		m.out = at
		m.tries++
		p.out++
		at.out++
		within := min(p.o.Timeout, m.deadline-p.now)
		out = append(out, control.Action{Kind: control.Send, ID: m.id, Endpoint: at.id, For: within})
	}
	p.line = keep
	if wake != 0 {
		out = append(out, control.Action{Kind: control.Wake, At: wake})
	}
	return out
}

// choose picks an endpoint that may be sent to; nil: there is none.
func (p *Simple) choose(dest int) *end {
	var open []*end
	for _, e := range p.of[dest] {
		if e.state == control.Ready && e.until <= p.now {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return nil
	}
	least := func(a, b *end) int { return cmp.Compare(a.out, b.out) }
	switch p.o.Pick {
	case LeastOut:
		return slices.MinFunc(open, least)
	case TwoChoices:
		return slices.MinFunc([]*end{open[p.rng.IntN(len(open))], open[p.rng.IntN(len(open))]}, least)
	case Oracle:
		best, room := (*end)(nil), 0
		for _, e := range open {
			if free, up := p.truth(e.id); up && free-e.out > room {
				best, room = e, free-e.out
			}
		}
		return best
	}
	p.turn[dest]++
	return open[p.turn[dest]%len(open)]
}
