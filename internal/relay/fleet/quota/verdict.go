package quota

import (
	"slices"
	"time"
)

// observe takes over the newest limits and waits that relays report.
func (p *keyState) observe(k Key, all []*relayState) {
	type report struct {
		limit float64
		at    time.Duration
	}
	var list []report
	well := -time.Hour // when the newest call that was delivered had been sent, to anyone
	for _, relay := range all {
		n := relay.demands[k]
		if n.Limit > 0 && n.LimitAge < 254*ageUnit {
			list = append(list, report{n.Limit, relay.demandsAt - n.LimitAge})
		}
		if n.State == Healthy {
			well = max(well, relay.demandsAt-n.StateAge)
		}
	}
	// The median of the three freshest limits counts: no single relay can make all others send more, or less.
	slices.SortStableFunc(list, func(a, b report) int { return int(min(max(b.at-a.at, -1), 1)) })
	if len(list) > 0 {
		if fresh := list[0].at; fresh >= p.limitAt {
			three := slices.Clone(list[:min(len(list), 3)])
			slices.SortStableFunc(three, func(a, b report) int {
				switch {
				case a.limit < b.limit:
					return -1
				case a.limit > b.limit:
					return 1
				}
				return 0
			})
			p.limit, p.limitAt = three[len(three)/2].limit, fresh
			if len(three) == 2 {
				p.limit = list[0].limit
			}
		}
	}
	p.waitUntil = 0
	for _, relay := range all {
		if n := relay.demands[k]; n.Wait > 0 && well < relay.demandsAt { // nothing that was sent since speaks against it
			p.waitUntil = max(p.waitUntil, relay.demandsAt+min(n.Wait, maxReportedWait))
		}
	}
}

// judge decides for each zone's relays whether a destination is down. What one relay sees may be its own link, and what one zone
// sees may be that zone's: a verdict takes two witnesses in the zone that it is for, or witnesses in two zones and none there who
// says otherwise. Evidence ages out; a relay's own goes before all this.
func (l *Allocator) judge(now time.Duration, k Key, p *keyState, all []*relayState) {
	type seen struct {
		down, well int
		at, wellAt time.Duration
		alone      *relayState
	}
	zones := map[int]*seen{}
	var down, well, in int
	for _, relay := range all {
		n, z := relay.demands[k], zones[relay.zone]
		if z == nil {
			z = &seen{at: -1 << 62, wellAt: -1 << 62}
			zones[relay.zone] = z
		}
		switch at := relay.demandsAt - n.StateAge; {
		case n.State == Down && now-at <= evidenceTTL:
			if z.down == 0 {
				in++
			}
			down, z.down, z.at, z.alone = down+1, z.down+1, max(z.at, at), relay
		case n.State == Healthy && now-at <= deliveryTTL:
			well, z.well, z.wellAt = well+1, z.well+1, max(z.wellAt, at)
		}
	}
	for no, z := range zones {
		was := p.verdicts[no]
		is, at := Unseen, time.Duration(0)
		switch {
		case z.down >= 2 && z.down > 2*z.well, in >= 2 && z.well == 0 && down > 2*well:
			is, at = Down, z.at
			if z.down == 0 {
				for _, o := range zones {
					at = max(at, o.at)
				}
			}
		case z.well > 0:
			is, at = Healthy, z.wellAt
		}
		if z.down == 1 && z.well >= 3 {
			l.Contradictions[z.alone.name]++
		}
		if p.verdicts[no], p.evidenceAt[no] = is, at; is != was {
			for _, relay := range all {
				relay.verdictChanged = relay.verdictChanged || relay.zone == no
			}
		}
	}
	for no := range p.verdicts {
		if zones[no] == nil {
			delete(p.verdicts, no)
			delete(p.evidenceAt, no)
			delete(p.probers, no)
		}
	}
	l.assignProbes(now, k, p, all)
}

// assignProbes decides which relay probes a destination that is down, one a zone. The turn rotates, so that a dead relay costs
// one turn.
func (l *Allocator) assignProbes(now time.Duration, k Key, p *keyState, all []*relayState) {
	if now < p.probeTurnEnds {
		return
	}
	p.probeTurnEnds = now + probeTurn
	p.turn++
	for no, s := range p.verdicts {
		for _, relay := range all {
			relay.verdictChanged = relay.verdictChanged || relay.name == p.probers[no]
		}
		delete(p.probers, no)
		if s != Down {
			continue
		}
		var can []*relayState
		for _, relay := range all {
			if relay.zone == no && relay.demands[k].Rate > 0 {
				can = append(can, relay)
			}
		}
		if len(can) > 0 {
			relay := can[p.turn%len(can)]
			p.probers[no], relay.verdictChanged = relay.name, true
		}
	}
}

// keyShare is what a relay learns of a key beside its share.
func (l *Allocator) keyShare(now time.Duration, relay *relayState, k Key) KeyShare {
	t := KeyShare{Key: k}
	p := l.keys[k]
	if p == nil {
		return t
	}
	if p.limit > 0 {
		t.Limit, t.LimitAge = p.limit, now-p.limitAt
	}
	if s := p.verdicts[relay.zone]; s != Unseen {
		t.State, t.StateAge = s, now-p.evidenceAt[relay.zone]
	}
	t.Wait = max(0, p.waitUntil-now)
	t.MayProbe = p.probers[relay.zone] == relay.name
	return t
}
