package balancer

import (
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// Options is what a Balancer is told at its start.
type Options struct {
	Zone             string        // of this proxy
	Seed             uint64        // differs from proxy to proxy, so that they don't act alike
	MaxInFlight      int           // calls out at once
	CrossZonePenalty time.Duration // what leaving the zone costs, as time; 0: the default
}

// Defaults of the options.
const (
	defaultSlots      = 512
	defaultZoneCharge = 4 * time.Millisecond
)

// How long what is known of those that have left the list is kept. One that comes back under its ID is the same
// incarnation: its waits still bind.
const (
	serviceKept  = time.Minute
	endpointKept = time.Minute
)

// Balancer makes the decisions of one proxy for all services. It is not safe for concurrent use.
type Balancer struct {
	options   Options
	now       time.Duration
	random    uint64
	inFlight  int // attempts out
	services  map[string]*service
	endpoints map[string]*endpoint
	versions  map[string]view.ServiceVersions
	holders   holders
}

// New returns a scheduler that knows no endpoint.
func New(options Options) *Balancer {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = defaultSlots
	}
	if options.CrossZonePenalty <= 0 {
		options.CrossZonePenalty = defaultZoneCharge
	}
	return &Balancer{
		options:   options,
		random:    mix(options.Seed + 1),
		services:  map[string]*service{},
		endpoints: map[string]*endpoint{},
		versions:  map[string]view.ServiceVersions{},
	}
}

// advance takes the time; a clock that goes back stands still.
func (s *Balancer) advance(now time.Duration) { s.now = max(s.now, now) }

// draw is the next number in [0, 1) of the scheduler's own sequence.
func (s *Balancer) draw() float64 {
	s.random += 0x9e3779b97f4a7c15
	return float64(mix(s.random)>>11) / (1 << 53)
}

// SetEndpoints takes over the whole list of endpoints, which must not be changed afterwards. Those that are draining or
// have left the list get nothing new; what they have under way still settles.
func (s *Balancer) SetEndpoints(now time.Duration, list []model.Endpoint) {
	s.advance(now)
	for _, svc := range s.services {
		svc.endpoints = svc.endpoints[:0]
	}
	for _, e := range s.endpoints {
		e.listed, e.ready = false, false
	}
	for i := range list {
		e := s.learn(&list[i])
		if e.listed { // named twice
			continue
		}
		e.listed, e.model = true, &list[i]
		e.service.endpoints = append(e.service.endpoints, e)
	}
	for id, e := range s.endpoints {
		if e.listed {
			e.listedAt = s.now
		} else if len(e.out) == 0 && s.now-e.listedAt > endpointKept {
			delete(s.endpoints, id)
		}
	}
	for name, svc := range s.services {
		svc.regroup(s.options.Seed)
		if len(svc.endpoints) > 0 {
			svc.emptyAt = s.now
		} else if s.now-svc.emptyAt > serviceKept {
			delete(s.services, name)
		}
	}
}

// learn returns the endpoint of that ID, which it makes at need.
func (s *Balancer) learn(m *model.Endpoint) *endpoint {
	cold := s.now + time.Duration(m.WarmUpLeftMs)*time.Millisecond
	if e := s.endpoints[m.ID]; e != nil && e.model.Service == m.Service {
		e.coldUntil = min(e.coldUntil, cold)
		return e
	}
	svc := s.services[m.Service]
	if svc == nil {
		svc = newService(m.Service)
		svc.setVersions(s.versions[m.Service])
		s.services[m.Service] = svc
	}
	e := &endpoint{model: m, service: svc, hash: hashString(m.ID), coldUntil: cold}
	if m.Zone != s.options.Zone {
		e.zoneCharge = s.options.CrossZonePenalty.Seconds()
	}
	e.tieBreak = float64(mix(e.hash^s.options.Seed)>>11) / (1 << 53)
	s.endpoints[m.ID] = e
	return e
}

// SetVersions takes over which versions of each service may take requests.
func (s *Balancer) SetVersions(versions []view.ServiceVersions) {
	clear(s.versions)
	for _, v := range versions {
		s.versions[v.Service] = v
	}
	for name, svc := range s.services {
		svc.setVersions(s.versions[name])
		svc.regroup(s.options.Seed)
	}
}
