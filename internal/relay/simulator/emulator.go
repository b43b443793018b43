package simulator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
)

// Policy decides for one relay, as control.Sender does.
type Policy interface {
	Step(now time.Duration, events []control.Event, out []control.Action) []control.Action
}

// Maker makes a relay's policy. A policy that implements Seer is shown the true state.
type Maker func(settings control.Settings, seed uint64) (Policy, error)

// Durable is a policy whose journal outlasts a crash: it knows itself what it holds.
type Durable interface {
	Successor() Maker         // makes the one that is started next
	Holds(ticket uint64) bool // tells whether that will take a message up again
}

// Seer is a policy that is shown what no relay can see.
type Seer interface {
	See(truth func(endpoint uint32) (free int, up bool))
}

// What every world has in common, as the relay's rules have it.
const (
	start        = 24 * time.Hour // where the clock stands: late enough for all that came before
	startShare   = 0.21           // of its capacity that a cold endpoint has
	fallAfter    = 2 * time.Second
	fallMultiple = 2.0
	fallRest     = 4 * time.Second
	windowMargin = 250 * time.Millisecond
)

// message is one that clients hand in until it is over.
type message struct {
	born, deadline time.Duration // absolute
	partner        int32
	class          int16
	first          int32 // the relay that it was handed to first
	tries          int16 // at relays
	out            int16 // copies out now
	ran            int16 // times that it took effect
	over           bool
	mayRan         bool // an attempt may have run, the first at ranAt
	ranAt          time.Duration
	firstRun       time.Duration // when it took effect first; 0: it has not
}

// call is one attempt that is out.
type call struct {
	no       int32 // which call this is in its place
	msg      int32
	ticket   uint64
	relay    int32
	endpoint int32
	attempt  int32
	state    uint8
	result   control.Result
	wait     time.Duration
	born     time.Duration
}

const (
	callFree uint8 = iota
	callOut
	callLeft // its relay has given it up; it may still run
)

// ticket is a message as one relay holds it.
type ticket struct {
	msg   int32
	relay int32
	tries int32 // attempts by that relay
	ended bool
}

// relay is one relay with its policy.
type relay struct {
	policy Policy
	in     []control.Event
	turnAt time.Duration // 0: none is due
	wakeAt time.Duration
	down   bool
	seed   uint64
	calls  map[uint64]int32 // out, by ticket
}

// Run is a world as it is played.
type Run struct {
	W     *World
	Stats *Stats
	Check *Checker

	rng    *rand.Rand
	now    time.Duration
	q      queue
	relays []relay
	ends   []endpoint
	msgs   []message
	ticks  []ticket
	calls  []call
	free   []int32
	acts   []control.Action
	mix    *rand.Rand // draws what comes, whatever is decided
	pick   []float64  // weights of partners, summed up
	surge  float64
	hash   *xxhash.Digest
	hashed [48]byte
	maker  Maker
	lists  []control.Event // changes that are on their way to relays
	hit    [][]int32       // endpoints by trouble
	steps  uint64
	fleet  fleet
	share  sharing
	mute   int // so many relays hear nothing of the others
}

// New prepares a run of a world under a policy.
func New(w *World, policy Maker) (*Run, error) {
	r := &Run{W: w, rng: rand.New(rand.NewPCG(w.Seed, 1)), mix: rand.New(rand.NewPCG(w.Seed, 2)), now: start, surge: 1, hash: xxhash.New(), maker: policy}
	r.hit = make([][]int32, len(w.Troubles))
	r.Stats, r.Check = newStats(w), &Checker{run: r}
	total := 0.0
	for g, p := range w.Partners {
		for range p.Count {
			total += p.Weight
			r.pick = append(r.pick, total)
			for range p.Endpoints {
				r.newEndpoint(int32(len(r.pick)-1), int32(g))
			}
		}
	}
	r.relays = make([]relay, w.Relays)
	for i := range r.relays {
		r.relays[i].seed = w.Seed*1000 + uint64(i)
		if err := r.startRelay(int32(i)); err != nil {
			return nil, err
		}
	}
	for i := range w.Troubles {
		r.q.put(start+time.Duration(w.Troubles[i].At), doTrouble, int32(i), 1)
	}
	r.q.put(start, doNext, 0, 0)
	return r, nil
}

func (r *Run) startRelay(i int32) error {
	re := &r.relays[i]
	p, err := r.maker(r.W.Settings(int(i)), re.seed)
	if err != nil {
		return err
	}
	if s, ok := p.(Seer); ok {
		s.See(r.truth)
	}
	*re = relay{policy: p, seed: re.seed + 1, calls: map[uint64]int32{}}
	whole := control.Event{Kind: control.Listed, Complete: true}
	for e := range r.ends {
		if s := r.ends[e].listed; s != control.Removed {
			whole.Endpoints = append(whole.Endpoints, r.listing(int32(e), s))
		}
	}
	r.tell(i, whole)
	return nil
}

func (r *Run) listing(e int32, s control.State) control.Endpoint {
	ep := &r.ends[e]
	return control.Endpoint{ID: uint32(e + 1), Zone: int(ep.zone), Kind: int(ep.group), Destination: int(ep.partner), State: s}
}

// Play plays the whole world: until all that came is over, or its time is long past.
func (r *Run) Play() *Result {
	last := start + time.Duration(r.W.Length)
	for _, c := range r.W.Classes {
		last = max(last, start+time.Duration(r.W.Length)+time.Duration(c.Deadline)+5*time.Second)
	}
	for len(r.q.items) > 0 {
		it := r.q.take()
		if it.at > last {
			break
		}
		r.now = it.at
		r.Stats.at(r.now - start)
		r.do(it)
	}
	for m := range r.msgs { // their clients have waited past the deadline
		if r.msgs[m].deadline <= last {
			r.over(int32(m), endLate)
		}
	}
	r.Check.end()
	return r.result()
}

func (r *Run) do(it item) {
	switch it.do {
	case doNext:
		r.next()
	case doArrive, doHand:
		r.hand(it.a, it.b)
	case doTurn:
		r.turn(it.a)
	case doReach:
		r.reach(it.a)
	case doServed:
		r.served(it.a, it.b)
	case doAnswer:
		r.answered(it.a)
	case doTimeout:
		if c := &r.calls[it.a]; c.no == it.b && (c.state == callOut || c.state == callMute) {
			r.resolve(it.a, control.TimedOut, 0)
		}
	case doTrouble:
		r.trouble(int(it.a), it.b == 1)
	case doList:
		r.tell(it.b, r.lists[it.a])
	case doSettle:
		r.settle(it.a)
	case doRelieved:
		r.comeBack(it.a)
	case doPing:
		r.ping(it.a)
	case doReport:
		r.reported(it.a)
	case doAllot:
		r.allotted(it.a)
	}
}

// next draws a message, and when the one after it comes.
func (r *Run) next() {
	if r.now-start >= time.Duration(r.W.Length) {
		return
	}
	r.q.put(r.now+time.Duration(r.mix.ExpFloat64()*float64(time.Second)/(r.W.Rate*r.surge)), doNext, 0, 0)
	u := r.mix.Float64() * r.pick[len(r.pick)-1]
	lo, hi := 0, len(r.pick)-1
	for lo < hi {
		if m := (lo + hi) / 2; r.pick[m] <= u {
			lo = m + 1
		} else {
			hi = m
		}
	}
	total := 0.0
	for _, c := range r.W.Classes {
		total += c.Share
	}
	class, x := 0, r.mix.Float64()*total
	for x > r.W.Classes[class].Share && class < len(r.W.Classes)-1 {
		x -= r.W.Classes[class].Share
		class++
	}
	m := int32(len(r.msgs))
	r.msgs = append(r.msgs, message{born: r.now, deadline: r.now + time.Duration(r.W.Classes[class].Deadline), partner: int32(lo), class: int16(class)})
	r.Stats.came(class)
	r.msgs[m].first = r.comesTo()
	r.hand(m, r.msgs[m].first)
}

// comesTo draws the relay that a message is handed to first. Where traffic is uneven a tenth of the relays, and at least one, gets
// so many times what each of the others gets; each span of Shift it is the next tenth.
func (r *Run) comesTo() int32 {
	n := len(r.relays)
	if r.W.Uneven <= 1 {
		return int32(r.mix.IntN(n))
	}
	hot := max(n/10, 1)
	from := 0
	if r.W.Shift > 0 {
		from = int((r.now-start)/time.Duration(r.W.Shift)) * hot % n
	}
	if r.mix.Float64() < r.W.Uneven*float64(hot)/(r.W.Uneven*float64(hot)+float64(n-hot)) {
		return int32((from + r.mix.IntN(hot)) % n)
	}
	return int32((from + hot + r.mix.IntN(max(n-hot, 1))) % n)
}

// hand has a client hand a message in at a relay, or at the next one that is up.
func (r *Run) hand(m, at int32) {
	msg := &r.msgs[m]
	if msg.over {
		return
	}
	if r.now >= msg.deadline {
		r.over(m, endLate)
		return
	}
	for range r.relays {
		if !r.relays[at].down {
			break
		}
		at = (at + 1) % int32(len(r.relays))
	}
	if r.relays[at].down {
		r.again(m, at, 0)
		return
	}
	msg.tries++
	r.ticks = append(r.ticks, ticket{msg: m, relay: at})
	ev := control.Event{Kind: control.Arrived, ID: uint64(len(r.ticks)), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline, Resubmitted: msg.tries > 1}
	if msg.mayRan { // as its first relay told the client
		ev.MayHaveRun, ev.RanAt = true, msg.ranAt
	}
	r.tell(at, ev)
}

// again has the client come again, or give up.
func (r *Run) again(m, at int32, told time.Duration) {
	msg, c := &r.msgs[m], &r.W.Clients
	if int(msg.tries) >= c.Tries {
		r.over(m, endGivenUp)
		return
	}
	wait := time.Duration(c.Backoff)
	if c.Double {
		wait <<= min(msg.tries, 10)
	}
	if told > 0 && r.rng.Float64() < c.Heed {
		wait = told
	}
	wait = time.Duration(float64(wait) * (0.5 + r.rng.Float64()))
	r.Stats.again()
	r.q.put(r.now+max(wait, time.Millisecond), doHand, m, (at+1)%int32(len(r.relays)))
}

// tell hands a relay an event for its next turn, on the grid of turns.
func (r *Run) tell(i int32, ev control.Event) {
	re := &r.relays[i]
	if re.down {
		return
	}
	re.in = append(re.in, ev)
	r.turnBy(i, r.now)
}

// turnBy has a relay take a turn on the first point of the grid from a time on.
func (r *Run) turnBy(i int32, at time.Duration) {
	re, grid := &r.relays[i], time.Duration(r.W.Round)
	at = (max(at, r.now) + grid) / grid * grid
	if re.turnAt == 0 || at < re.turnAt {
		re.turnAt = at
		r.q.put(at, doTurn, i, 0)
	}
}

func (r *Run) turn(i int32) {
	re := &r.relays[i]
	if re.turnAt != r.now || re.down {
		return
	}
	re.turnAt = 0
	if re.wakeAt != 0 && re.wakeAt <= r.now {
		re.wakeAt = 0
		re.in = append(re.in, control.Event{Kind: control.Woken})
	}
	if len(re.in) == 0 {
		return
	}
	r.steps++
	for k := range re.in {
		r.Check.hears(i, &re.in[k])
	}
	r.acts = re.policy.Step(r.now, re.in, r.acts[:0])
	re.in = re.in[:0]
	r.fleet.turned(r, r.acts)
	for k := range r.acts {
		r.act(i, &r.acts[k])
	}
	if re.wakeAt != 0 {
		r.turnBy(i, re.wakeAt)
	}
}

// act does what a relay has decided, and takes it into the hash of all decisions.
func (r *Run) act(i int32, a *control.Action) {
	b := r.hashed[:]
	binary.LittleEndian.PutUint64(b, uint64(r.now))
	binary.LittleEndian.PutUint64(b[8:], uint64(i)<<8|uint64(a.Kind))
	binary.LittleEndian.PutUint64(b[16:], a.ID)
	binary.LittleEndian.PutUint64(b[24:], uint64(a.Endpoint)<<32|uint64(uint32(a.Attempt)))
	binary.LittleEndian.PutUint64(b[32:], uint64(a.For))
	binary.LittleEndian.PutUint64(b[40:], uint64(a.At))
	_, _ = r.hash.Write(b)
	re := &r.relays[i]
	switch a.Kind {
	case control.Send:
		r.send(i, a)
	case control.Refuse, control.Fail:
		r.final(i, a)
	case control.Cancel:
		if c, ok := re.calls[a.ID]; ok {
			r.resolve(c, control.Cancelled, 0)
		}
	case control.Recall:
		if c, ok := re.calls[a.ID]; ok && r.calls[c].born+r.way(i, r.calls[c].endpoint, false) > r.now {
			r.resolve(c, control.NotProcessed, 0) // nothing of it has been written
		}
	case control.Wake:
		if at := max(a.At, r.now+1); re.wakeAt == 0 || at < re.wakeAt {
			re.wakeAt = at
		}
	}
}

// final is a relay's end of a message that it did not deliver.
func (r *Run) final(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.ticks)) {
		return
	}
	t := &r.ticks[a.ID-1]
	if !r.Check.ends(i, a, t) {
		return
	}
	if a.Kind == control.Fail {
		r.over(t.msg, endGivenUp)
		return
	}
	r.Stats.refused()
	r.again(t.msg, i, a.For)
}

// over is the end of a message, as its client sees it.
func (r *Run) over(m int32, how end) {
	msg := &r.msgs[m]
	if msg.over {
		return
	}
	msg.over = true
	r.Stats.over(&r.W.Classes[msg.class], msg, r.now, how)
	r.fleet.over(r, msg, how)
}

// Hash is of all decisions so far: the same for the same seed, on any machine.
func (r *Run) Hash() string { return fmt.Sprintf("%016x", r.hash.Sum64()) }
