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

// PolicyFactory makes a relay's policy. A policy that implements TruthObserver is shown the true state.
type PolicyFactory func(settings control.Settings, seed uint64) (Policy, error)

// DurablePolicy is a policy whose journal outlasts a crash: it knows itself what it holds.
type DurablePolicy interface {
	Successor() PolicyFactory   // makes the one that is started next
	Pending(ticket uint64) bool // tells whether that will take a message up again
}

// TruthObserver is a policy that is shown what no relay can see.
type TruthObserver interface {
	ObserveTruth(truth func(endpoint uint32) (free int, up bool))
}

// What every world has in common, as the relay's rules have it.
const (
	clockStart       = 24 * time.Hour // where the clock stands: late enough for all that came before
	slowStartShare   = 0.21           // of its capacity that a cold endpoint has
	overloadWindow   = 2 * time.Second
	overloadMultiple = 2.0
	overloadRecovery = 4 * time.Second
	dedupMargin      = 250 * time.Millisecond
)

// message is one that clients hand in until it is over.
type message struct {
	createdAt, deadline time.Duration // absolute
	partner             int32
	class               int16
	firstRelay          int32 // the relay that it was handed to first
	submissions         int16 // at relays
	inFlight            int16 // copies out now
	executions          int16 // times that it took effect
	finished            bool
	mayHaveRun          bool // an attempt may have run, the first at mayHaveRunAt
	mayHaveRunAt        time.Duration
	firstExecutedAt     time.Duration // when it took effect first; 0: it has not
}

// call is one attempt that is out.
type call struct {
	generation   int32 // which call this is in its place
	message      int32
	submissionID uint64
	relay        int32
	endpoint     int32
	attempt      int32
	state        uint8
	result       control.Result
	retryAfter   time.Duration
	sentAt       time.Duration
}

const (
	callFree uint8 = iota
	callInFlight
	callAbandoned // its relay has given it up; it may still run
)

// submission is a message as one relay holds it.
type submission struct {
	message  int32
	relay    int32
	attempts int32 // attempts by that relay
	finished bool
}

// relay is one relay with its policy.
type relay struct {
	policy   Policy
	events   []control.Event
	nextTurn time.Duration // 0: none is due
	wakeAt   time.Duration
	down     bool
	seed     uint64
	inFlight map[uint64]int32 // out, by ticket
}

// Run is a world as it is played.
type Run struct {
	World   *World
	Stats   *Stats
	Checker *Checker

	rng            *rand.Rand
	now            time.Duration
	queue          queue
	relays         []relay
	endpoints      []endpoint
	messages       []message
	submissions    []submission
	calls          []call
	freeCalls      []int32
	actions        []control.Action
	workload       *rand.Rand // draws what comes, whatever is decided
	partnerWeights []float64  // weights of partners, summed up
	surgeFactor    float64
	hash           *xxhash.Digest
	hashBuffer     [48]byte
	factory        PolicyFactory
	listUpdates    []control.Event // changes that are on their way to relays
	faultTargets   [][]int32       // endpoints by trouble
	turns          uint64
	fleet          fleetCounter
	sharing        limitSharing
	isolatedRelays int // so many relays hear nothing of the others
}

// New prepares a run of a world under a policy.
func New(w *World, policy PolicyFactory) (*Run, error) {
	r := &Run{World: w, rng: rand.New(rand.NewPCG(w.Seed, 1)), workload: rand.New(rand.NewPCG(w.Seed, 2)), now: clockStart, surgeFactor: 1, hash: xxhash.New(), factory: policy}
	r.faultTargets = make([][]int32, len(w.Faults))
	r.Stats, r.Checker = newStats(w), &Checker{run: r}
	total := 0.0
	for g, p := range w.Partners {
		for range p.Count {
			total += p.Weight
			r.partnerWeights = append(r.partnerWeights, total)
			for range p.Endpoints {
				r.newEndpoint(int32(len(r.partnerWeights)-1), int32(g))
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
	for i := range w.Faults {
		r.queue.push(clockStart+time.Duration(w.Faults[i].At), eventFault, int32(i), 1)
	}
	r.queue.push(clockStart, eventNextMessage, 0, 0)
	return r, nil
}

func (r *Run) startRelay(i int32) error {
	re := &r.relays[i]
	p, err := r.factory(r.World.Settings(int(i)), re.seed)
	if err != nil {
		return err
	}
	if s, ok := p.(TruthObserver); ok {
		s.ObserveTruth(r.truth)
	}
	*re = relay{policy: p, seed: re.seed + 1, inFlight: map[uint64]int32{}}
	whole := control.Event{Kind: control.Listed, Complete: true}
	for e := range r.endpoints {
		if s := r.endpoints[e].listed; s != control.Removed {
			whole.Endpoints = append(whole.Endpoints, r.listedEndpoint(int32(e), s))
		}
	}
	r.notify(i, whole)
	return nil
}

func (r *Run) listedEndpoint(e int32, s control.State) control.Endpoint {
	ep := &r.endpoints[e]
	return control.Endpoint{ID: uint32(e + 1), Zone: int(ep.zone), Kind: int(ep.group), Destination: int(ep.partner), State: s}
}

// Play plays the whole world: until all that came is over, or its time is long past.
func (r *Run) Play() *Result {
	last := clockStart + time.Duration(r.World.Length)
	for _, c := range r.World.Classes {
		last = max(last, clockStart+time.Duration(r.World.Length)+time.Duration(c.Deadline)+5*time.Second)
	}
	for len(r.queue.items) > 0 {
		it := r.queue.pop()
		if it.at > last {
			break
		}
		r.now = it.at
		r.Stats.advanceTo(r.now - clockStart)
		r.dispatch(it)
	}
	for m := range r.messages { // their clients have waited past the deadline
		if r.messages[m].deadline <= last {
			r.finishMessage(int32(m), outcomeExpired)
		}
	}
	r.Checker.checkAllFinished()
	return r.result()
}

func (r *Run) dispatch(it scheduledEvent) {
	switch it.kind {
	case eventNextMessage:
		r.generateMessage()
	case eventArrival, eventSubmission:
		r.submit(it.a, it.b)
	case eventTurn:
		r.turn(it.a)
	case eventCallArrival:
		r.arriveAtEndpoint(it.a)
	case eventServiceDone:
		r.completeService(it.a, it.b)
	case eventResponse:
		r.handleResponse(it.a)
	case eventCallTimeout:
		if c := &r.calls[it.a]; c.generation == it.b && (c.state == callInFlight || c.state == callUnanswered) {
			r.resolve(it.a, control.TimedOut, 0)
		}
	case eventFault:
		r.applyFault(int(it.a), it.b == 1)
	case eventListUpdate:
		r.notify(it.b, r.listUpdates[it.a])
	case eventOverloadCheck:
		r.checkOverload(it.a)
	case eventOverloadEnd:
		r.bringUp(it.a)
	case eventQuotaPing:
		r.sendQuotaRequest(it.a)
	case eventQuotaRequest:
		r.handleQuotaRequest(it.a)
	case eventQuotaGrant:
		r.handleQuotaGrant(it.a)
	}
}

// generateMessage draws a message, and when the one after it comes.
func (r *Run) generateMessage() {
	if r.now-clockStart >= time.Duration(r.World.Length) {
		return
	}
	r.queue.push(r.now+time.Duration(r.workload.ExpFloat64()*float64(time.Second)/(r.World.Rate*r.surgeFactor)), eventNextMessage, 0, 0)
	u := r.workload.Float64() * r.partnerWeights[len(r.partnerWeights)-1]
	lo, hi := 0, len(r.partnerWeights)-1
	for lo < hi {
		if m := (lo + hi) / 2; r.partnerWeights[m] <= u {
			lo = m + 1
		} else {
			hi = m
		}
	}
	total := 0.0
	for _, c := range r.World.Classes {
		total += c.Weight
	}
	class, x := 0, r.workload.Float64()*total
	for x > r.World.Classes[class].Weight && class < len(r.World.Classes)-1 {
		x -= r.World.Classes[class].Weight
		class++
	}
	m := int32(len(r.messages))
	r.messages = append(r.messages, message{createdAt: r.now, deadline: r.now + time.Duration(r.World.Classes[class].Deadline), partner: int32(lo), class: int16(class)})
	r.Stats.recordArrival(class)
	r.messages[m].firstRelay = r.drawRelay()
	r.submit(m, r.messages[m].firstRelay)
}

// drawRelay draws the relay that a message is handed to first. Where traffic is uneven a tenth of the relays, and at least one, gets
// so many times what each of the others gets; each span of SkewRotation it is the next tenth.
func (r *Run) drawRelay() int32 {
	n := len(r.relays)
	if r.World.Skew <= 1 {
		return int32(r.workload.IntN(n))
	}
	hot := max(n/10, 1)
	from := 0
	if r.World.SkewRotation > 0 {
		from = int((r.now-clockStart)/time.Duration(r.World.SkewRotation)) * hot % n
	}
	if r.workload.Float64() < r.World.Skew*float64(hot)/(r.World.Skew*float64(hot)+float64(n-hot)) {
		return int32((from + r.workload.IntN(hot)) % n)
	}
	return int32((from + hot + r.workload.IntN(max(n-hot, 1))) % n)
}

// submit has a client hand a message in at a relay, or at the next one that is up.
func (r *Run) submit(m, at int32) {
	msg := &r.messages[m]
	if msg.finished {
		return
	}
	if r.now >= msg.deadline {
		r.finishMessage(m, outcomeExpired)
		return
	}
	for range r.relays {
		if !r.relays[at].down {
			break
		}
		at = (at + 1) % int32(len(r.relays))
	}
	if r.relays[at].down {
		r.resubmit(m, at, 0)
		return
	}
	msg.submissions++
	r.submissions = append(r.submissions, submission{message: m, relay: at})
	ev := control.Event{Kind: control.Arrived, ID: uint64(len(r.submissions)), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline, Resubmitted: msg.submissions > 1}
	if msg.mayHaveRun { // as its first relay told the client
		ev.MayHaveRun, ev.RanAt = true, msg.mayHaveRunAt
	}
	r.notify(at, ev)
}

// resubmit has the client come again, or give up.
func (r *Run) resubmit(m, at int32, told time.Duration) {
	msg, c := &r.messages[m], &r.World.Clients
	if int(msg.submissions) >= c.MaxAttempts {
		r.finishMessage(m, outcomeAbandoned)
		return
	}
	wait := time.Duration(c.Backoff)
	if c.Exponential {
		wait <<= min(msg.submissions, 10)
	}
	if told > 0 && r.rng.Float64() < c.RetryAfterCompliance {
		wait = told
	}
	wait = time.Duration(float64(wait) * (0.5 + r.rng.Float64()))
	r.Stats.recordResubmission()
	r.queue.push(r.now+max(wait, time.Millisecond), eventSubmission, m, (at+1)%int32(len(r.relays)))
}

// notify hands a relay an event for its next turn, on the grid of turns.
func (r *Run) notify(i int32, ev control.Event) {
	re := &r.relays[i]
	if re.down {
		return
	}
	re.events = append(re.events, ev)
	r.scheduleTurn(i, r.now)
}

// scheduleTurn has a relay take a turn on the first point of the grid from a time on.
func (r *Run) scheduleTurn(i int32, at time.Duration) {
	re, grid := &r.relays[i], time.Duration(r.World.TurnInterval)
	at = (max(at, r.now) + grid) / grid * grid
	if re.nextTurn == 0 || at < re.nextTurn {
		re.nextTurn = at
		r.queue.push(at, eventTurn, i, 0)
	}
}

func (r *Run) turn(i int32) {
	re := &r.relays[i]
	if re.nextTurn != r.now || re.down {
		return
	}
	re.nextTurn = 0
	if re.wakeAt != 0 && re.wakeAt <= r.now {
		re.wakeAt = 0
		re.events = append(re.events, control.Event{Kind: control.Woken})
	}
	if len(re.events) == 0 {
		return
	}
	r.turns++
	for k := range re.events {
		r.Checker.observeEvent(i, &re.events[k])
	}
	r.actions = re.policy.Step(r.now, re.events, r.actions[:0])
	re.events = re.events[:0]
	r.fleet.recordTurn(r, r.actions)
	for k := range r.actions {
		r.apply(i, &r.actions[k])
	}
	if re.wakeAt != 0 {
		r.scheduleTurn(i, re.wakeAt)
	}
}

// apply does what a relay has decided, and takes it into the hash of all decisions.
func (r *Run) apply(i int32, a *control.Action) {
	b := r.hashBuffer[:]
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
		r.finishSubmission(i, a)
	case control.Cancel:
		if c, ok := re.inFlight[a.ID]; ok {
			r.resolve(c, control.Cancelled, 0)
		}
	case control.Recall:
		if c, ok := re.inFlight[a.ID]; ok && r.calls[c].sentAt+r.networkDelay(i, r.calls[c].endpoint, false) > r.now {
			r.resolve(c, control.NotProcessed, 0) // nothing of it has been written
		}
	case control.Wake:
		if at := max(a.At, r.now+1); re.wakeAt == 0 || at < re.wakeAt {
			re.wakeAt = at
		}
	}
}

// finishSubmission is a relay's end of a message that it did not deliver.
func (r *Run) finishSubmission(i int32, a *control.Action) {
	if a.ID == 0 || a.ID > uint64(len(r.submissions)) {
		return
	}
	t := &r.submissions[a.ID-1]
	if !r.Checker.checkFinish(i, a, t) {
		return
	}
	if a.Kind == control.Fail {
		r.finishMessage(t.message, outcomeAbandoned)
		return
	}
	r.Stats.recordRefusal()
	r.resubmit(t.message, i, a.For)
}

// finishMessage is the end of a message, as its client sees it.
func (r *Run) finishMessage(m int32, how outcome) {
	msg := &r.messages[m]
	if msg.finished {
		return
	}
	msg.finished = true
	r.Stats.recordOutcome(&r.World.Classes[msg.class], msg, r.now, how)
	r.fleet.recordOutcome(r, msg, how)
}

// Hash is of all decisions so far: the same for the same seed, on any machine.
func (r *Run) Hash() string { return fmt.Sprintf("%016x", r.hash.Sum64()) }
