package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// KeyUsage is the use of a key by all relays, for operators. The JSON keys are part of the operators' interface.
type KeyUsage struct {
	Key      Key            `cbor:"1,keyasint" json:"-"`
	Name     string         `cbor:"2,keyasint,omitempty" json:"name"`            // set by the relay that reports the usage
	Limit    float64        `cbor:"3,keyasint,omitempty" json:"limit"`           // units/s; 0: unknown
	Demand   float64        `cbor:"4,keyasint" json:"want"`                      // units/s, sum over all relays
	Leased   float64        `cbor:"5,keyasint" json:"lent"`                      // fraction of the limit that is leased in addition to the guaranteed minimums
	Minimums float64        `cbor:"6,keyasint" json:"floors"`                    // fraction of the limit
	Relays   int            `cbor:"7,keyasint" json:"relays"`                    // number of relays with a demand
	Zones    map[int]string `cbor:"8,keyasint,omitempty" json:"zones,omitempty"` // verdicts, by zone
}

// Usage returns the usage of all keys with a demand, in order. The names are empty: the allocator does not know them.
func (l *Allocator) Usage() (all []KeyUsage) {
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		state := l.keys[key]
		usage := KeyUsage{Key: key, Limit: state.limit, Leased: toShare(l.leased[key]), Minimums: toShare(l.minimumSum), Zones: map[int]string{}}
		for _, relay := range l.relays {
			if demand, ok := relay.demands[key]; ok {
				usage.Demand, usage.Relays = usage.Demand+demand.Rate, usage.Relays+1
			}
		}
		for zone, verdict := range state.verdicts {
			if verdict != Unseen {
				usage.Zones[zone] = verdict.String()
			}
		}
		all = append(all, usage)
	}
	return all
}

// split recomputes each relay's target share of each key, at most once per splitInterval.
func (l *Allocator) split(now time.Duration) {
	if now-l.splitAt < splitInterval {
		return
	}
	l.splitAt = now
	demanding := l.relaysByKey(now)
	l.sumMinimums()
	for _, key := range slices.Sorted(maps.Keys(demanding)) {
		state := l.keys[key]
		if state == nil {
			state = &keyState{limitAt: -1 << 62, verdicts: map[int]State{}, evidenceAt: map[int]time.Duration{}, probers: map[int]string{}}
			l.keys[key] = state
		}
		state.observe(key, demanding[key])
		l.updateVerdicts(now, key, state, demanding[key])
		l.allocate(key, state, demanding[key])
	}
	for key := range l.keys {
		if demanding[key] == nil {
			delete(l.keys, key)
		}
	}
}

// relaysByKey clears all targets, drops expired leases, and returns for each key the relays in the roster with a recent demand, sorted by
// name.
func (l *Allocator) relaysByKey(now time.Duration) map[Key][]*relayState {
	demanding := map[Key][]*relayState{}
	for _, name := range slices.Sorted(maps.Keys(l.relays)) {
		relay := l.relays[name]
		if len(relay.formerLeases) > 0 || len(relay.leases) > 0 && relay.leases[0].expires <= now {
			l.updateBound(relay, now)
		}
		clear(relay.target)
		if now-relay.demandsAt > l.options.LeaseDuration || !slices.Contains(l.roster, name) {
			continue
		}
		for key := range relay.demands {
			demanding[key] = append(demanding[key], relay)
		}
	}
	return demanding
}

// claim is the part of a key that a relay needs in addition to its guaranteed minimum.
type claim struct {
	relay  *relayState
	need   float64 // fraction of the limit
	weight float64 // by the value of its units relative to the mean, 0.25 to 4
}

// allocate splits the part of a limit beyond the guaranteed minimums by demand. If the demands exceed that, a relay that gets less than its
// demand does not get less than another whose units have the same value. A surplus is split in proportion to the demands.
func (l *Allocator) allocate(key Key, state *keyState, relays []*relayState) {
	demand, meanValue := 0.0, 0.0
	for _, relay := range relays {
		demand += relay.demands[key].Rate
		meanValue += relay.demands[key].Rate * relay.demands[key].Value
	}
	if demand <= 0 {
		return
	}
	meanValue /= demand
	minimum := toShare(l.minimumPerRelay())
	var claims []claim
	needed := 0.0
	for _, relay := range relays {
		current := newClaim(relay, key, state.limit, demand, meanValue, minimum)
		if needed += current.need; current.need > 0 {
			claims = append(claims, current)
		}
	}
	pool := toShare(max(0, unitsPerLimit-l.reservedMinimumSum))
	if needed <= pool {
		allocateSurplus(key, claims, relays, demand, pool-needed)
	} else {
		allocateScarce(key, claims, pool)
	}
}

// newClaim returns a relay's claim to a key, given the demand of all relays and its mean value. If the limit is unknown (0), the claim is
// the relay's fraction of the total demand.
func newClaim(relay *relayState, key Key, limit, totalDemand, meanValue, minimum float64) claim {
	demand := relay.demands[key]
	c := claim{relay, demand.Rate / totalDemand, 1}
	if limit > 0 {
		c.need = demand.Rate / limit
	}
	c.need = max(0, c.need-minimum)
	if meanValue > 0 {
		c.weight = max(0.25, min(4, demand.Value/meanValue))
	}
	return c
}

// allocateSurplus satisfies all claims, and splits the rest by demand.
func allocateSurplus(key Key, claims []claim, relays []*relayState, totalDemand, rest float64) {
	for _, claim := range claims {
		claim.relay.target[key] = toUnits(claim.need + rest*claim.relay.demands[key].Rate/totalDemand)
	}
	for _, relay := range relays { // relays without a claim, whose guaranteed minimum is enough, also get a part of the rest
		if demand := relay.demands[key]; relay.target[key] == 0 && demand.Rate > 0 {
			relay.target[key] = toUnits(rest * demand.Rate / totalDemand)
		}
	}
}

// allocateScarce splits a pool that is smaller than the claims by weighted max-min fairness.
func allocateScarce(key Key, claims []claim, pool float64) {
	slices.SortStableFunc(claims, func(a, b claim) int { return cmp.Compare(a.need/a.weight, b.need/b.weight) })
	totalWeight := 0.0
	for _, claim := range claims {
		totalWeight += claim.weight
	}
	for _, claim := range claims {
		share := min(claim.need, pool*claim.weight/totalWeight)
		claim.relay.target[key] = toUnits(share)
		pool, totalWeight = pool-share, totalWeight-claim.weight
	}
}
