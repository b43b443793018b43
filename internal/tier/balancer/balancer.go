package balancer

import (
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// Options are the settings of a Balancer. A zero or negative number takes its default.
type Options struct {
	// Zone is the zone of this proxy. Endpoints in any other zone are charged CrossZonePenalty.
	Zone string
	// Seed seeds the random numbers. It must differ from proxy to proxy: proxies with the same seed would break ties alike and
	// end their backoffs at the same moment.
	Seed uint64
	// MaxInFlight bounds the attempts in flight to all endpoints together; default 512. A larger value admits more work before
	// requests are rejected, but lets more calls get stuck at an endpoint that stops answering.
	MaxInFlight int
	// CrossZonePenalty is the assumed extra time of a call to another zone; default 4 ms. A larger value keeps more traffic in
	// the zone, at the price of longer queues there.
	CrossZonePenalty time.Duration
}

// Defaults of the options.
const (
	defaultMaxInFlight      = 512
	defaultCrossZonePenalty = 4 * time.Millisecond
)

// Retention of the state of services and endpoints that have left the list. An endpoint that returns with the same ID in that time
// keeps its state, so that its backoff still applies.
const (
	serviceRetention  = time.Minute
	endpointRetention = time.Minute
)

// Balancer selects endpoints for one proxy, for all services. It is not safe for concurrent use.
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

// New returns a balancer without endpoints.
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

// advance sets the balancer's time, which never goes back even if the caller's clock does.
func (b *Balancer) advance(now time.Duration) { b.now = max(b.now, now) }

// nextRandom returns the next pseudorandom number in [0, 1).
func (b *Balancer) nextRandom() float64 {
	b.random += 0x9e3779b97f4a7c15
	return float64(mix(b.random)>>11) / (1 << 53)
}

// SetEndpoints replaces the list of endpoints; the caller must not modify the slice afterwards. Endpoints that are draining or have
// left the list get no new attempts; Done still accepts their attempts in flight.
func (b *Balancer) SetEndpoints(now time.Duration, list []model.Endpoint) {
	b.advance(now)
	b.unlistAll()
	for i := range list {
		e := b.upsertEndpoint(&list[i])
		if e.listed { // a duplicate in the list
			continue
		}
		e.listed, e.model = true, &list[i]
		e.service.endpoints = append(e.service.endpoints, e)
	}
	b.evictEndpoints()
	b.regroupServices()
}

// unlistAll marks every endpoint as not listed, before a new list is applied.
func (b *Balancer) unlistAll() {
	for _, svc := range b.services {
		svc.endpoints = svc.endpoints[:0]
	}
	for _, e := range b.endpoints {
		e.listed, e.ready = false, false
	}
}

// evictEndpoints drops the endpoints that left the list more than endpointRetention ago and have no attempts in flight.
func (b *Balancer) evictEndpoints() {
	for id, e := range b.endpoints {
		if e.listed {
			e.lastListedAt = b.now
		} else if len(e.inFlight) == 0 && b.now-e.lastListedAt > endpointRetention {
			delete(b.endpoints, id)
		}
	}
}

// regroupServices regroups each service's endpoints, and drops the services without endpoints for longer than serviceRetention.
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

// upsertEndpoint returns the endpoint with the ID of m, and creates it if necessary. An endpoint that has moved to another service
// counts as a new one.
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

// SetVersions sets which versions of each service may take requests, in place of the earlier ones.
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
