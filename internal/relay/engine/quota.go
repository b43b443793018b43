package engine

import (
	"slices"
	"strconv"
	"time"

	"mastusher/control"
)

// Observation is the module's observed limits and demand of a destination or a tenant.
type Observation struct {
	control.Observation
	Name string // the same at all relays: of the tenant, of front and destination, or of front and partner as "FRONT #NUMBER"
}

// Observe requests a call of report in the next turn, with the module's observations and the core's counters. The core's goroutine calls
// report: it must not block, and must neither keep nor change the counters, which belong to the core. Counting starts with the first call
// of Observe, which may be called from any goroutine.
func (c *Core) Observe(report func(observations []Observation, counts map[string]uint64)) {
	c.queue <- observe{report}
}

// observe is the event that requests a report; see Observe.
type observe struct {
	report func([]Observation, map[string]uint64)
}

func (o observe) apply(core *Core, now time.Time) {
	var all []Observation
	for _, s := range core.policy.Observations(core.moduleTime(now), nil) {
		switch d := core.destinations[s.Endpoint]; {
		case s.Endpoint == 0:
			if s.Tenant < len(core.settings.TenantNames) {
				all = append(all, Observation{s, core.settings.TenantNames[s.Tenant]})
			}
		case d == nil: // it has left the list
		case s.SeparateRoute:
			all = append(all, Observation{s, d.front.name + " " + d.Name})
		default: // one limit for all endpoints of the partner
			all = append(all, Observation{s, d.front.name + " #" + strconv.Itoa(d.Partner)})
		}
	}
	if core.counters == nil {
		core.counters = counters{}
	}
	o.report(all, core.counters)
}

// GrantQuota sets, from the next turn on, this relay's leased share of the limits that relays have in common. The lease ends at until,
// which replaces limits.LeaseExpiry. done, unless nil, is called by the core's goroutine after that turn and must not block.
func (c *Core) GrantQuota(limits control.SharedLimits, until time.Time, done func()) {
	c.queue <- quotaGranted{limits, until, done}
}

// quotaGranted is the event that the fleet has leased a share of its limits to this relay.
type quotaGranted struct {
	control.SharedLimits
	until time.Time
	done  func()
}

// onModuleClock returns the granted limits, with the lease's expiry on the module's clock.
func (g quotaGranted) onModuleClock(c *Core) *control.SharedLimits {
	limits := g.SharedLimits
	limits.LeaseExpiry = c.moduleTime(g.until)
	return &limits
}

func (g quotaGranted) apply(core *Core, _ time.Time) {
	core.moduleEvents = append(core.moduleEvents, control.Event{Kind: control.SharedLimitsUpdated, Shared: g.onModuleClock(core)})
	if g.done != nil {
		core.notifications = append(core.notifications, g.done)
	}
}

// shareWithoutLease is the fraction of each limit that the module may use while the relay may not act. It is not 0, which would mean that
// the limit is unknown.
const shareWithoutLease = 1e-9

// WithoutLease returns the limits to grant to the module, in place of limits, while the relay may not act: almost nothing of each.
// Otherwise the attempts that the module decides on meanwhile would queue up, and start all at once when the relay may act again, beyond
// its share. Other relays' observations of the limits are kept.
func WithoutLease(limits control.SharedLimits) control.SharedLimits {
	limits.GuaranteedShare, limits.KeepsGuaranteed = shareWithoutLease, true
	limits.Grants = slices.Clone(limits.Grants)
	for i := range limits.Grants {
		limits.Grants[i].ExtraShare = 0
	}
	return limits
}
