package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// KeyUsage is one key over all relays, for operators.
type KeyUsage struct {
	Key      Key            `cbor:"1,keyasint" json:"-"`
	Name     string         `cbor:"2,keyasint,omitempty" json:"name"`
	Limit    float64        `cbor:"3,keyasint,omitempty" json:"limit"`
	Demand   float64        `cbor:"4,keyasint" json:"want"`   // units a second, of all
	Leased   float64        `cbor:"5,keyasint" json:"lent"`   // of 1, beyond the guaranteed minimums
	Minimums float64        `cbor:"6,keyasint" json:"floors"` // of 1
	Relays   int            `cbor:"7,keyasint" json:"relays"` // with a demand
	Zones    map[int]string `cbor:"8,keyasint,omitempty" json:"zones,omitempty"`
}

// Usage returns the keys for which any relay has a demand.
func (l *Allocator) Usage() (all []KeyUsage) {
	for _, k := range slices.Sorted(maps.Keys(l.keys)) {
		p := l.keys[k]
		w := KeyUsage{Key: k, Limit: p.limit, Leased: float64(l.leased[k]) / float64(wholeLimit), Minimums: float64(l.minimumSum) / float64(wholeLimit), Zones: map[int]string{}}
		for _, relay := range l.relays {
			if n, ok := relay.demands[k]; ok {
				w.Demand, w.Relays = w.Demand+n.Rate, w.Relays+1
			}
		}
		for z, s := range p.verdicts {
			if s != Unseen {
				w.Zones[z] = s.String()
			}
		}
		all = append(all, w)
	}
	return all
}

// split recomputes each relay's target share of each key.
func (l *Allocator) split(now time.Duration) {
	if now-l.splitAt < splitInterval {
		return
	}
	l.splitAt = now
	by := map[Key][]*relayState{}
	for _, name := range slices.Sorted(maps.Keys(l.relays)) {
		relay := l.relays[name]
		if len(relay.formerLeases) > 0 || len(relay.leases) > 0 && relay.leases[0].expires <= now {
			l.updateBound(relay, now)
		}
		clear(relay.target)
		if now-relay.demandsAt > l.options.LeaseDuration || !slices.Contains(l.roster, name) {
			continue
		}
		for k := range relay.demands {
			by[k] = append(by[k], relay)
		}
	}
	l.sumMinimums()
	for _, k := range slices.Sorted(maps.Keys(by)) {
		p := l.keys[k]
		if p == nil {
			p = &keyState{limitAt: -1 << 62, verdicts: map[int]State{}, evidenceAt: map[int]time.Duration{}, probers: map[int]string{}}
			l.keys[k] = p
		}
		p.observe(k, by[k])
		l.judge(now, k, p, by[k])
		l.allocate(k, p, by[k])
	}
	for k := range l.keys {
		if by[k] == nil {
			delete(l.keys, k)
		}
	}
}

// allocate splits what the guaranteed minimums leave, by demand. Where the demands exceed it, a relay that gets less than its
// demand never gets less than another of the same value. What nobody demands goes to where the demand is largest.
func (l *Allocator) allocate(k Key, p *keyState, all []*relayState) {
	pool := float64(max(0, wholeLimit-l.reservedMinimumSum)) / float64(wholeLimit)
	own := float64(l.minimumPerRelay()) / float64(wholeLimit)
	type claim struct {
		relay        *relayState
		need, weight float64
	}
	var list []claim
	want, sum, meanValue := 0.0, 0.0, 0.0
	for _, relay := range all {
		want += relay.demands[k].Rate
		meanValue += relay.demands[k].Rate * relay.demands[k].Value
	}
	if want <= 0 {
		return
	}
	meanValue /= want
	for _, relay := range all {
		n := relay.demands[k]
		a := claim{relay, n.Rate / want, 1} // nothing is known of the limit: as the others
		if p.limit > 0 {
			a.need = n.Rate / p.limit
		}
		if a.need = max(0, a.need-own); meanValue > 0 {
			a.weight = max(0.25, min(4, n.Value/meanValue))
		}
		if sum += a.need; a.need > 0 {
			list = append(list, a)
		}
	}
	if sum <= pool {
		for _, a := range list {
			a.relay.target[k] = toUnits(a.need + (pool-sum)*a.relay.demands[k].Rate/want)
		}
		for _, relay := range all { // those whose guaranteed minimum is enough get of the rest too
			if n := relay.demands[k]; relay.target[k] == 0 && n.Rate > 0 {
				relay.target[k] = toUnits((pool - sum) * n.Rate / want)
			}
		}
		return
	}
	slices.SortStableFunc(list, func(a, b claim) int { return cmp.Compare(a.need/a.weight, b.need/b.weight) })
	left, totalWeight := pool, 0.0
	for _, a := range list {
		totalWeight += a.weight
	}
	for _, a := range list {
		g := min(a.need, left*a.weight/totalWeight)
		a.relay.target[k] = toUnits(g)
		left, totalWeight = left-g, totalWeight-a.weight
	}
}
