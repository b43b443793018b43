package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
	"mastusher/internal/virtualtime"
)

// Parameters that are the same in all worlds. Relays get slowStartShare, overloadWindow and overloadMultiple in their
// settings.
const (
	clockStart       = 24 * time.Hour         // virtual time at the start, large enough that no time computed by subtraction is negative
	slowStartShare   = 0.21                   // share of its capacity that an endpoint has when its slow start begins
	overloadWindow   = 2 * time.Second        // a cold endpoint that is overloaded for this long collapses
	overloadMultiple = 2.0                    // a cold endpoint with more calls than this multiple of its capacity is overloaded
	overloadRecovery = 4 * time.Second        // time for which a collapsed endpoint is down
	dedupMargin      = 250 * time.Millisecond // policies' settings have a deduplication window that is shorter by this than the partners'
)

// Run is one run of a world. It refers to endpoints, messages, submissions and calls by index, because pointers to elements would become
// stale when the slices grow.
type Run struct {
	World   *World
	Stats   *Stats
	Checker *Checker

	rng            *rand.Rand
	now            time.Duration
	queue          virtualtime.Queue[event]
	relays         []relay
	endpoints      []endpoint
	messages       []message
	submissions    []submission
	calls          []call
	freeCalls      []int32
	actions        []control.Action
	workload       *rand.Rand // draws messages, independently of the policies
	partnerWeights []float64  // cumulative
	surgeFactor    float64
	hash           *xxhash.Digest
	hashBuffer     [48]byte
	factory        PolicyFactory
	listUpdates    []control.Event // changes of the endpoint list; relays are notified of each after a delay
	faultTargets   [][]int32       // affected endpoints, by fault
	turns          uint64
	fleet          fleetCounter
	sharing        limitSharing
	isolatedRelays int // the first N relays are partitioned from the other relays
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
		r.schedule(clockStart+time.Duration(w.Faults[i].At), eventFault, int32(i), 1)
	}
	r.schedule(clockStart, eventNextMessage, 0, 0)
	return r, nil
}

// Execute runs the world until every message has finished or is past its deadline, and returns the result. It must be called only once.
func (r *Run) Execute() *Result {
	last := clockStart + time.Duration(r.World.Length)
	for _, c := range r.World.Classes {
		last = max(last, clockStart+time.Duration(r.World.Length)+time.Duration(c.Deadline)+5*time.Second)
	}
	for r.queue.Len() > 0 && r.queue.NextAt() <= last {
		at, next := r.queue.Pop()
		r.now = at
		r.Stats.advanceTo(r.now - clockStart)
		r.dispatch(next)
	}
	for m := range r.messages { // a message without an outcome has expired
		if r.messages[m].deadline <= last {
			r.finishMessage(int32(m), outcomeExpired)
		}
	}
	r.Checker.checkAllFinished()
	return r.result()
}

// dispatch processes an event.
func (r *Run) dispatch(e event) {
	switch e.kind {
	case eventNextMessage:
		r.generateMessage()
	case eventArrival, eventSubmission:
		r.submit(e.a, e.b)
	case eventTurn:
		r.turn(e.a)
	case eventCallArrival:
		r.arriveAtEndpoint(e.a)
	case eventServiceDone:
		r.completeService(e.a, e.b)
	case eventResponse:
		r.handleResponse(e.a)
	case eventCallTimeout:
		if c := &r.calls[e.a]; c.generation == e.b && (c.state == callInFlight || c.state == callUnanswered) {
			r.resolve(e.a, control.TimedOut, 0)
		}
	case eventFault:
		r.applyFault(int(e.a), e.b == 1)
	case eventListUpdate:
		r.notify(e.b, r.listUpdates[e.a])
	case eventOverloadCheck:
		r.checkOverload(e.a)
	case eventOverloadEnd:
		r.bringUp(e.a)
	case eventQuotaRequestDue:
		r.sendQuotaRequest(e.a)
	case eventQuotaRequest:
		r.handleQuotaRequest(e.a)
	case eventQuotaGrant:
		r.handleQuotaGrant(e.a)
	}
}

// Hash returns a hash of all decisions so far; the same seed gives the same hash on any machine.
func (r *Run) Hash() string { return fmt.Sprintf("%016x", r.hash.Sum64()) }
