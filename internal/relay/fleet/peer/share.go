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

// Core is the part of engine.Core that the fleet uses if limits are shared.
type Core interface {
	// Observe has the core's goroutine call report with the observations of the control module and the counters of the core.
	Observe(report func(observations []engine.Observation, counts map[string]uint64))
	// GrantQuota has the core spend within limits until a time. The core's goroutine calls done once it does.
	GrantQuota(limits control.SharedLimits, until time.Time, done func())
}

// observedKey is the tenant or destination that a key identifies at this relay.
type observedKey struct {
	name     string
	tenant   int    // index into the settings' tenants; -1: a destination
	endpoint uint32 // id of the destination at the control module; 0 for a tenant
}

// observationsPerLease is how often the core's demands are observed within the duration of a lease.
const observationsPerLease = 8

// observeCore asks the core for its demands and counters, which are posted as events. They are dropped if the queue is full: the core's
// goroutine must not block.
func (f *Fleet) observeCore() {
	f.core.Observe(func(all []engine.Observation, counted map[string]uint64) {
		demands, keys := demandsOf(all)
		f.observedKeys.Store(&keys)
		counts := make(map[quota.Key]uint64, len(counted))
		for _, name := range slices.Sorted(maps.Keys(counted)) {
			if len(counts) < quota.MaxCounters { // in sorted order, so that the same counters are kept each time
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

// demandsOf converts a core's observations to demands, and returns what their keys identify. Of more than MaxKeys demands it keeps those
// with the largest value.
func demandsOf(all []engine.Observation) ([]quota.Demand, map[quota.Key]observedKey) {
	list, keys := make([]quota.Demand, 0, len(all)), make(map[quota.Key]observedKey, len(all))
	for _, s := range all {
		demand := quota.Demand{Rate: s.Demand, Value: s.Value, Limit: s.Limit, LimitAge: s.LimitAge, StateAge: s.HealthAge, Wait: s.RetryAfter}
		key := observedKey{s.Name, -1, s.Endpoint}
		if demand.Key = quota.KeyOf(quota.Destination, s.Name); s.Endpoint == 0 {
			demand.Key, key.tenant = quota.KeyOf(quota.Tenant, s.Name), s.Tenant
		}
		switch {
		case s.Unhealthy:
			demand.State = quota.Down
		case s.Healthy:
			demand.State = quota.Healthy
		}
		list, keys[demand.Key] = append(list, demand), key
	}
	if len(list) > quota.MaxKeys {
		slices.SortStableFunc(list, func(a, b quota.Demand) int { return cmp.Compare(b.Rate*b.Value, a.Rate*a.Value) })
		list = list[:quota.MaxKeys]
	}
	return list, keys
}

// setMandate gives the core a new mandate. While the core is halted it spends as without a lease: its limits are reduced right after it
// halts and restored right before it resumes. So it makes no decisions while halted that would all be sent at once afterwards.
func (f *Fleet) setMandate(mandate node.Mandate) {
	halted := mandate.Halted
	if f.halted && halted == 0 {
		f.halted = false
		f.grantQuota()
	}
	f.applyMandate(mandate, Times{f.startedAt}, func() {
		if halted != 0 {
			f.post(node.Event{HaltedFor: halted})
		}
	})
	if !f.halted && halted != 0 {
		f.halted = true
		f.grantQuota()
	}
}

// setLease puts a new quota lease in force.
func (f *Fleet) setLease(lease *quota.Lease) {
	f.lease, f.leaseAt = lease, f.now()
	f.grantQuota()
}

// grantQuota gives the core its limits by the newest quota lease, and confirms the lease to the node once the core has applied it.
func (f *Fleet) grantQuota() {
	lease := f.lease
	if lease == nil {
		return
	}
	var keys map[quota.Key]observedKey
	if known := f.observedKeys.Load(); known != nil {
		keys = *known
	}
	limits := sharedLimits(lease, keys, f.now()-f.leaseAt)
	if f.halted {
		limits = engine.WithoutLease(limits)
	}
	confirmed := [2]uint64{lease.Term, lease.Number}
	f.core.GrantQuota(limits, Times{f.startedAt}.At(lease.Expires), func() { f.post(node.Event{ConfirmedLease: &confirmed}) })
}

// sharedLimits converts a lease, given the time since it was received, to limits for the core. Ages and waits are as of now. Shares of keys
// that this relay has not observed are omitted.
func sharedLimits(lease *quota.Lease, keys map[quota.Key]observedKey, ago time.Duration) control.SharedLimits {
	limits := control.SharedLimits{GuaranteedShare: lease.Minimum, KeepsGuaranteed: lease.MinimumLasts}
	for _, share := range lease.Shares {
		key, ok := keys[share.Key]
		if !ok {
			continue
		}
		grant := control.Grant{Endpoint: key.endpoint, ExtraShare: share.Extra, Limit: share.Limit, LimitAge: share.LimitAge + ago,
			Unhealthy: share.State == quota.Down, Healthy: share.State == quota.Healthy, HealthAge: share.StateAge + ago,
			RetryAfter: max(share.Wait-ago, 0), MayProbe: share.MayProbe}
		if key.tenant >= 0 {
			grant = control.Grant{Tenant: key.tenant, ExtraShare: share.Extra}
		}
		limits.Grants = append(limits.Grants, grant)
	}
	return limits
}

// quotaStatus returns the current quota lease for operators; nil: there is none yet.
func (f *Fleet) quotaStatus() *node.QuotaStatus {
	lease := f.lease
	if lease == nil {
		return nil
	}
	status := &node.QuotaStatus{LeaseNumber: lease.Number, Minimum: lease.Minimum, Left: max(lease.Expires-f.now(), 0)}
	keys := f.observedKeys.Load()
	for _, share := range lease.Shares {
		key := node.KeyQuota{Name: f.nameOf(keys, share.Key), Share: lease.Minimum + share.Extra, Limit: share.Limit, State: share.State.String(),
			MayProbe: share.MayProbe}
		if status.Left == 0 {
			key.Share = lease.Minimum
		}
		status.Keys = append(status.Keys, key)
	}
	return status
}

// nameOf returns the name of a key for operators, or the key in hexadecimal if this relay has not observed it.
func (f *Fleet) nameOf(keys *map[quota.Key]observedKey, key quota.Key) string {
	if keys == nil {
		return key.String()
	}
	observed, ok := (*keys)[key]
	switch {
	case !ok:
		return key.String()
	case observed.tenant >= 0:
		return "tenant " + observed.name
	}
	return observed.name
}
