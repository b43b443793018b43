package quota

import (
	"slices"
	"time"
)

// learn takes the newest limits and waits that relays tell.
func (p *pot) learn(now time.Duration, k Key, all []*holder) {
	type told struct {
		limit float64
		at    time.Duration
	}
	var list []told
	well := -time.Hour // when the newest call that was delivered had been sent, to anyone
	for _, h := range all {
		n := h.needs[k]
		if n.Limit > 0 && n.Told < 254*unit {
			list = append(list, told{n.Limit, h.at - n.Told})
		}
		if n.State == Well {
			well = max(well, h.at-n.Seen)
		}
	}
	// Of the three that are the freshest the middle one: no single relay's word has all others send more, or less.
	slices.SortStableFunc(list, func(a, b told) int { return int(min(max(b.at-a.at, -1), 1)) })
	if len(list) > 0 {
		if fresh := list[0].at; fresh >= p.limitAt {
			three := slices.Clone(list[:min(len(list), 3)])
			slices.SortStableFunc(three, func(a, b told) int {
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
	p.waitTill = 0
	for _, h := range all {
		if n := h.needs[k]; n.Wait > 0 && well < h.at { // nothing that was sent since speaks against it
			p.waitTill = max(p.waitTill, h.at+min(n.Wait, mostWait))
		}
	}
}

// judge says what each zone's relays are to take a destination for. What one relay sees may be its own link, and what one zone
// sees may be that zone's: a verdict takes two witnesses in the zone that it is for, or witnesses in two zones and none there who
// says otherwise. Evidence ages out; a relay's own goes before all this.
func (l *Ledger) judge(now time.Duration, k Key, p *pot, all []*holder) {
	type seen struct {
		down, well int
		at, wellAt time.Duration
		alone      *holder
	}
	zones := map[int]*seen{}
	var down, well, in int
	for _, h := range all {
		n, z := h.needs[k], zones[h.zone]
		if z == nil {
			z = &seen{at: -1 << 62, wellAt: -1 << 62}
			zones[h.zone] = z
		}
		switch at := h.at - n.Seen; {
		case n.State == Down && now-at <= freshFor:
			if z.down == 0 {
				in++
			}
			down, z.down, z.at, z.alone = down+1, z.down+1, max(z.at, at), h
		case n.State == Well && now-at <= newsFor:
			well, z.well, z.wellAt = well+1, z.well+1, max(z.wellAt, at)
		}
	}
	for no, z := range zones {
		was := p.zones[no]
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
			is, at = Well, z.wellAt
		}
		if z.down == 1 && z.well >= 3 {
			l.Odd[z.alone.name]++
		}
		if p.zones[no], p.seenAt[no] = is, at; is != was {
			for _, h := range all {
				h.news = h.news || h.zone == no
			}
		}
	}
	for no := range p.zones {
		if zones[no] == nil {
			delete(p.zones, no)
			delete(p.seenAt, no)
			delete(p.tries, no)
		}
	}
	l.turns(now, k, p, all)
}

// turns says whose turn it is to try what is down, one relay a zone: it goes round, so that one that is dead costs a turn.
func (l *Ledger) turns(now time.Duration, k Key, p *pot, all []*holder) {
	if now < p.tryTill {
		return
	}
	p.tryTill = now + tryFor
	p.turn++
	for no, s := range p.zones {
		for _, h := range all {
			h.news = h.news || h.name == p.tries[no]
		}
		delete(p.tries, no)
		if s != Down {
			continue
		}
		var can []*holder
		for _, h := range all {
			if h.zone == no && h.needs[k].Want > 0 {
				can = append(can, h)
			}
		}
		if len(can) > 0 {
			h := can[p.turn%len(can)]
			p.tries[no], h.news = h.name, true
		}
	}
}

// part is what a relay is told of a key beside its part.
func (l *Ledger) part(now time.Duration, h *holder, k Key) Part {
	t := Part{Key: k}
	p := l.pots[k]
	if p == nil {
		return t
	}
	if p.limit > 0 {
		t.Limit, t.Told = p.limit, now-p.limitAt
	}
	if s := p.zones[h.zone]; s != Unseen {
		t.State, t.Seen = s, now-p.seenAt[h.zone]
	}
	t.Wait = max(0, p.waitTill-now)
	t.Try = p.tries[h.zone] == h.name
	return t
}
