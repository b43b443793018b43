package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/control"
)

// What every world has in common, as the relay's rules have it.
const (
	clockStart       = 24 * time.Hour // where the clock stands: late enough for all that came before
	slowStartShare   = 0.21           // of its capacity that a cold endpoint has
	overloadWindow   = 2 * time.Second
	overloadMultiple = 2.0
	overloadRecovery = 4 * time.Second
	dedupMargin      = 250 * time.Millisecond
)

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

// Hash is of all decisions so far: the same for the same seed, on any machine.
func (r *Run) Hash() string { return fmt.Sprintf("%016x", r.hash.Sum64()) }
