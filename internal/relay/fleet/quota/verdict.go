package quota

import (
	"cmp"
	"slices"
	"time"
)

// limitReport is a limit that a destination has reported to a relay.
type limitReport struct {
	limit float64
	at    time.Duration
}

// observe takes over the newest limits and waits that relays report.
func (p *keyState) observe(key Key, relays []*relayState) {
	var reports []limitReport
	healthyAt := -time.Hour // when the newest call that was delivered had been sent, to anyone
	for _, relay := range relays {
		demand := relay.demands[key]
		if demand.Limit > 0 && demand.LimitAge < 254*ageUnit {
			reports = append(reports, limitReport{demand.Limit, relay.demandsAt - demand.LimitAge})
		}
		if demand.State == Healthy {
			healthyAt = max(healthyAt, relay.demandsAt-demand.StateAge)
		}
	}
	p.observeLimits(reports)
	p.waitUntil = 0
	for _, relay := range relays {
		if demand := relay.demands[key]; demand.Wait > 0 && healthyAt < relay.demandsAt { // nothing that was sent since contradicts it
			p.waitUntil = max(p.waitUntil, relay.demandsAt+min(demand.Wait, maxReportedWait))
		}
	}
}

// observeLimits takes over the median of the three freshest limits, of two the fresher: no single relay of three can make all others send
// more, or less.
func (p *keyState) observeLimits(reports []limitReport) {
	if len(reports) == 0 {
		return
	}
	slices.SortStableFunc(reports, func(a, b limitReport) int { return int(min(max(b.at-a.at, -1), 1)) })
	freshest := reports[0]
	if freshest.at < p.limitAt {
		return
	}
	p.limitAt = freshest.at
	if len(reports) < 3 {
		p.limit = freshest.limit
		return
	}
	three := slices.Clone(reports[:3])
	slices.SortStableFunc(three, func(a, b limitReport) int { return cmp.Compare(a.limit, b.limit) })
	p.limit = three[1].limit
}

// witnesses are what the relays of one zone have lately seen of a destination.
type witnesses struct {
	down, healthy     int           // relays
	downAt, healthyAt time.Duration // of the newest evidence
	lastDown          *relayState   // nil: none
}

// evidence is what all relays have lately seen of a destination.
type evidence struct {
	zones         map[int]*witnesses
	down, healthy int // relays
	zonesDown     int // zones with a relay that sees it down
}

// collectEvidence counts the witnesses whose evidence is not too old.
func collectEvidence(now time.Duration, key Key, relays []*relayState) evidence {
	all := evidence{zones: map[int]*witnesses{}}
	for _, relay := range relays {
		demand, zone := relay.demands[key], all.zones[relay.zone]
		if zone == nil {
			zone = &witnesses{downAt: -1 << 62, healthyAt: -1 << 62}
			all.zones[relay.zone] = zone
		}
		switch at := relay.demandsAt - demand.StateAge; {
		case demand.State == Down && now-at <= evidenceTTL:
			if zone.down == 0 {
				all.zonesDown++
			}
			all.down++
			zone.down, zone.downAt, zone.lastDown = zone.down+1, max(zone.downAt, at), relay
		case demand.State == Healthy && now-at <= deliveryTTL:
			all.healthy++
			zone.healthy, zone.healthyAt = zone.healthy+1, max(zone.healthyAt, at)
		}
	}
	return all
}

// verdict is the state of a destination for the relays of a zone, and when the newest evidence for that was sent.
func (e *evidence) verdict(zone *witnesses) (State, time.Duration) {
	switch {
	case zone.down >= 2 && zone.down > 2*zone.healthy, e.zonesDown >= 2 && zone.healthy == 0 && e.down > 2*e.healthy:
		at := zone.downAt
		if zone.down == 0 { // by witnesses of other zones
			for _, other := range e.zones {
				at = max(at, other.downAt)
			}
		}
		return Down, at
	case zone.healthy > 0:
		return Healthy, zone.healthyAt
	}
	return Unseen, 0
}

// judge decides for each zone's relays whether a destination is down. What one relay sees may be its own link, and what one zone sees may be
// that zone's: a verdict takes two witnesses in the zone that it is for, or witnesses in two zones and none there who contradicts them.
// Evidence ages out; a relay's own counts for it before any verdict.
func (l *Allocator) judge(now time.Duration, key Key, state *keyState, relays []*relayState) {
	all := collectEvidence(now, key, relays)
	for zone, seen := range all.zones {
		before := state.verdicts[zone]
		verdict, at := all.verdict(seen)
		if seen.down == 1 && seen.healthy >= 3 {
			l.Contradictions[seen.lastDown.name]++
		}
		state.verdicts[zone], state.evidenceAt[zone] = verdict, at
		if verdict == before {
			continue
		}
		for _, relay := range relays {
			relay.verdictChanged = relay.verdictChanged || relay.zone == zone
		}
	}
	for zone := range state.verdicts {
		if all.zones[zone] == nil {
			delete(state.verdicts, zone)
			delete(state.evidenceAt, zone)
			delete(state.probers, zone)
		}
	}
	l.assignProbes(now, key, state, relays)
}

// assignProbes decides which relay probes a destination that is down, one per zone. The turn rotates, so that a dead relay costs one turn.
func (l *Allocator) assignProbes(now time.Duration, key Key, state *keyState, relays []*relayState) {
	if now < state.probeTurnEnds {
		return
	}
	state.probeTurnEnds = now + probeTurn
	state.turn++
	for zone, verdict := range state.verdicts {
		for _, relay := range relays {
			relay.verdictChanged = relay.verdictChanged || relay.name == state.probers[zone]
		}
		delete(state.probers, zone)
		if verdict != Down {
			continue
		}
		var candidates []*relayState
		for _, relay := range relays {
			if relay.zone == zone && relay.demands[key].Rate > 0 {
				candidates = append(candidates, relay)
			}
		}
		if len(candidates) > 0 {
			relay := candidates[state.turn%len(candidates)]
			state.probers[zone], relay.verdictChanged = relay.name, true
		}
	}
}

// keyShare is what a relay learns of a key beside its share.
func (l *Allocator) keyShare(now time.Duration, relay *relayState, key Key) KeyShare {
	share := KeyShare{Key: key}
	state := l.keys[key]
	if state == nil {
		return share
	}
	if state.limit > 0 {
		share.Limit, share.LimitAge = state.limit, now-state.limitAt
	}
	if verdict := state.verdicts[relay.zone]; verdict != Unseen {
		share.State, share.StateAge = verdict, now-state.evidenceAt[relay.zone]
	}
	share.Wait = max(0, state.waitUntil-now)
	share.MayProbe = state.probers[relay.zone] == relay.name
	return share
}
