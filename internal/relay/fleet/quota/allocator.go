package quota

import (
	"slices"
	"time"
)

// Options are an Allocator's.
type Options struct {
	MinimumSum    float64       // of 1: all guaranteed minimums together. More of it serves partitioned relays better, and leaves less to lease by demand
	LeaseDuration time.Duration // from the arrival of a request until a lease granted upon it has surely expired
	ServeAlone    bool          // partitioned relays go on, with their guaranteed minimums
}

// Shares are summed in integer units, so that rounding neither loses nor makes any.
const (
	unitsPerLimit = int64(1) << 40 // units of a complete limit
	minUnits      = 1 << 10        // units: smaller shares count as none
)

// toShare converts units to a share of 1.
func toShare(units int64) float64 { return float64(units) / float64(unitsPerLimit) }

// toUnits converts a share of 1 to units, rounded towards zero; less than minUnits is none.
func toUnits(share float64) int64 {
	if units := int64(share * float64(unitsPerLimit)); units >= minUnits {
		return min(units, unitsPerLimit)
	}
	return 0
}

// Times and thresholds of the allocator.
const (
	splitInterval   = 100 * time.Millisecond // between two splits
	resendInterval  = 500 * time.Millisecond // shares that are the same, since limits and judgements age
	evidenceTTL     = 5 * time.Second        // evidence that is older does not count
	deliveryTTL     = 2 * time.Second        // a delivery that contradicts others' evidence that a destination is down
	probeTurn       = time.Second            // a relay's turn to probe
	growThreshold   = 0.1                    // of a share: smaller growth is not sent
	shrinkThreshold = 0.02                   // of a share: smaller shrinkage is not sent; others may need the rest
	maxReportedWait = 3 * time.Second        // that one relay's report makes others wait
)

// Allocator is the leader's side of the leases, for one term. It is not safe for concurrent use: the leader's node.Node owns it. Times are on
// that node's clock.
type Allocator struct {
	options            Options
	term               uint64
	startedAt          time.Duration
	splitAt            time.Duration // of the last split
	roster             []string      // the roster, sorted
	relays             map[string]*relayState
	leased             map[Key]int64 // sum of what relays may spend, beyond the guaranteed minimums
	minimumSum         int64         // all guaranteed minimums that may be spent
	reservedMinimumSum int64         // the same with those that are still to be leased
	keys               map[Key]*keyState
	Contradictions     map[string]int // reports that contradicted all others', or could not be true, by relay; must not be changed
}

// relayState is one relay as the allocator knows it.
type relayState struct {
	name             string
	incarnation      uint64
	reported         bool          // it has reported its former lease in this term, or that has expired
	firstIncarnation bool          // the first incarnation of its name in this term: only that may have a lease of the term before
	verdictChanged   bool          // there is a verdict that it was not sent yet
	sharesSentAt     time.Duration // when it was sent its shares last
	confirmedLease   uint64        // number of the lease that its core has confirmed
	zone             int
	demands          map[Key]Demand
	demandsAt        time.Duration // of these
	heardAt          time.Duration // of its last request
	lastLease        uint64        // number of the newest lease
	leases           []lease       // that may be in force at the relay, oldest first; the first may be confirmed
	formerLeases     []lease       // of former incarnations
	bound            map[Key]int64 // the most that it may spend by any of its leases, in units, beyond the minimum
	minimum          int64         // that it may spend
	lastingMinimum   int64         // of expired leases: the relay may still spend the guaranteed minimum alone
	target           map[Key]int64 // what split would give it, in units
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
	limit         float64               // units a second; 0: not known
	limitAt       time.Duration         // when the destination reported it
	verdicts      map[int]State         // by zone
	evidenceAt    map[int]time.Duration // when the newest evidence for a verdict was sent, by zone
	waitUntil     time.Duration         // as destinations have asked for
	probers       map[int]string        // whose turn it is, by zone
	probeTurnEnds time.Duration
	turn          int // counts the turns to probe
}

// NewAllocator returns the allocator of a relay that becomes the leader in term. It leases nothing beyond former leases until all relays of the
// roster have reported theirs, or LeaseDuration has passed.
func NewAllocator(options Options, term uint64, now time.Duration) *Allocator {
	return &Allocator{options: options, term: term, startedAt: now, splitAt: now - splitInterval, relays: map[string]*relayState{},
		leased: map[Key]int64{}, keys: map[Key]*keyState{}, Contradictions: map[string]int{}}
}

// minimumPerRelay is the guaranteed minimum of each relay of the roster, in units.
func (l *Allocator) minimumPerRelay() int64 {
	return toUnits(RoundToWire(l.options.MinimumSum / float64(max(len(l.roster), 1))))
}

// SetRoster sets the names of the relays that belong to the fleet, sorted.
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
	for _, name := range l.roster {
		relay, minimum := l.relays[name], int64(0)
		if relay != nil {
			minimum = relay.minimum
		}
		if (relay == nil || !relay.reported) && (l.options.ServeAlone || !l.allReported(l.splitAt)) {
			minimum = max(minimum, l.minimumPerRelay())
		}
		l.minimumSum += minimum
		if relay != nil && l.splitAt-relay.heardAt <= l.options.LeaseDuration { // its guaranteed minimum is kept for it, also if it was not leased yet
			minimum = max(minimum, l.minimumPerRelay())
		}
		l.reservedMinimumSum += minimum
	}
	for name, relay := range l.relays {
		if !slices.Contains(l.roster, name) {
			l.minimumSum += relay.minimum
		}
	}
}

// allReported reports whether all relays have reported their former leases, or those have expired.
func (l *Allocator) allReported(now time.Duration) bool {
	if now >= l.startedAt+l.options.LeaseDuration {
		return true
	}
	return !slices.ContainsFunc(l.roster, func(name string) bool { return l.relays[name] == nil || !l.relays[name].reported })
}

// updateBound recomputes what a relay may spend, and drops its expired leases.
func (l *Allocator) updateBound(relay *relayState, now time.Duration) {
	bound, minimum := map[Key]int64{}, int64(0)
	expired := func(l lease) bool { return l.expires <= now }
	for _, lease := range relay.leases {
		if expired(lease) {
			relay.lastingMinimum = max(relay.lastingMinimum, lease.minimum)
		}
	}
	relay.leases, relay.formerLeases = slices.DeleteFunc(relay.leases, expired), slices.DeleteFunc(relay.formerLeases, expired)
	for _, lease := range slices.Concat(relay.formerLeases, relay.leases) {
		minimum = max(minimum, lease.minimum)
		for key, units := range lease.shares {
			bound[key] = max(bound[key], units)
		}
	}
	if l.options.ServeAlone { // a guaranteed minimum never expires then, unless another replaces it
		minimum = max(minimum, relay.lastingMinimum)
	}
	for key, units := range relay.bound {
		if l.leased[key] -= units; l.leased[key] == 0 {
			delete(l.leased, key)
		}
	}
	for key, units := range bound {
		l.leased[key] += units
	}
	relay.bound = bound
	if relay.minimum != minimum {
		relay.minimum = minimum
		l.sumMinimums()
	}
}
