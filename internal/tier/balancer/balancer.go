package balancer

import (
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// Options are the settings of a Balancer. A zero or negative number takes its default.
type Options struct {
	// Zone is the zone of this proxy. Endpoints of any other zone cost CrossZonePenalty.
	Zone string
	// Seed starts the sequence of random draws. It must differ from proxy to proxy: with equal seeds proxies break ties and
	// come back from backoff together.
	Seed uint64
	// MaxInFlight bounds the attempts in flight to all endpoints; default 512. A larger value admits more work before requests
	// are rejected, and leaves more calls at an endpoint that stops answering.
	MaxInFlight int
	// CrossZonePenalty is the time that leaving the zone is taken to cost; default 4 ms. A larger value keeps more traffic in
	// the zone, at the price of longer queues there.
	CrossZonePenalty time.Duration
}

// Defaults of the options.
const (
	defaultMaxInFlight      = 512
	defaultCrossZonePenalty = 4 * time.Millisecond
)

// How long the state of what has left the list is retained. An endpoint that returns under its ID is the same incarnation: its
// backoff still binds.
const (
	serviceRetention  = time.Minute
	endpointRetention = time.Minute
)

// Balancer makes the decisions of one proxy for all services. It is not safe for concurrent use.
type Balancer struct {
	options    Options
	now        time.Duration
	random     uint64
	inFlight   int // attempts between Sent and Done
	services   map[string]*service
	endpoints  map[string]*endpoint
	versions   map[string]view.ServiceVersions
	lastServed affinityTable
}

// New returns a balancer that knows no endpoint.
func New(options Options) *Balancer {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	if options.CrossZonePenalty <= 0 {
		options.CrossZonePenalty = defaultCrossZonePenalty
	}
	return &Balancer{
		options:   options,
		random:    mix(options.Seed + 1),
		services:  map[string]*service{},
		endpoints: map[string]*endpoint{},
		versions:  map[string]view.ServiceVersions{},
	}
}

// advance takes the caller's time. A clock that goes back stands still here.
func (b *Balancer) advance(now time.Duration) { b.now = max(b.now, now) }

// nextRandom returns the next number in [0, 1) of the balancer's own sequence.
func (b *Balancer) nextRandom() float64 {
	b.random += 0x9e3779b97f4a7c15
	return float64(mix(b.random)>>11) / (1 << 53)
}

// SetEndpoints replaces the list of endpoints, which must not be changed afterwards. Endpoints that are draining or have left
// the list get no new attempts; Done still takes those that they have in flight.
func (b *Balancer) SetEndpoints(now time.Duration, list []model.Endpoint) {
	b.advance(now)
	b.unlistAll()
	for i := range list {
		e := b.upsertEndpoint(&list[i])
		if e.listed { // listed twice
			continue
		}
		e.listed, e.model = true, &list[i]
		e.service.endpoints = append(e.service.endpoints, e)
	}
	b.evictEndpoints()
	b.regroupServices()
}

// unlistAll takes every endpoint off the list, before the new one is applied.
func (b *Balancer) unlistAll() {
	for _, svc := range b.services {
		svc.endpoints = svc.endpoints[:0]
	}
	for _, e := range b.endpoints {
		e.listed, e.ready = false, false
	}
}

// evictEndpoints drops the endpoints that left the list long enough ago. One with attempts in flight stays until their Done.
func (b *Balancer) evictEndpoints() {
	for id, e := range b.endpoints {
		if e.listed {
			e.lastListedAt = b.now
		} else if len(e.inFlight) == 0 && b.now-e.lastListedAt > endpointRetention {
			delete(b.endpoints, id)
		}
	}
}

// regroupServices groups each service's endpoints anew, and drops the services that have been empty long enough.
func (b *Balancer) regroupServices() {
	for name, svc := range b.services {
		svc.regroup()
		if len(svc.endpoints) > 0 {
			svc.lastNonEmptyAt = b.now
		} else if b.now-svc.lastNonEmptyAt > serviceRetention {
			delete(b.services, name)
		}
	}
}

// upsertEndpoint returns the endpoint of that ID, which it creates if necessary. One that has moved to another service is a new
// endpoint.
func (b *Balancer) upsertEndpoint(m *model.Endpoint) *endpoint {
	warmUpUntil := b.now + time.Duration(m.WarmUpLeftMs)*time.Millisecond
	if e := b.endpoints[m.ID]; e != nil && e.model.Service == m.Service {
		e.warmUpUntil = min(e.warmUpUntil, warmUpUntil)
		return e
	}
	svc := b.services[m.Service]
	if svc == nil {
		svc = newService(m.Service)
		svc.setVersions(b.versions[m.Service])
		b.services[m.Service] = svc
	}
	e := &endpoint{model: m, service: svc, hash: hashString(m.ID), warmUpUntil: warmUpUntil}
	if m.Zone != b.options.Zone {
		e.zonePenalty = b.options.CrossZonePenalty.Seconds()
	}
	e.tieBreak = float64(mix(e.hash^b.options.Seed)>>11) / (1 << 53)
	b.endpoints[m.ID] = e
	return e
}

// SetVersions replaces which versions of each service may take requests.
func (b *Balancer) SetVersions(versions []view.ServiceVersions) {
	clear(b.versions)
	for _, v := range versions {
		b.versions[v.Service] = v
	}
	for name, svc := range b.services {
		svc.setVersions(b.versions[name])
		svc.regroup()
	}
}
