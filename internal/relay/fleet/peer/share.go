package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// Core is what a fleet's part has to do with its relay's core, where the fleet shares limits.
type Core interface {
	Observe(tell func([]engine.Observation, map[string]uint64))
	GrantQuota(s control.SharedLimits, until time.Time, done func())
}

// sight is how a key stands at this relay.
type sight struct {
	name   string
	tenant int // -1: a destination's
	at     uint32
}

// looksEach is how often in a lease a relay's core is asked what it needs.
const looksEach = 8

// look asks the core what it needs. The answer comes with an event, or not at all where this relay can't keep up.
func (f *Fleet) look() {
	f.core.Observe(func(all []engine.Observation, counted map[string]uint64) {
		needs, sights := needs(all)
		f.sights.Store(&sights)
		counts := make(map[quota.Key]uint64, len(counted))
		for _, name := range slices.Sorted(maps.Keys(counted)) {
			if len(counts) < quota.MostCounts { // the same ones each time
				counts[quota.Of(quota.Count, name)] = counted[name]
			}
		}
		for _, ev := range [...]node.Event{{Needs: &needs}, {Counts: &counts}} {
			select {
			case f.events <- ev:
			default:
			}
		}
	})
}

// needs is what a core has seen as the fleet tells it: of what it needs the most, if that is too much.
func needs(all []engine.Observation) ([]quota.Need, map[quota.Key]sight) {
	list, sights := make([]quota.Need, 0, len(all)), make(map[quota.Key]sight, len(all))
	for _, s := range all {
		n := quota.Need{Want: s.Demand, Worth: s.Value, Limit: s.Limit, Told: s.LimitAge, Seen: s.HealthAge, Wait: s.RetryAfter}
		at := sight{s.Name, -1, s.Endpoint}
		if n.Key = quota.Of(quota.Destination, s.Name); s.Endpoint == 0 {
			n.Key, at.tenant = quota.Of(quota.Tenant, s.Name), s.Tenant
		}
		switch {
		case s.Unhealthy:
			n.State = quota.Down
		case s.Healthy:
			n.State = quota.Well
		}
		list, sights[n.Key] = append(list, n), at
	}
	if len(list) > quota.MostKeys {
		slices.SortStableFunc(list, func(a, b quota.Need) int { return cmp.Compare(b.Want*b.Worth, a.Want*a.Worth) })
		list = list[:quota.MostKeys]
	}
	return list, sights
}

// stands has the core stand as the fleet says. While it is halted it spends next to nothing, so that nothing is decided that would go out
// all at once afterwards: from the moment when it is halted, and until the last before it goes on.
func (f *Fleet) stands(s node.Stand) {
	halted := s.Halted
	if f.halted && halted == 0 {
		f.halted = false
		f.spend()
	}
	f.stand(s, Times{f.begun}, func() {
		if halted != 0 {
			f.tell(node.Event{Stopped: halted})
		}
	})
	if !f.halted && halted != 0 {
		f.halted = true
		f.spend()
	}
}

// lend has the core go by what the fleet lends this relay.
func (f *Fleet) lend(s *quota.Spend) {
	f.lent, f.lentAt = s, f.now()
	f.spend()
}

// spend tells the core what it may spend now of what this relay was lent last.
func (f *Fleet) spend() {
	s := f.lent
	if s == nil {
		return
	}
	var sights map[quota.Key]sight
	if known := f.sights.Load(); known != nil {
		sights = *known
	}
	out := shared(s, sights, f.now()-f.lentAt)
	if f.halted {
		out = engine.WithoutLease(out)
	}
	goes := [2]uint64{s.By, s.No}
	f.core.GrantQuota(out, Times{f.begun}.At(s.Until), func() { f.tell(node.Event{Goes: &goes}) })
}

// shared is what a relay was lent some time ago, as its core is told it.
func shared(s *quota.Spend, sights map[quota.Key]sight, ago time.Duration) control.SharedLimits {
	out := control.SharedLimits{GuaranteedShare: s.Floor, KeepsGuaranteed: s.Stays}
	for _, p := range s.Parts {
		at, ok := sights[p.Key]
		if !ok {
			continue
		}
		r := control.Grant{Endpoint: at.at, ExtraShare: p.Extra, Limit: p.Limit, LimitAge: p.Told + ago, Unhealthy: p.State == quota.Down,
			Healthy: p.State == quota.Well, HealthAge: p.Seen + ago, RetryAfter: max(p.Wait-ago, 0), MayProbe: p.Try}
		if at.tenant >= 0 {
			r = control.Grant{Tenant: at.tenant, ExtraShare: p.Extra}
		}
		out.Grants = append(out.Grants, r)
	}
	return out
}

// rights is what the core goes by, for operators.
func (f *Fleet) rights() *node.Rights {
	s := f.lent
	if s == nil {
		return nil
	}
	r := &node.Rights{Loan: s.No, Floor: s.Floor, Left: max(s.Until-f.now(), 0)}
	sights := f.sights.Load()
	for _, p := range s.Parts {
		x := node.Right{Name: f.nameOf(sights, p.Key), Part: s.Floor + p.Extra, Limit: p.Limit, State: p.State.String(), Try: p.Try}
		if r.Left == 0 {
			x.Part = s.Floor
		}
		r.Parts = append(r.Parts, x)
	}
	return r
}

func (f *Fleet) nameOf(sights *map[quota.Key]sight, k quota.Key) string {
	if sights != nil {
		if at, ok := (*sights)[k]; ok && at.tenant >= 0 {
			return "tenant " + at.name
		} else if ok {
			return at.name
		}
	}
	return k.String()
}
