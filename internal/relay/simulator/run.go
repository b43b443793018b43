package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
	"mastusher/internal/virtualtime"
)

// What all worlds have in common, as the relay's rules have it.
const (
	clockStart       = 24 * time.Hour         // virtual time at the beginning, large enough that no time computed back from it is negative
	slowStartShare   = 0.21                   // of its capacity that an endpoint has when its slow start begins
	overloadWindow   = 2 * time.Second        // overload of a cold endpoint that lasts so long makes it collapse
	overloadMultiple = 2.0                    // of its capacity at which a cold endpoint is overloaded
	overloadRecovery = 4 * time.Second        // after a collapse
	dedupMargin      = 250 * time.Millisecond // by which the window in policies' settings is shorter than that of partners
)

// Run is one run of a world. Everything that refers to an endpoint, message, submission or call does so by index, as the slices grow.
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
	workload       *rand.Rand // draws messages, whatever policies decide
	partnerWeights []float64  // cumulative
	surgeFactor    float64
	hash           *xxhash.Digest
	hashBuffer     [48]byte
	factory        PolicyFactory
	listUpdates    []control.Event // changes of the endpoint list, which relays are notified of with a delay
	faultTargets   [][]int32       // endpoints by fault
	turns          uint64
	fleet          fleetCounter
	sharing        limitSharing
	isolatedRelays int // the first so many are partitioned from the others
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

// Execute runs the world until every message has ended or its deadline is past, and returns the result. It must be called once.
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
	for m := range r.messages { // their clients have waited past the deadline
		if r.messages[m].deadline <= last {
			r.finishMessage(int32(m), outcomeExpired)
		}
	}
	r.Checker.checkAllFinished()
	return r.result()
}

func (r *Run) dispatch(next event) {
	switch next.kind {
	case eventNextMessage:
		r.generateMessage()
	case eventArrival, eventSubmission:
		r.submit(next.a, next.b)
	case eventTurn:
		r.turn(next.a)
	case eventCallArrival:
		r.arriveAtEndpoint(next.a)
	case eventServiceDone:
		r.completeService(next.a, next.b)
	case eventResponse:
		r.handleResponse(next.a)
	case eventCallTimeout:
		if c := &r.calls[next.a]; c.generation == next.b && (c.state == callInFlight || c.state == callUnanswered) {
			r.resolve(next.a, control.TimedOut, 0)
		}
	case eventFault:
		r.applyFault(int(next.a), next.b == 1)
	case eventListUpdate:
		r.notify(next.b, r.listUpdates[next.a])
	case eventOverloadCheck:
		r.checkOverload(next.a)
	case eventOverloadEnd:
		r.bringUp(next.a)
	case eventQuotaPing:
		r.sendQuotaRequest(next.a)
	case eventQuotaRequest:
		r.handleQuotaRequest(next.a)
	case eventQuotaGrant:
		r.handleQuotaGrant(next.a)
	}
}

// Hash is of all decisions so far: the same for the same seed, on any machine.
func (r *Run) Hash() string { return fmt.Sprintf("%016x", r.hash.Sum64()) }
