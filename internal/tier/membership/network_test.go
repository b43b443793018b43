package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/virtualtime"
)

// network is an in-memory network in virtual time.
type network struct {
	loop      virtualtime.Loop
	random    *rand.Rand
	hosts     []*host
	byAddress map[string]*host

	loss      float64 // share of datagrams that are lost
	duplicate float64
	shortest  time.Duration // delay of one way
	longest   time.Duration
	blocked   func(from, to *host) bool // a cut of one direction
	measure   bool                      // encode each datagram

	forgetAfter time.Duration
	largest     int // bytes of the largest datagram
	calls       int
	callBytes   int
	routes      []replyRoute
}

// host is one machine with one process.
type host struct {
	member  Member
	seeds   []string
	node    *Node // nil: it is down
	starts  int
	version uint64 // of the timer
	atOnce  int    // steps in a row that wanted the next one at once
	frozen  bool
	held    Input         // what arrived while it was frozen
	lag     time.Duration // how late a slow process does everything
	changes []timedChange
	accused []timedAccusation
	sent    int
	bytes   int
	steps   int
}

// mostAtOnce bounds the steps in a row that want the next one at once, as they might never end.
const mostAtOnce = 1000

type timedChange struct {
	At time.Duration
	Event
}

// timedAccusation is the first time that a host says itself that a member is silent.
type timedAccusation struct {
	at          time.Duration
	name        string
	incarnation uint64
}

// noteAccusations remembers whom a host accuses. Accusations that it passes on for others are theirs.
func (h *host) noteAccusations(at time.Duration, updates []Update) {
	for _, update := range updates {
		if update.State != StateSuspect || update.From != h.member.Name {
			continue
		}
		known := func(a timedAccusation) bool {
			return a.name == update.Name && a.incarnation == update.Incarnation
		}
		if !slices.ContainsFunc(h.accused, known) {
			h.accused = append(h.accused, timedAccusation{at, update.Name, update.Incarnation})
		}
	}
}

// newNetwork lays out size hosts that are down. The first three are the controllers and seeds.
func newNetwork(size int, seed uint64) *network {
	w := &network{
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[string]*host{},
		loss:      0.02,
		shortest:  500 * time.Microsecond,
		longest:   5 * time.Millisecond,
		blocked:   func(from, to *host) bool { return false },
	}
	for i := range size {
		w.addHost(i)
	}
	return w
}

func (w *network) addHost(i int) *host {
	role, class := Agent, "edge"
	if i < 3 {
		role, class = Controller, "core"
	} else if i < 7 {
		role, class = Store, "storage"
	}
	machine := fmt.Sprintf("%s-muscat-hall-%c-%d", class, 'a'+i%4, i)
	added := &host{member: Member{
		Name:    machine + "/" + string(role),
		ID:      fmt.Sprintf("%016x", w.random.Uint64()),
		Role:    role,
		Zone:    fmt.Sprintf("muscat-hall-%c", 'a'+i%4),
		Address: fmt.Sprintf("10.%d.%d.%d:7380", i%4, i/250, i%250),
	}}
	if role == Controller {
		added.member.Control = fmt.Sprintf("10.%d.0.%d:8144", i%4, i)
	}
	for s := range 3 {
		added.seeds = append(added.seeds, fmt.Sprintf("10.%d.0.%d:7380", s, s))
	}
	w.hosts = append(w.hosts, added)
	w.byAddress[added.member.Address] = added
	return added
}

const epochMs = 1_764_651_362_000

// start starts the process of a host, with an incarnation by the time of day.
func (w *network) start(h *host) {
	h.starts++
	h.member.Incarnation = uint64(epochMs + w.loop.Now().Milliseconds())
	h.node = New(Options{
		Self:             h.member,
		Seeds:            h.seeds,
		TombstoneTimeout: w.forgetAfter,
		Seed:             w.random.Uint64(),
	})
	h.frozen = false
	h.held = Input{}
	w.step(h, Input{})
}

// startAll starts all hosts within 0.3 s in any order.
func (w *network) startAll() {
	for _, h := range w.hosts {
		w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), func() { w.start(h) })
	}
}

func (w *network) kill(h *host) {
	h.node = nil
	h.version++
}

func (w *network) freeze(h *host, duration time.Duration) {
	h.frozen = true
	w.after(duration, func() {
		if !h.frozen || h.node == nil {
			return
		}
		h.frozen = false
		held := h.held
		h.held = Input{}
		w.step(h, Input{}) // its timer fires before it reads what has arrived
		w.step(h, held)
	})
}

func (w *network) after(delay time.Duration, run func()) { w.loop.After(delay, run) }

func (w *network) runFor(duration time.Duration) { w.loop.RunFor(duration) }

// runUntil runs until the condition holds, looking every 100 ms, and tells how long that took.
func (w *network) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begun := w.loop.Now()
	for w.loop.Now()-begun < limit {
		if condition() {
			return w.loop.Now() - begun, true
		}
		w.runFor(100 * time.Millisecond)
	}
	return w.loop.Now() - begun, condition()
}

// runUntilProbing runs until a host waits for the answer to a ping.
func (w *network) runUntilProbing(h *host) {
	for len(h.node.prober.pending) == 0 {
		w.loop.Step()
	}
}

// deliverPayload hands something to a host at once, or later when it is slow or frozen.
func (w *network) deliver(to *host, input Input) {
	if to.lag > 0 {
		starts := to.starts
		w.after(to.lag, func() {
			if to.starts == starts {
				w.stepUnlessFrozen(to, input)
			}
		})
		return
	}
	w.stepUnlessFrozen(to, input)
}

func (w *network) stepUnlessFrozen(to *host, input Input) {
	if to.frozen {
		to.held.Datagrams = append(to.held.Datagrams, input.Datagrams...)
		to.held.Arrivals = append(to.held.Arrivals, input.Arrivals...)
		to.held.Results = append(to.held.Results, input.Results...)
		return
	}
	if to.node != nil {
		w.step(to, input)
	}
}

func (w *network) step(h *host, input Input) {
	effects := h.node.Step(w.loop.Now(), input)
	h.steps++
	for _, change := range effects.Events {
		h.changes = append(h.changes, timedChange{w.loop.Now(), change})
	}
	for _, datagram := range effects.Datagrams {
		w.sendDatagram(h, datagram)
	}
	for _, call := range effects.Calls {
		w.call(h, call)
	}
	for _, reply := range effects.Replies {
		w.replies(h, reply)
	}
	h.version++
	version := h.version
	if effects.NextWake == never {
		return
	}
	if effects.NextWake > w.loop.Now() {
		h.atOnce = 0
	}
	h.atOnce++
	if h.atOnce > mostAtOnce {
		panic(h.member.Name + " wants to be woken at once again and again")
	}
	w.after(effects.NextWake-w.loop.Now()+h.lag, func() {
		if h.version == version && h.node != nil && !h.frozen {
			w.step(h, Input{})
		}
	})
}

func (w *network) delay() time.Duration {
	return w.shortest + time.Duration(w.random.Int64N(int64(w.longest-w.shortest)+1))
}

func (w *network) sendDatagram(from *host, datagram Datagram) {
	from.sent++
	from.noteAccusations(w.loop.Now(), datagram.Message.Updates)
	if w.measure {
		encoded, err := json.Marshal(datagram.Message)
		if err != nil {
			panic(err)
		}
		from.bytes += len(encoded)
		w.largest = max(w.largest, len(encoded))
	}
	w.carry(from, datagram)
	if w.random.Float64() < w.duplicate {
		w.carry(from, datagram)
	}
}

func (w *network) carry(from *host, datagram Datagram) {
	to := w.byAddress[datagram.Address]
	if to == nil || w.random.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if to.node != nil && !w.blocked(from, to) {
			w.deliver(to, Input{Datagrams: []Datagram{{from.member.Address, datagram.Message}}})
		}
	})
}

// replyRoute remembers where the answer to a PushPullArrival goes.
type replyRoute struct {
	caller *host
	starts int
	token  uint64
}

func (w *network) call(from *host, call PushPullCall) {
	starts := from.starts
	w.calls++
	if w.measure {
		encoded, _ := json.Marshal(call.Message)
		w.callBytes += len(encoded)
	}
	fail := func(after time.Duration) {
		w.after(after, func() {
			if from.starts == starts && from.node != nil {
				w.deliver(from, Input{Results: []PushPullResult{{Token: call.Token, Failed: true}}})
			}
		})
	}
	const connectTimeout = time.Second
	to := w.byAddress[call.Address]
	if to == nil {
		fail(connectTimeout)
		return
	}
	w.after(2*w.delay(), func() {
		switch {
		case w.blocked(from, to) || w.blocked(to, from):
			fail(connectTimeout)
		case to.node == nil:
			fail(w.delay())
		default:
			w.routes = append(w.routes, replyRoute{from, starts, call.Token})
			w.deliver(to, Input{Arrivals: []PushPullArrival{{uint64(len(w.routes)), call.Message}}})
		}
	})
}

func (w *network) replies(from *host, reply PushPullReply) {
	route := w.routes[reply.Token-1]
	if w.measure {
		encoded, _ := json.Marshal(reply.Message)
		w.callBytes += len(encoded)
	}
	w.after(w.delay(), func() {
		if route.caller.starts != route.starts || route.caller.node == nil {
			return
		}
		outcome := PushPullResult{Token: route.token, Response: reply.Message, Failed: w.blocked(from, route.caller)}
		w.deliver(route.caller, Input{Results: []PushPullResult{outcome}})
	})
}

// running lists the hosts whose process runs.
func (w *network) running() []*host {
	var running []*host
	for _, h := range w.hosts {
		if h.node != nil {
			running = append(running, h)
		}
	}
	return running
}

// believed lists the names that a host takes to be there.
func (h *host) believed() []string {
	var names []string
	for _, member := range h.node.Members() {
		if !member.DeadOrLeft() {
			names = append(names, member.Name)
		}
	}
	return names
}

// converged tells whether each running host believes in exactly the running ones.
func (w *network) converged() bool { return w.convergedAmong(w.running()) }

func (w *network) convergedAmong(group []*host) bool {
	var names []string
	for _, h := range group {
		names = append(names, h.member.Name)
	}
	slices.Sort(names)
	for _, h := range group {
		if h.node.table.liveCount+1 != len(names) { // quicker than names
			return false
		}
	}
	for _, h := range group {
		if !slices.Equal(h.believed(), names) {
			return false
		}
	}
	return true
}

// disagreements describes for an error message what is not converged.
func (w *network) disagreements() string {
	text := ""
	for _, h := range w.running() {
		if len(text) < 2000 {
			text += fmt.Sprintf("%s believes in %d\n", h.member.Name, len(h.believed()))
		}
	}
	return text
}

// died lists the deaths that running hosts have reported since a moment, without those of the names expected.
func (w *network) died(since time.Duration, expected ...string) []string {
	var deaths []string
	for _, h := range w.hosts {
		for _, change := range h.changes {
			if change.Kind == MemberDied && change.At >= since && !slices.Contains(expected, change.Member.Name) {
				deaths = append(deaths, fmt.Sprintf("%v %s: %s", change.At, h.member.Name, change.Member.Name))
			}
		}
	}
	return deaths
}
