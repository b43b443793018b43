package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// KeyUsage is one key over all relays, for operators. The JSON keys are the operators' words.
type KeyUsage struct {
	Key      Key            `cbor:"1,keyasint" json:"-"`
	Name     string         `cbor:"2,keyasint,omitempty" json:"name"`            // empty, unless a relay has filled it in
	Limit    float64        `cbor:"3,keyasint,omitempty" json:"limit"`           // units a second; 0: none is known
	Demand   float64        `cbor:"4,keyasint" json:"want"`                      // units a second, of all
	Leased   float64        `cbor:"5,keyasint" json:"lent"`                      // of 1, beyond the guaranteed minimums
	Minimums float64        `cbor:"6,keyasint" json:"floors"`                    // of 1
	Relays   int            `cbor:"7,keyasint" json:"relays"`                    // with a demand
	Zones    map[int]string `cbor:"8,keyasint,omitempty" json:"zones,omitempty"` // verdicts, by zone
}

// Usage returns the keys for which any relay has a demand, in their order. The names are empty: only relays know them.
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

// split recomputes each relay's target share of each key, if splitInterval has passed since the last time.
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
		l.judge(now, key, state, demanding[key])
		l.allocate(key, state, demanding[key])
	}
	for key := range l.keys {
		if demanding[key] == nil {
			delete(l.keys, key)
		}
	}
}

// relaysByKey clears all targets, drops expired leases, and returns for each key the relays of the roster with a demand that is not too old,
// in the order of their names.
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

// claim is what a relay needs of a key beyond its guaranteed minimum.
type claim struct {
	relay  *relayState
	need   float64 // of 1
	weight float64 // by the value of its units, 0.25 to 4
}

// allocate splits what the guaranteed minimums leave, by demand. Where the demands exceed it, a relay that gets less than its demand never
// gets less than another of the same value. What nobody demands goes to where the demand is largest.
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

// newClaim is a relay's claim to a key of which all relays together demand so much, at that mean value; limit 0: nothing is known of it,
// and the claim is the relay's part of the demand.
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

// allocateSurplus gives each claim what it needs, and splits the rest by demand.
func allocateSurplus(key Key, claims []claim, relays []*relayState, totalDemand, rest float64) {
	for _, claim := range claims {
		claim.relay.target[key] = toUnits(claim.need + rest*claim.relay.demands[key].Rate/totalDemand)
	}
	for _, relay := range relays { // those whose guaranteed minimum is enough get some of the rest too
		if demand := relay.demands[key]; relay.target[key] == 0 && demand.Rate > 0 {
			relay.target[key] = toUnits(rest * demand.Rate / totalDemand)
		}
	}
}

// allocateScarce splits a pool that is smaller than the needs, by weight (weighted max-min fairness).
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
