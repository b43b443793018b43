package engine

import (
	"slices"
	"strconv"
	"time"

	"mastusher/control"
)

// Observation is what the module has seen and needs of a destination or a tenant.
type Observation struct {
	control.Observation
	Name string // the same at all relays: a tenant's, or front and destination, or front and "#" with the partner's number
}

// Observe has report called, in the next turn, with what the module has seen and needs, and with what the core has counted. The core's
// goroutine calls it: it must not block, and must not keep or change the counts, which are the core's own. Counting starts with the first
// call of Observe. It may be called from any goroutine.
func (c *Core) Observe(report func(observations []Observation, counts map[string]uint64)) {
	c.queue <- observe{report}
}

// observe is a request for what the module has seen.
type observe struct {
	report func([]Observation, map[string]uint64)
}

func (o observe) apply(core *Core, now time.Time) {
	var all []Observation
	for _, s := range core.policy.Observations(core.clock(now), nil) {
		switch d := core.destinations[s.Endpoint]; {
		case s.Endpoint == 0:
			if s.Tenant < len(core.settings.TenantNames) {
				all = append(all, Observation{s, core.settings.TenantNames[s.Tenant]})
			}
		case d == nil: // it has left the list
		case s.SeparateRoute:
			all = append(all, Observation{s, d.front.name + " " + d.Name})
		default: // a partner has one limit, whichever endpoint is called
			all = append(all, Observation{s, d.front.name + " #" + strconv.Itoa(d.Partner)})
		}
	}
	if core.counters == nil {
		core.counters = counters{}
	}
	o.report(all, core.counters)
}

// GrantQuota has the module spend from the next turn on what the fleet has leased to this relay, until the lease ends. done, unless nil, is
// called by the core's goroutine after that turn and must not block. The LeaseExpiry of limits is ignored: until takes its place.
func (c *Core) GrantQuota(limits control.SharedLimits, until time.Time, done func()) {
	c.queue <- quotaGranted{limits, until, done}
}

// quotaGranted is what the fleet leases to this relay.
type quotaGranted struct {
	control.SharedLimits
	until time.Time
	done  func()
}

// on returns the grant with its expiry on the module's clock.
func (g quotaGranted) on(c *Core) *control.SharedLimits {
	limits := g.SharedLimits
	limits.LeaseExpiry = c.clock(g.until)
	return &limits
}

func (g quotaGranted) apply(core *Core, _ time.Time) {
	core.moduleEvents = append(core.moduleEvents, control.Event{Kind: control.SharedLimitsUpdated, Shared: g.on(core)})
	if g.done != nil {
		core.notifications = append(core.notifications, g.done)
	}
}

// shareWithoutLease is the share of each limit, of 1, that the module may spend while the relay may not act: 0 would mean a limit that nobody
// knows.
const shareWithoutLease = 1e-9

// WithoutLease returns what the module is granted in place of limits while the relay may not act: next to nothing of each limit. What the
// module decided meanwhile would wait, and be sent all at once when the relay may act again, beyond its share. The evidence of other relays
// stays in it.
func WithoutLease(limits control.SharedLimits) control.SharedLimits {
	limits.GuaranteedShare, limits.KeepsGuaranteed = shareWithoutLease, true
	limits.Grants = slices.Clone(limits.Grants)
	for i := range limits.Grants {
		limits.Grants[i].ExtraShare = 0
	}
	return limits
}
