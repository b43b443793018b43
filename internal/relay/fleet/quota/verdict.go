package quota

import (
	"cmp"
	"slices"
	"time"
)

// limitReport is a limit that a destination reported to a relay.
type limitReport struct {
	limit float64
	at    time.Duration
}

// observe updates the limit and the wait from the relays' demands.
func (p *keyState) observe(key Key, relays []*relayState) {
	var reports []limitReport
	healthyAt := -time.Hour // when the newest delivered call of any relay was sent
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
		if demand := relay.demands[key]; demand.Wait > 0 && healthyAt < relay.demandsAt { // unless a delivered call was sent since
			p.waitUntil = max(p.waitUntil, relay.demandsAt+min(demand.Wait, maxReportedWait))
		}
	}
}

// observeLimits sets the limit to the median of the three newest reports, or to the newest of fewer. So a single wrong report among three
// has no effect on the others.
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

// zoneEvidence is the recent evidence of a zone's relays on a destination.
type zoneEvidence struct {
	down, healthy     int           // number of relays
	downAt, healthyAt time.Duration // when the call of the newest evidence was sent
	lastDown          *relayState   // the last relay that reported it down; nil: none
}

// evidence is the recent evidence of all relays on a destination.
type evidence struct {
	zones         map[int]*zoneEvidence
	down, healthy int // number of relays
	zonesDown     int // number of zones with a relay that reports it down
}

// collectEvidence counts the relays with recent evidence.
func collectEvidence(now time.Duration, key Key, relays []*relayState) evidence {
	all := evidence{zones: map[int]*zoneEvidence{}}
	for _, relay := range relays {
		demand, zone := relay.demands[key], all.zones[relay.zone]
		if zone == nil {
			zone = &zoneEvidence{downAt: -1 << 62, healthyAt: -1 << 62}
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

// verdict returns the verdict on a destination for a zone, and when the call of the newest evidence for it was sent.
func (e *evidence) verdict(zone *zoneEvidence) (State, time.Duration) {
	switch {
	case zone.down >= 2 && zone.down > 2*zone.healthy, e.zonesDown >= 2 && zone.healthy == 0 && e.down > 2*e.healthy:
		at := zone.downAt
		if zone.down == 0 { // no evidence from this zone: use the newest of all zones
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

// updateVerdicts decides for each zone whether a destination is down. The evidence of a single relay or zone may be a fault of its own
// network. So a zone's verdict needs two relays in that zone, or relays in two zones and no delivery in that zone. Evidence expires, and a
// relay's own evidence has priority over a verdict.
func (l *Allocator) updateVerdicts(now time.Duration, key Key, state *keyState, relays []*relayState) {
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

// assignProbes selects one relay per zone to probe a destination that is down. The relays take turns, so that a crashed one costs one turn.
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

// keyShare returns the fleet's information on a key for a relay, without the relay's share.
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
