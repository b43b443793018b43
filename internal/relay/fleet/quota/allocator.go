package quota

import (
	"slices"
	"time"
)

// Options configure an Allocator.
type Options struct {
	MinimumSum           float64       // sum of all guaranteed minimums, as a fraction. More serves partitioned relays better, but leaves less to lease by demand
	LeaseDuration        time.Duration // from the arrival of a request until its lease has expired by any relay's clock
	ServeWhenPartitioned bool          // partitioned relays keep spending their guaranteed minimums
}

// Shares are added in integer units, so that sums have no rounding errors.
const (
	unitsPerLimit = int64(1) << 40 // units of a whole limit
	minUnits      = 1 << 10        // smaller shares are rounded to none
)

// toShare converts units to a fraction of a limit.
func toShare(units int64) float64 { return float64(units) / float64(unitsPerLimit) }

// toUnits converts a fraction of a limit to units, rounded towards zero. Less than minUnits becomes 0.
func toUnits(share float64) int64 {
	if units := int64(share * float64(unitsPerLimit)); units >= minUnits {
		return min(units, unitsPerLimit)
	}
	return 0
}

// Times and thresholds of the allocator.
const (
	splitInterval   = 100 * time.Millisecond // minimum time between two splits
	resendInterval  = 500 * time.Millisecond // of unchanged shares, since limits and verdicts age
	evidenceTTL     = 5 * time.Second        // maximum age of evidence that a destination is down
	deliveryTTL     = 2 * time.Second        // maximum age of a delivery that contradicts such evidence
	probeTurn       = time.Second            // duration of a relay's turn to probe
	growThreshold   = 0.1                    // relative: smaller growth of a share is not sent
	shrinkThreshold = 0.02                   // relative: smaller shrinkage of a share is not sent; it is lower, since others may need the rest
	maxReportedWait = 3 * time.Second        // maximum wait for others because of one relay's report
)

// Allocator grants quota leases at the leader, for one term. It is not safe for concurrent use: the leader's node.Node owns it. Times are
// on that node's clock.
type Allocator struct {
	options            Options
	term               uint64
	startedAt          time.Duration
	splitAt            time.Duration // of the last split
	roster             []string      // sorted names
	relays             map[string]*relayState
	leased             map[Key]int64 // sum of the relays' bounds, in units
	minimumSum         int64         // sum of the guaranteed minimums that relays may spend, in units
	reservedMinimumSum int64         // minimumSum and the minimums that are still to be leased
	keys               map[Key]*keyState
	Contradictions     map[string]int // reports that contradicted all others or were impossible, by relay; must not be changed
}

// relayState is the allocator's state of a relay.
type relayState struct {
	name             string
	incarnation      uint64
	reported         bool          // it has reported its lease from a former term in this term, or that lease has expired
	firstIncarnation bool          // its first incarnation in this term, the only one that may have a lease from a former term
	verdictChanged   bool          // a verdict or probe turn changed since its shares were last sent
	sharesSentAt     time.Duration // when its shares were last sent
	confirmedLease   uint64        // number of the newest lease that its core has confirmed
	zone             int
	demands          map[Key]Demand
	demandsAt        time.Duration // when the demands were received
	heardAt          time.Duration // when its last request was received
	lastLease        uint64        // number of the newest lease
	leases           []lease       // leases that the relay may be using, oldest first
	formerLeases     []lease       // leases of former incarnations and terms
	bound            map[Key]int64 // maximum of its leases in addition to the minimum, in units
	minimum          int64         // guaranteed minimum that it may spend, in units
	lastingMinimum   int64         // guaranteed minimum of expired leases, which a partitioned relay may still spend
	target           map[Key]int64 // share that split assigns to it, in units
}

// lease has the shares of all keys that a grant gave to a relay, in units.
type lease struct {
	number  uint64
	minimum int64
	shares  map[Key]int64
	expires time.Duration // the shares may be spent until then
}

// keyState is the allocator's state of a key.
type keyState struct {
	limit         float64               // units/s; 0: unknown
	limitAt       time.Duration         // when the destination reported it
	verdicts      map[int]State         // by zone
	evidenceAt    map[int]time.Duration // when the call of the newest evidence for the verdict was sent, by zone
	waitUntil     time.Duration         // until when the destination asked relays to wait
	probers       map[int]string        // name of the relay whose turn it is to probe, by zone
	probeTurnEnds time.Duration
	turn          int // number of the turn to probe
}

// NewAllocator returns the allocator of a relay that becomes the leader in a term. It leases nothing beyond the leases from former terms
// until all relays in the roster have reported these, or LeaseDuration has passed.
func NewAllocator(options Options, term uint64, now time.Duration) *Allocator {
	return &Allocator{options: options, term: term, startedAt: now, splitAt: now - splitInterval, relays: map[string]*relayState{},
		leased: map[Key]int64{}, keys: map[Key]*keyState{}, Contradictions: map[string]int{}}
}

// minimumPerRelay returns the guaranteed minimum of each relay in the roster, in units.
func (l *Allocator) minimumPerRelay() int64 {
	return toUnits(RoundToWire(l.options.MinimumSum / float64(max(len(l.roster), 1))))
}

// SetRoster sets the names of the fleet's relays, which must be sorted.
func (l *Allocator) SetRoster(names []string) {
	if !slices.Equal(names, l.roster) {
		l.roster = slices.Clone(names)
		l.sumMinimums()
	}
}

// sumMinimums recomputes minimumSum and reservedMinimumSum. Relays that were not heard from count as well: they may spend the minimum that
// a former leader granted for LeaseDuration after the start, and with ServeWhenPartitioned for ever.
func (l *Allocator) sumMinimums() {
	l.minimumSum, l.reservedMinimumSum = 0, 0
	for _, name := range l.roster {
		relay, minimum := l.relays[name], int64(0)
		if relay != nil {
			minimum = relay.minimum
		}
		if (relay == nil || !relay.reported) && (l.options.ServeWhenPartitioned || !l.allReported(l.splitAt)) {
			minimum = max(minimum, l.minimumPerRelay())
		}
		l.minimumSum += minimum
		if relay != nil && l.splitAt-relay.heardAt <= l.options.LeaseDuration { // its guaranteed minimum is reserved, even if it was not leased yet
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

// allReported reports whether all relays have reported their leases from former terms, or these have expired.
func (l *Allocator) allReported(now time.Duration) bool {
	if now >= l.startedAt+l.options.LeaseDuration {
		return true
	}
	return !slices.ContainsFunc(l.roster, func(name string) bool { return l.relays[name] == nil || !l.relays[name].reported })
}

// updateBound drops the expired leases of a relay and recomputes its bound and minimum.
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
	if l.options.ServeWhenPartitioned { // then a guaranteed minimum is valid until another replaces it
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
