package control

import (
	"math"
	"slices"
	"time"
)

// What a sender tells others that share its limits, and what it is told by them. What a part is, whether evidence is enough and
// whose turn it is to try is decided elsewhere; here it is entered as facts. Without a word of it all is as ever: equal parts.

// SharedLimits is what a sender may spend of what all senders have together, and what others have seen.
type SharedLimits struct {
	GuaranteedShare float64       `cbor:"1,keyasint,omitempty"` // of 1, of each limit
	LeaseExpiry     time.Duration `cbor:"2,keyasint,omitempty"` // Grants count before that, on the clock of Step
	KeepsGuaranteed bool          `cbor:"3,keyasint,omitempty"` // but for the floor, which has no end
	Grants          []Grant       `cbor:"4,keyasint,omitempty"` // what is not named here is at its floor
}

// Grant is one destination's, or one tenant's.
type Grant struct {
	Endpoint   uint32        `cbor:"1,keyasint,omitempty"` // one of the destination's; 0: a tenant's
	Tenant     int           `cbor:"2,keyasint,omitempty"`
	ExtraShare float64       `cbor:"3,keyasint,omitempty"` // beyond the floor, of 1
	Limit      float64       `cbor:"4,keyasint,omitempty"` // that another was told; 0: none
	LimitAge   time.Duration `cbor:"5,keyasint,omitempty"` // since that
	Unhealthy  bool          `cbor:"6,keyasint,omitempty"` // others have found it down
	Healthy    bool          `cbor:"7,keyasint,omitempty"` // it has delivered to another
	HealthAge  time.Duration `cbor:"8,keyasint,omitempty"` // since the newest evidence of that
	RetryAfter time.Duration `cbor:"9,keyasint,omitempty"` // from now on, told to another
	MayProbe   bool          `cbor:"10,keyasint,omitempty"`
}

// Observation is what a sender has seen itself of a destination, or of a tenant, and needs of it.
type Observation struct {
	Endpoint      uint32 // one of the destination's; 0: a tenant's
	SeparateRoute bool   // the endpoint is a destination of its own
	Tenant        int
	Demand        float64       // units a second
	Value         float64       // of one, in the mean of what is held
	Limit         float64       // told last; 0: none
	LimitAge      time.Duration // since that
	Unhealthy     bool          // found down by its own calls
	Healthy       bool          // it has delivered
	HealthAge     time.Duration // since the newest call which that stands on
	RetryAfter    time.Duration // told, from now on
}

// hearsayAfter is how old what a sender was told itself must be before another's word counts more.
const hearsayAfter = 2 * time.Second

// rights is what a sender was told last of what it may spend.
type rights struct {
	floor float64
	until time.Duration
	stays bool
}

// part is what a sender may spend of something, of 1.
func (s *Sender) part(extra float64) float64 {
	switch r := s.rights; {
	case r == nil:
		return 1 / float64(s.set.Peers)
	case s.now < r.until:
		return r.floor + extra
	case r.stays:
		return r.floor
	}
	return 0
}

// fair is the pace that is this sender's own under a limit.
func (s *Sender) fair(d *destination, limit float64) float64 {
	if s.rights == nil {
		return limit / float64(s.set.Peers)
	}
	return limit * s.part(d.extra)
}

// top is the pace that d must never exceed: of what it may get by hand, and of its limit where senders share that. Where others
// have found it down only the one whose turn it is tries it; the rest do so all together once a second, since that one may be dead.
func (s *Sender) top(d *destination) float64 {
	top := math.Inf(1)
	if d.node.most > 0 {
		top = s.fair(d, d.node.most/float64(len(d.node.dests)))
	}
	if s.rights == nil {
		return top
	}
	if d.total > 0 {
		top = min(top, max(s.fair(d, d.total), 1e-9))
	}
	if d.down && !d.try && d.suspect() && s.now < s.rights.until {
		top = min(top, 1/float64(s.set.Peers))
	}
	return top
}

// report takes a report of d's limit. Where limits are shared the part is there to be spent, also after a refusal.
func (s *Sender) report(d *destination, ev *Event) {
	fair := s.fair(d, ev.Limit)
	d.report(s.now, ev.Remaining, ev.Limit, fair)
	if s.rights != nil && ev.Result == Delivered {
		d.limit = max(d.limit, fair)
	}
}

// shared takes what others tell.
func (s *Sender) shared(h *SharedLimits) {
	if h == nil {
		return
	}
	s.rights = &rights{h.GuaranteedShare, h.LeaseExpiry, h.KeepsGuaranteed}
	for _, n := range s.order {
		for _, d := range n.dests {
			d.extra, d.down, d.try = 0, false, false
		}
	}
	for i := range s.quotas {
		s.quotas[i].extra = 0
	}
	for i := range h.Grants {
		r := &h.Grants[i]
		if r.Endpoint == 0 {
			if r.Tenant >= 0 && r.Tenant < len(s.quotas) {
				s.quotas[r.Tenant].extra = r.ExtraShare
			}
		} else if e := s.eps[r.Endpoint]; e != nil {
			s.heard(e.dest, r)
		}
	}
	for i := range s.quotas {
		q := &s.quotas[i]
		q.rate = q.total * s.part(q.extra)
	}
}

// heard takes one destination's part. A sender's own newer evidence goes before others' word.
func (s *Sender) heard(d *destination, r *Grant) {
	d.extra, d.down, d.try = r.ExtraShare, r.Unhealthy, r.MayProbe
	if told := s.now - r.LimitAge; r.Limit > 0 && told > d.toldAt+hearsayAfter {
		if d.total > 0 && d.limit > 0 {
			d.limit *= min(1, r.Limit/d.total)
		}
		d.total, d.share = r.Limit, max(d.share, 0.5)
	}
	if d.limit > 0 && d.refused == 0 { // a larger part is there to be spent at once
		d.limit = max(d.limit, s.fair(d, d.total))
	}
	if r.RetryAfter > 0 {
		d.wait = max(d.wait, s.now+min(r.RetryAfter, s.set.MaxRetryAfter))
	}
	switch at := s.now - r.HealthAge; {
	case r.Unhealthy && d.newest < at && !d.suspect() && d.failed < at:
		was := d.failed
		s.doubt(d, stopped)
		d.failed, d.heard = max(was, at), true
	case r.Healthy && d.health == stopped && d.failed < at:
		d.streak, d.resets, d.refused, d.again, d.heard = 0, 0, 0, 0, false
		d.tokens, d.tokensAt = s.rand(), s.now
		s.turn(d, returning)
		d.since = at
	}
}

// Observations appends what this sender has seen and needs, the destinations that are in use and then the tenants.
func (s *Sender) Observations(now time.Duration, out []Observation) []Observation {
	now = max(now, s.now)
	for _, n := range s.order {
		if !n.active && n.asked.rate(now) < 0.01 {
			continue
		}
		worth := 0.0
		for _, m := range n.held {
			worth += m.worth / float64(len(n.held))
		}
		for _, d := range n.dests {
			e := s.eps[d.id]
			if e == nil {
				if i := slices.IndexFunc(n.eps, func(o *endpoint) bool { return o.dest == d }); i >= 0 {
					e = n.eps[i]
				} else {
					continue
				}
			}
			x := Observation{Endpoint: e.id, SeparateRoute: e.kind.SeparateRoutes, Limit: d.total, LimitAge: now - d.toldAt, RetryAfter: max(d.wait-now, 0), Value: 1}
			each := float64(len(n.dests) * max(e.kind.PerCall, 1))
			if x.Demand = (n.asked.rate(now) + float64(len(n.held))/2) / each; worth > 0 {
				x.Value = worth
			}
			if d.toldAt == 0 {
				x.Limit = 0
			}
			switch {
			case d.health == stopped && !d.heard:
				x.Unhealthy, x.HealthAge = true, now-d.failed
			case d.newest > 0 && !d.suspect():
				x.Healthy, x.HealthAge = true, now-d.newest
			}
			out = append(out, x)
		}
	}
	for i := range s.quotas {
		if rate := s.quotas[i].asked.rate(now); rate > 0.01 {
			out = append(out, Observation{Tenant: i, Demand: rate, Value: 1, Limit: s.quotas[i].total})
		}
	}
	return out
}
