// Package simulation runs a fleet's pure modules in virtual time: links that lose, delay, double and cut, relays that crash between
// any two actions, come back with an older folder or none, and clocks that run apart as far as they may.
package simulation

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
)

// Options make a world. Shares are of 1.
type Options struct {
	Relays, Voters int
	Seed           uint64
	Lease          time.Duration
	Drift          float64
	Serve          bool
	Delay          time.Duration // of a datagram, and up to three times that
	Loss, Twice    float64
	Acts           time.Duration // how often a relay tries to act; 0: never
	Applies        func(relay string, life int, doc []byte) error
	Apart          time.Duration                           // from one relay\'s clock to the next one\'s
	Kept           float64                                 // of each right, that is relays' own; 0: nothing is shared
	Zones          int                                     // that relays stand in, in turn
	Needs          func(w *World, r *Relay) []quota.Demand // of a relay, now
}

// World is a fleet in virtual time.
type World struct {
	Options
	Now     time.Duration
	Relays  []*Relay
	History []checker.Entry
	Sent    int // datagrams
	Bytes   int64
	Steps   int
	Faults  map[string]int // that struck while a change was under way

	rng     *rand.Rand
	byName  map[string]*Relay
	queue   events
	no      uint64
	cut     map[[2]int]bool // from, to
	size    func(*node.Message) int
	sized   func(from, to *Relay, bytes int)
	roster  []string // that files name; nil: all
	slowTo  *Relay   // grants to it take most of a lease, and nothing is told to it unasked
	unsaved *Relay   // crashes right before it would save its next entry
	hold    *Relay   // what it sends is kept, beside being sent
	held    []func()
	pending [][]func() // not nil: what is under way to each relay waits for its choice
	stormAt time.Duration
}

// A fleet whose relays step more often than every stormGap, over stormAfter steps of all, is in a storm.
const (
	stormAfter = 100_000
	stormGap   = 250 * time.Microsecond
)

// Relay is one process.
type Relay struct {
	Name    string
	No      int
	Node    *node.Node
	Lives   int
	Stand   node.Mandate
	Asked   []*node.Status
	Slow    bool // it is stopped (SIGSTOP)
	Members []uint64

	rate, off float64 // its clock
	disk      disk
	wake      uint64 // number of the event that wakes it last
	Full      bool   // its disk takes nothing
	crashIn   int    // actions until it crashes; below 0: never
	waiting   []node.Event
	acting    uint64      // numbers of its ticker
	Spend     quota.Lease // what it goes by
}

type disk struct {
	gen, member uint64
	image       consensus.Image
}

func (d *disk) clone() disk {
	c := *d
	c.image.Entries = slices.Clone(d.image.Entries)
	return c
}

func (d *disk) save(image *consensus.Image, member uint64) {
	if member != 0 {
		d.member = member
	}
	if image.Complete {
		d.image = consensus.Image{HardState: image.HardState, Snapshot: image.Snapshot, Entries: slices.Clone(image.Entries), Remembered: image.Remembered}
		return
	}
	if len(image.HardState) > 0 {
		d.image.HardState = image.HardState
	}
	if image.Remembered != nil {
		d.image.Remembered = image.Remembered
	}
	d.image.Entries = append(d.image.Entries, image.Entries...)
}

type event struct {
	at time.Duration
	no uint64
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].no < e[j].no
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// New returns a world whose relays have been started; relay 0 has founded the fleet.
func New(o Options) *World {
	w := &World{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), byName: map[string]*Relay{}, cut: map[[2]int]bool{}, Faults: map[string]int{}}
	for i := range o.Relays {
		r := &Relay{Name: fmt.Sprintf("r%d", i), No: i, rate: 1 + o.Drift*float64(w.rng.IntN(3)-1), off: float64(w.rng.IntN(1e6)), crashIn: -1}
		r.off += float64(i) * float64(o.Apart)
		r.disk.member = w.rng.Uint64() | 1
		w.Relays, w.byName[r.Name] = append(w.Relays, r), r
	}
	for _, r := range w.Relays {
		w.Start(r)
	}
	w.Ask(w.Relays[0], node.AdminRequest{Op: "found"})
	return w
}

// After has something done in a while.
func (w *World) After(d time.Duration, do func()) uint64 {
	w.no++
	heap.Push(&w.queue, event{w.Now + d, w.no, do})
	return w.no
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	until := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.Now = max(w.Now, e.at)
		e.do()
	}
	w.Now = until
}

// Await lets time pass until something holds; false: it did not within d.
func (w *World) Await(d time.Duration, holds func() bool) bool {
	for end := w.Now + d; !holds(); w.Run(2 * time.Millisecond) {
		if w.Now >= end {
			return false
		}
	}
	return true
}

func (w *World) names(n int) (all []string) {
	for _, r := range w.Relays[:n] {
		all = append(all, r.Name)
	}
	return all
}

func (r *Relay) clock(now time.Duration) time.Duration {
	return time.Duration(r.off) + time.Duration(float64(now)*r.rate)
}

// Start begins a life of a relay with its folder as it is.
func (w *World) Start(r *Relay) {
	r.disk.gen++
	r.Lives++
	r.Stand, r.Spend, r.waiting, r.crashIn, r.Slow = node.Mandate{}, quota.Lease{}, nil, -1, false
	cfg := node.Config{Name: r.Name, Generation: r.disk.gen, Incarnation: w.rng.Uint64() | 1, Seed: w.rng.Uint64(), Member: r.disk.member, Voters: w.names(w.Voters),
		Roster: w.names(w.Options.Relays), Lease: w.Lease, MaxClockDrift: w.Drift, ServeWhenPartitioned: w.Serve, GuaranteedShare: w.Kept, Zone: r.No % max(w.Zones, 1)}
	if w.roster != nil {
		cfg.Roster = w.roster
	}
	image := r.disk.clone().image
	n, err := node.New(cfg, &image, r.clock(w.Now))
	if err != nil {
		w.broke(r, err.Error())
		return
	}
	r.Node = n
	w.note(checker.Entry{Kind: checker.Started, Relay: r.Name})
	w.wakeIn(r, 0)
	if w.Kept > 0 {
		w.After(time.Duration(w.rng.Int64N(int64(needsEvery))), func() { w.needs(r, r.Node) })
	}
	if w.Acts > 0 {
		r.acting = w.After(time.Duration(w.rng.Int64N(int64(w.Acts))), func() { w.act(r, r.Node) })
	}
}

// Crash ends a relay's life at once. What was saved stays.
func (w *World) Crash(r *Relay) {
	if r.Node != nil {
		w.fault("crash " + r.Name)
	}
	r.Node = nil
}

// Copy is a relay's folder as it is now, to Restore it later.
func (w *World) Copy(r *Relay) func() {
	d := r.disk.clone()
	return func() {
		w.fault("older folder of " + r.Name)
		r.disk = d.clone()
	}
}

// Wipe loses a relay's folder.
func (w *World) Wipe(r *Relay) {
	w.fault("no folder of " + r.Name)
	r.disk = disk{member: w.rng.Uint64() | 1}
}

// Stop keeps a relay from running for a while, like SIGSTOP.
func (w *World) Stop(r *Relay, d time.Duration) {
	w.fault("stop " + r.Name)
	r.Slow = true
	n := r.Node
	w.After(d, func() {
		if r.Node == n {
			r.Slow = false
			w.wakeIn(r, 0)
		}
	})
}

// Cut loses all from one relay to another, or lets it pass again.
func (w *World) Cut(from, to *Relay, on bool) {
	if on {
		w.fault("cut " + from.Name + ">" + to.Name)
	}
	w.cut[[2]int{from.No, to.No}] = on
}

// Heal lets all pass again.
func (w *World) Heal() { clear(w.cut) }

func (w *World) fault(text string) {
	w.note(checker.Entry{Kind: checker.Fault, Text: text})
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

func (w *World) broke(r *Relay, text string) {
	w.note(checker.Entry{Kind: checker.Broke, Relay: r.Name, Text: text})
}

func (w *World) note(e checker.Entry) {
	e.At = w.Now
	w.History = append(w.History, e)
}

func (w *World) act(r *Relay, life *node.Node) {
	if r.Node != life || life == nil {
		return
	}
	if !r.Slow && r.Stand.Halted == 0 && r.Stand.Until > r.clock(w.Now) {
		w.note(checker.Entry{Kind: checker.Acted, Relay: r.Name, Version: r.Stand.Version})
	}
	w.After(w.Acts, func() { w.act(r, life) })
}

// Ask puts an operator's word to a relay.
func (w *World) Ask(r *Relay, a node.AdminRequest) {
	if r.Node != nil {
		w.tell(r, node.Event{AdminRequest: &a})
	}
}

func (w *World) tell(r *Relay, ev node.Event) {
	r.waiting = append(r.waiting, ev)
	w.wakeIn(r, 0)
}

func (w *World) wakeIn(r *Relay, d time.Duration) {
	life := r.Node
	var no uint64
	no = w.After(d, func() {
		if r.Node == life && life != nil && !r.Slow && r.wake == no {
			w.step(r)
		}
	})
	r.wake = no
}

func (w *World) step(r *Relay) {
	now := r.clock(w.Now)
	evs := r.waiting
	r.waiting = nil
	if w.Steps++; w.Steps%stormAfter == 0 {
		if w.Now-w.stormAt < time.Duration(stormAfter/len(w.Relays))*stormGap { // they answer each other for ever
			w.broke(r, "a storm of messages")
			w.queue = nil
			return
		}
		w.stormAt = w.Now
	}
	for _, a := range r.Node.Step(now, evs) {
		if r.crashIn >= 0 {
			if r.crashIn--; r.crashIn < 0 {
				w.Crash(r)
				return
			}
		}
		if r.Full && a.Save != nil {
			w.tell(r, node.Event{SaveFailed: errors.New("no space left")})
			return
		}
		if r == w.unsaved && a.Save != nil && len(a.Save.Entries) > 0 {
			w.Crash(r)
			return
		}
		w.carry(r, a)
	}
	// On its own clock a little later, on a true one too.
	w.wakeIn(r, r.Node.Next(now))
}

// CrashIn has a relay crash after so many actions from now on: between a save and the message that relies on it, say.
func (w *World) CrashIn(r *Relay, n int) { r.crashIn = n }

func (w *World) carry(r *Relay, a node.Action) {
	life := r.Node
	later := func(ev node.Event) {
		w.After(time.Millisecond, func() {
			if r.Node == life {
				w.tell(r, ev)
			}
		})
	}
	switch {
	case a.Save != nil:
		r.disk.save(a.Save, a.Member)
	case a.Generation != 0:
		r.disk.gen = a.Generation
	case a.Message != nil:
		w.send(r, w.byName[a.To], a.Message)
	case a.Check != nil:
		v := &node.Verdict{Version: a.Check.Version}
		if w.Applies != nil {
			if err := w.Applies(r.Name, r.Lives, a.Check.Doc); err != nil {
				v.Reason = err.Error()
			}
		}
		later(node.Event{Verdict: v})
	case a.Mandate != nil:
		r.Stand = *a.Mandate
		if h := a.Mandate.Halted; h != 0 {
			later(node.Event{HaltedFor: h})
		}
		w.words(r)
	case a.Lease != nil:
		s := *a.Lease
		w.After(time.Millisecond, func() { // the core's turn
			if r.Node == life {
				r.Spend = s
				w.spent(r)
				w.tell(r, node.Event{ConfirmedLease: &[2]uint64{s.Term, s.Number}})
			}
		})
	case a.Log != "":
		if strings.HasPrefix(a.Log, "this relay has no say") && !r.Full {
			w.broke(r, fmt.Sprint(a.Fields...)) // no disk fails here
		}
		w.note(checker.Entry{Kind: checker.Log, Relay: r.Name, Text: a.Log + " " + fmt.Sprint(a.Fields...)})
	case a.Answer != nil:
		r.Asked = append(r.Asked, a.Answer)
	}
}

// words notes what a relay says of the versions that are over.
func (w *World) words(r *Relay) {
	for _, p := range r.Node.Status().State.PastChanges {
		if p.Version != 0 {
			w.note(checker.Entry{Kind: checker.Said, Relay: r.Name, Version: p.Version, Digest: p.Digest, Dropped: p.DropReason != ""})
		}
	}
}

func (w *World) send(from, to *Relay, m *node.Message) {
	if to == nil {
		w.broke(from, "a message to nobody")
		return
	}
	w.Sent++
	if w.size != nil {
		n := w.size(m)
		w.Bytes += int64(n)
		w.sized(from, to, n)
	}
	if w.cut[[2]int{from.No, to.No}] || w.rng.Float64() < w.Loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.Twice {
		copies = 2
	}
	for range copies {
		d := w.Delay + time.Duration(w.rng.Int64N(2*int64(w.Delay)+1))
		if w.rng.Float64() < w.Twice { // long under way, behind others
			d += time.Duration(w.rng.Int64N(int64(2 * w.Lease)))
		}
		if to == w.slowTo && m.StateUpdate != nil {
			return
		}
		if to == w.slowTo && m.LeaseGrant != nil {
			d += w.Lease * 3 / 4
		}
		arrive := func() {
			if to.Node != nil {
				w.tell(to, node.Event{From: from.Name, Message: m})
			}
		}
		if w.pending != nil {
			w.pending[to.No] = append(w.pending[to.No], arrive)
			continue
		}
		if from == w.hold {
			w.held = append(w.held, arrive)
		}
		w.After(d, arrive)
	}
}

// Propose hands a change in at a relay and returns its ticket.
func (w *World) Propose(r *Relay, base uint64, doc string) uint64 {
	t := w.rng.Uint64() | 1
	w.Ask(r, node.AdminRequest{Op: "propose", Version: base, Doc: []byte(doc), By: "sim", Ticket: t})
	return t
}

// End is how the change of a ticket ended, by what any relay knows; false: it has not.
func (w *World) End(ticket uint64) (policy.PastChange, bool) {
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

// AllUnder tells whether every relay that runs acts under a version.
func (w *World) AllUnder(version uint64) bool {
	for _, r := range w.Relays {
		if r.Node != nil && (r.Stand.Version != version || r.Stand.Halted != 0 || r.Stand.Until <= r.clock(w.Now)) {
			return false
		}
	}
	return true
}
