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

// Core is the relay's core as the fleet uses it where limits are shared.
type Core interface {
	Observe(tell func([]engine.Observation, map[string]uint64))
	GrantQuota(s control.SharedLimits, until time.Time, done func())
}

// observedKey names what a key stands for at this relay.
type observedKey struct {
	name   string
	tenant int // -1: a destination's
	at     uint32
}

// observationsPerLease is how often in a lease the core's demands are observed.
const observationsPerLease = 8

// observeCore asks the core for its demands. They come with an event, or not at all where this relay can't keep up.
func (f *Fleet) observeCore() {
	f.core.Observe(func(all []engine.Observation, counted map[string]uint64) {
		demands, keys := demandsOf(all)
		f.observedKeys.Store(&keys)
		counts := make(map[quota.Key]uint64, len(counted))
		for _, name := range slices.Sorted(maps.Keys(counted)) {
			if len(counts) < quota.MaxCounters { // the same ones each time
				counts[quota.KeyOf(quota.Counter, name)] = counted[name]
			}
		}
		for _, ev := range [...]node.Event{{Demands: &demands}, {Counters: &counts}} {
			select {
			case f.events <- ev:
			default:
			}
		}
	})
}

// demandsOf converts a core's observations to demands, MaxKeys of them at most: those of the largest value.
func demandsOf(all []engine.Observation) ([]quota.Demand, map[quota.Key]observedKey) {
	list, keys := make([]quota.Demand, 0, len(all)), make(map[quota.Key]observedKey, len(all))
	for _, s := range all {
		n := quota.Demand{Rate: s.Demand, Value: s.Value, Limit: s.Limit, LimitAge: s.LimitAge, StateAge: s.HealthAge, Wait: s.RetryAfter}
		at := observedKey{s.Name, -1, s.Endpoint}
		if n.Key = quota.KeyOf(quota.Destination, s.Name); s.Endpoint == 0 {
			n.Key, at.tenant = quota.KeyOf(quota.Tenant, s.Name), s.Tenant
		}
		switch {
		case s.Unhealthy:
			n.State = quota.Down
		case s.Healthy:
			n.State = quota.Healthy
		}
		list, keys[n.Key] = append(list, n), at
	}
	if len(list) > quota.MaxKeys {
		slices.SortStableFunc(list, func(a, b quota.Demand) int { return cmp.Compare(b.Rate*b.Value, a.Rate*a.Value) })
		list = list[:quota.MaxKeys]
	}
	return list, keys
}

// setMandate hands the core a new mandate. While it is halted it spends next to nothing, so that nothing is decided that would go out
// all at once afterwards: from the moment when it is halted, and until the last before it goes on.
func (f *Fleet) setMandate(s node.Mandate) {
	halted := s.Halted
	if f.halted && halted == 0 {
		f.halted = false
		f.grantQuota()
	}
	f.applyMandate(s, Times{f.startedAt}, func() {
		if halted != 0 {
			f.post(node.Event{HaltedFor: halted})
		}
	})
	if !f.halted && halted != 0 {
		f.halted = true
		f.grantQuota()
	}
}

// setLease makes the core go by a new quota lease.
func (f *Fleet) setLease(s *quota.Lease) {
	f.lease, f.leaseAt = s, f.now()
	f.grantQuota()
}

// grantQuota hands the core what it may spend now by the newest lease.
func (f *Fleet) grantQuota() {
	s := f.lease
	if s == nil {
		return
	}
	var keys map[quota.Key]observedKey
	if known := f.observedKeys.Load(); known != nil {
		keys = *known
	}
	out := sharedLimits(s, keys, f.now()-f.leaseAt)
	if f.halted {
		out = engine.WithoutLease(out)
	}
	goes := [2]uint64{s.Term, s.Number}
	f.core.GrantQuota(out, Times{f.startedAt}.At(s.Expires), func() { f.post(node.Event{ConfirmedLease: &goes}) })
}

// sharedLimits converts a lease of some time ago for the core; ages and waits are as of now.
func sharedLimits(s *quota.Lease, keys map[quota.Key]observedKey, ago time.Duration) control.SharedLimits {
	out := control.SharedLimits{GuaranteedShare: s.Minimum, KeepsGuaranteed: s.MinimumLasts}
	for _, p := range s.Shares {
		at, ok := keys[p.Key]
		if !ok {
			continue
		}
		r := control.Grant{Endpoint: at.at, ExtraShare: p.Extra, Limit: p.Limit, LimitAge: p.LimitAge + ago, Unhealthy: p.State == quota.Down,
			Healthy: p.State == quota.Healthy, HealthAge: p.StateAge + ago, RetryAfter: max(p.Wait-ago, 0), MayProbe: p.MayProbe}
		if at.tenant >= 0 {
			r = control.Grant{Tenant: at.tenant, ExtraShare: p.Extra}
		}
		out.Grants = append(out.Grants, r)
	}
	return out
}

// quotaStatus is the lease that the core goes by, for operators.
func (f *Fleet) quotaStatus() *node.QuotaStatus {
	s := f.lease
	if s == nil {
		return nil
	}
	r := &node.QuotaStatus{LeaseNumber: s.Number, Minimum: s.Minimum, Left: max(s.Expires-f.now(), 0)}
	keys := f.observedKeys.Load()
	for _, p := range s.Shares {
		x := node.KeyQuota{Name: f.nameOf(keys, p.Key), Share: s.Minimum + p.Extra, Limit: p.Limit, State: p.State.String(), MayProbe: p.MayProbe}
		if r.Left == 0 {
			x.Share = s.Minimum
		}
		r.Keys = append(r.Keys, x)
	}
	return r
}

func (f *Fleet) nameOf(keys *map[quota.Key]observedKey, k quota.Key) string {
	if keys != nil {
		if at, ok := (*keys)[k]; ok && at.tenant >= 0 {
			return "tenant " + at.name
		} else if ok {
			return at.name
		}
	}
	return k.String()
}
