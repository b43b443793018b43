package quota

import (
	"slices"
	"time"
)

// Options are the Allocator's.
type Options struct {
	MinimumSum    float64       // of 1: all guaranteed minimums together
	LeaseDuration time.Duration // from the arrival of a request until a lease granted upon it has surely expired
	ServeAlone    bool          // partitioned relays go on, with their guaranteed minimums
}

// Shares are counted in whole units, so that nothing is lost or made by rounding.
const (
	wholeLimit = int64(1) << 40
	minUnits   = 1 << 10 // units: smaller shares count as none
)

// toUnits turns a share of 1 into units, rounded to zero; less than minUnits is none.
func toUnits(v float64) int64 {
	if g := int64(v * float64(wholeLimit)); g >= minUnits {
		return min(g, wholeLimit)
	}
	return 0
}

// Times and thresholds of the allocator.
const (
	splitInterval   = 100 * time.Millisecond // between two splits
	resendInterval  = 500 * time.Millisecond // shares that are the same, since limits and judgements age
	evidenceTTL     = 5 * time.Second        // evidence that is older stands for nothing
	deliveryTTL     = 2 * time.Second        // a delivery that contradicts others' evidence that a destination is down
	probeTurn       = time.Second            // a relay's turn to probe
	growThreshold   = 0.1                    // of a share: smaller growth is not sent
	shrinkThreshold = 0.02                   // of a share: smaller shrinkage is not sent; others may need the rest
	maxReportedWait = 3 * time.Second        // that one relay's report makes others wait
)

// Allocator is the leader's side of the leases, for one term. It is not safe for concurrent use.
type Allocator struct {
	options            Options
	term               uint64
	startedAt          time.Duration
	splitAt            time.Duration // of the last split
	roster             []string      // the roster, sorted
	relays             map[string]*relayState
	leased             map[Key]int64 // sum of what relays may go by, beyond the guaranteed minimums
	minimumSum         int64         // all guaranteed minimums that may be spent
	reservedMinimumSum int64         // the same with those that are still to be leased
	keys               map[Key]*keyState
	Contradictions     map[string]int // by relay: reports that contradicted all others', or could not be true
}

// relayState is one relay as the allocator knows it.
type relayState struct {
	name             string
	incarnation      uint64
	reported         bool          // what it holds, in this term
	firstIncarnation bool          // the first incarnation of its name in this term: only that may have a lease of the term before
	verdictChanged   bool          // there is a verdict that it was not sent yet
	sharesSentAt     time.Duration // when it was sent its shares last
	confirmedLease   uint64        // the lease that it says it goes by
	zone             int
	demands          map[Key]Demand
	demandsAt        time.Duration // of these
	heardAt          time.Duration // of its last request
	lastLease        uint64
	leases           []lease // that it may go by, oldest first; the first may be confirmed
	formerLeases     []lease // of former incarnations
	bound            map[Key]int64
	minimum          int64 // that it may spend
	lastingMinimum   int64 // of leases that are over: it may still go by the guaranteed minimum alone
	target           map[Key]int64
}

// lease is the shares of all keys that one grant gave a relay, in units.
type lease struct {
	number  uint64
	minimum int64
	shares  map[Key]int64
	expires time.Duration // it may be spent before that
}

// keyState is one key over all relays.
type keyState struct {
	limit         float64
	limitAt       time.Duration
	verdicts      map[int]State // by zone
	evidenceAt    map[int]time.Duration
	waitUntil     time.Duration
	probers       map[int]string // whose turn it is, by zone
	probeTurnEnds time.Duration
	turn          int
}

// NewAllocator returns the allocator of a relay that begins to lead in term.
func NewAllocator(options Options, term uint64, now time.Duration) *Allocator {
	return &Allocator{options: options, term: term, startedAt: now, splitAt: now - splitInterval, relays: map[string]*relayState{}, leased: map[Key]int64{}, keys: map[Key]*keyState{}, Contradictions: map[string]int{}}
}

// minimumPerRelay is the guaranteed minimum of each relay of a roster.
func (l *Allocator) minimumPerRelay() int64 {
	return toUnits(RoundToWire(l.options.MinimumSum / float64(max(len(l.roster), 1))))
}

// SetRoster sets the relays that belong to the fleet.
func (l *Allocator) SetRoster(names []string) {
	if !slices.Equal(names, l.roster) {
		l.roster = slices.Clone(names)
		l.sumMinimums()
	}
}

// sumMinimums sums what all relays may spend as guaranteed minimums, also those not heard from: until LeaseDuration after the
// start they may have what a former leader granted, and with ServeAlone for ever.
func (l *Allocator) sumMinimums() {
	l.minimumSum, l.reservedMinimumSum = 0, 0
	for _, n := range l.roster {
		relay, may := l.relays[n], int64(0)
		if relay != nil {
			may = relay.minimum
		}
		if (relay == nil || !relay.reported) && (l.options.ServeAlone || !l.allReported(l.splitAt)) {
			may = max(may, l.minimumPerRelay())
		}
		l.minimumSum += may
		if relay != nil && l.splitAt-relay.heardAt <= l.options.LeaseDuration { // its guaranteed minimum is kept for it, also if it was not leased yet
			may = max(may, l.minimumPerRelay())
		}
		l.reservedMinimumSum += may
	}
	for n, relay := range l.relays {
		if !slices.Contains(l.roster, n) {
			l.minimumSum += relay.minimum
		}
	}
}

// allReported tells whether all relays have reported their former leases, or those have expired.
func (l *Allocator) allReported(now time.Duration) bool {
	if now >= l.startedAt+l.options.LeaseDuration {
		return true
	}
	return !slices.ContainsFunc(l.roster, func(n string) bool { return l.relays[n] == nil || !l.relays[n].reported })
}

// updateBound recomputes what a relay may go by, and drops its expired leases.
func (l *Allocator) updateBound(relay *relayState, now time.Duration) {
	bound, minimum := map[Key]int64{}, int64(0)
	over := func(o lease) bool { return o.expires <= now }
	for _, o := range relay.leases {
		if over(o) {
			relay.lastingMinimum = max(relay.lastingMinimum, o.minimum)
		}
	}
	relay.leases, relay.formerLeases = slices.DeleteFunc(relay.leases, over), slices.DeleteFunc(relay.formerLeases, over)
	for _, o := range slices.Concat(relay.formerLeases, relay.leases) {
		minimum = max(minimum, o.minimum)
		for k, g := range o.shares {
			bound[k] = max(bound[k], g)
		}
	}
	if l.options.ServeAlone { // a guaranteed minimum never expires then, unless another replaces it
		minimum = max(minimum, relay.lastingMinimum)
	}
	for k, g := range relay.bound {
		if l.leased[k] -= g; l.leased[k] == 0 {
			delete(l.leased, k)
		}
	}
	for k, g := range bound {
		l.leased[k] += g
	}
	relay.bound = bound
	if relay.minimum != minimum {
		relay.minimum = minimum
		l.sumMinimums()
	}
}
