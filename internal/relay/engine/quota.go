package engine

import (
	"slices"
	"strconv"
	"time"

	"mastusher/control"
)

// Observation is what the module has seen and needs of a destination or a tenant, with a name that is the same at all relays.
type Observation struct {
	control.Observation
	Name string
}

// Observe has tell called with what the module has seen and needs, and what the core has counted, from the core's own goroutine: it must
// not wait, nor keep the counts. The core counts from the first look on.
func (c *Core) Observe(tell func([]Observation, map[string]uint64)) { c.queue <- observe{tell} }

// observe is a request for what the module has seen.
type observe struct {
	tell func([]Observation, map[string]uint64)
}

func (o observe) apply(c *Core, now time.Time) {
	var all []Observation
	for _, s := range c.policy.Observations(c.clock(now), nil) {
		switch d := c.destinations[s.Endpoint]; {
		case s.Endpoint == 0:
			if s.Tenant < len(c.settings.TenantNames) {
				all = append(all, Observation{s, c.settings.TenantNames[s.Tenant]})
			}
		case d == nil: // it has left the list
		case s.SeparateRoute:
			all = append(all, Observation{s, d.front.name + " " + d.Name})
		default: // a partner has one limit, whichever endpoint is called
			all = append(all, Observation{s, d.front.name + " #" + strconv.Itoa(d.Partner)})
		}
	}
	if c.counters == nil {
		c.counters = counters{}
	}
	o.tell(all, c.counters)
}

// GrantQuota has the module spend what the fleet has leased to it from the next turn on, until a time; done is called after that turn.
func (c *Core) GrantQuota(s control.SharedLimits, until time.Time, done func()) {
	c.queue <- quotaGranted{s, until, done}
}

// quotaGranted is what the fleet leases to this relay.
type quotaGranted struct {
	control.SharedLimits
	until time.Time
	done  func()
}

// on is the grant on the module's clock.
func (g quotaGranted) on(c *Core) *control.SharedLimits {
	limits := g.SharedLimits
	limits.LeaseExpiry = c.clock(g.until)
	return &limits
}

func (g quotaGranted) apply(c *Core, _ time.Time) {
	c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.SharedLimitsUpdated, Shared: g.on(c)})
	if g.done != nil {
		c.notifications = append(c.notifications, g.done)
	}
}

// floorWithoutLease is what a relay spends of each limit while it may not act, of 1: none would read as a limit that nobody knows.
const floorWithoutLease = 1e-9

// WithoutLease is what the module is granted instead of s while the relay may not act: next to nothing of each limit. What it decided meanwhile
// would wait, and all of it go out at once when the relay may act again, beyond the relay's share. What others have seen it is told as ever.
func WithoutLease(s control.SharedLimits) control.SharedLimits {
	s.GuaranteedShare, s.KeepsGuaranteed = floorWithoutLease, true
	s.Grants = slices.Clone(s.Grants)
	for i := range s.Grants {
		s.Grants[i].ExtraShare = 0
	}
	return s
}
