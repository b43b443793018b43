package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
	"mastusher/internal/virtualtime"
)

// Options configure a World. Shares and probabilities are fractions.
type Options struct {
	Relays, Voters       int
	Seed                 uint64
	Lease                time.Duration
	MaxClockDrift        float64
	ServeWhenPartitioned bool
	Delay                time.Duration // of a datagram, one to three times this; above 0
	Loss, Duplication    float64
	ActInterval          time.Duration // between two attempts of a relay to act; shorter ones find shorter breaches, but need more steps; 0: no attempts
	CanApply             func(relay string, incarnation int, doc []byte) error
	ClockOffset          time.Duration                           // between the clocks of successive relays
	GuaranteedShare      float64                                 // see node.Config; 0: limits are not shared
	Zones                int                                     // number of zones, to which relays are assigned in turn; 0: one
	Demands              func(w *World, r *Relay) []quota.Demand // returns the current demands of a relay; nil: none
}

// World is a fleet in virtual time. It must be used by one goroutine.
type World struct {
	Options
	Relays    []*Relay
	History   []checker.Entry
	Datagrams int // number sent, lost ones included
	Bytes     int64
	Steps     int
	Faults    map[string]int // by kind, injected while a change was in progress

	rng             *rand.Rand
	byName          map[string]*Relay
	loop            virtualtime.Loop
	partitioned     map[[2]int]bool // by index of sender and receiver
	measure         func(*node.Message) int
	onMeasured      func(from, to *Relay, bytes int)
	roster          []string      // in the relays' configuration; nil: all relays
	delayLeasesTo   *Relay        // relay to which lease grants take most of a lease, and no state updates are sent
	crashBeforeSave *Relay        // relay that crashes right before it saves its next entry
	recordFrom      *Relay        // relay whose messages are recorded in addition to being sent
	recorded        []func()      // deliver the recorded messages
	inTransit       [][]func()    // by receiver: deliveries that wait for a choice of Explore; nil: messages arrive after their delay
	stormAt         time.Duration // when the last multiple of stormSteps was reached
}

// A message storm is reported if, over stormSteps steps of all relays, each relay steps more often than every stormGap on average.
const (
	stormSteps = 100_000
	stormGap   = 250 * time.Microsecond
)

// New returns a world with all relays started and a request to relay 0 to bootstrap the fleet.
func New(o Options) *World {
	w := &World{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), byName: map[string]*Relay{}, partitioned: map[[2]int]bool{}, Faults: map[string]int{}}
	for i := range o.Relays {
		r := &Relay{Name: fmt.Sprintf("r%d", i), Index: i, clockRate: 1 + o.MaxClockDrift*float64(w.rng.IntN(3)-1), clockOffset: float64(w.rng.IntN(1e6)), actionsUntilCrash: -1}
		r.clockOffset += float64(i) * float64(o.ClockOffset)
		r.disk.member = w.rng.Uint64() | 1
		w.Relays, w.byName[r.Name] = append(w.Relays, r), r
	}
	for _, r := range w.Relays {
		w.Start(r)
	}
	w.Admin(w.Relays[0], node.AdminRequest{Op: "found"})
	return w
}

// Now returns the virtual time since the start of the world.
func (w *World) Now() time.Duration { return w.loop.Now() }

// After schedules a call of run after a delay.
func (w *World) After(delay time.Duration, run func()) { w.loop.After(delay, run) }

// Run advances the virtual time by span and runs the events in it.
func (w *World) Run(span time.Duration) { w.loop.RunFor(span) }

// Await runs until a condition holds or the timeout has passed, and reports whether the condition holds.
func (w *World) Await(timeout time.Duration, condition func() bool) bool {
	for end := w.Now() + timeout; !condition(); w.Run(2 * time.Millisecond) {
		if w.Now() >= end {
			return false
		}
	}
	return true
}

func (w *World) relayNames(n int) (all []string) {
	for _, r := range w.Relays[:n] {
		all = append(all, r.Name)
	}
	return all
}

// injectedFault records a fault, and counts it by kind (its first word) if a change is in progress.
func (w *World) injectedFault(text string) {
	w.record(checker.Entry{Kind: checker.Fault, Text: text})
	for _, r := range w.Relays {
		if r.Node != nil && r.Node.Status().State.Change != nil {
			kind := text
			if i := slices.Index([]byte(text), ' '); i > 0 {
				kind = text[:i]
			}
			w.Faults[kind]++
			return
		}
	}
}

// reportViolation records a violation of an invariant by a relay.
func (w *World) reportViolation(r *Relay, text string) {
	w.record(checker.Entry{Kind: checker.Breached, Relay: r.Name, Text: text})
}

// record appends an entry to the history, at the current time.
func (w *World) record(e checker.Entry) {
	e.At = w.Now()
	w.History = append(w.History, e)
}

// recordPastChanges records the outcomes of past changes that a relay knows.
func (w *World) recordPastChanges(r *Relay) {
	for _, p := range r.Node.Status().State.PastChanges {
		if p.Version != 0 {
			w.record(checker.Entry{Kind: checker.Reported, Relay: r.Name, Version: p.Version, Digest: p.Digest, Dropped: p.DropReason != ""})
		}
	}
}

// Propose proposes a change at a relay and returns its ticket.
func (w *World) Propose(r *Relay, base uint64, doc string) uint64 {
	t := w.rng.Uint64() | 1
	w.Admin(r, node.AdminRequest{Op: "propose", Version: base, Doc: []byte(doc), By: "sim", Ticket: t})
	return t
}

// Outcome returns the outcome of the change with a ticket, if any running relay knows it.
func (w *World) Outcome(ticket uint64) (policy.PastChange, bool) {
	for _, r := range w.Relays {
		if r.Node == nil {
			continue
		}
		for _, p := range r.Node.Status().State.PastChanges {
			if p.Ticket == ticket {
				return p, true
			}
		}
	}
	return policy.PastChange{}, false
}

// AllActOn reports whether every running relay may act now, under a version.
func (w *World) AllActOn(version uint64) bool {
	for _, r := range w.Relays {
		if r.Node != nil && (r.Mandate.Version != version || r.Mandate.Halted != 0 || r.Mandate.Until <= r.clock(w.Now())) {
			return false
		}
	}
	return true
}
