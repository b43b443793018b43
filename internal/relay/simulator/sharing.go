package simulator

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/fleet/quota"
)

// Sharing is how the relays of a world share limits: by the ledger and the purses that the daemon runs, over a network that is
// slow and loses.
type Sharing struct {
	Kept  float64 // of each limit, that is relays' own
	Lease Span
	Drift float64
	Delay Span    // of a message, up to twice that
	Loss  float64 // share of messages
	Serve bool    // relays that hear nothing go on with their floors; otherwise they send nothing
}

// DefaultSharing is what a fleet on one site has.
func DefaultSharing() Sharing {
	return Sharing{Kept: 0.25, Lease: Span(2 * time.Second), Drift: 0.01, Delay: Span(2 * time.Millisecond), Loss: 0.01, Serve: true}
}

// Sharer is a policy that takes part in sharing.
type Sharer interface {
	Observations(now time.Duration, out []control.Observation) []control.Observation
}

// sharing is the fleet's side while a world is played. One relay leads; when it is down another does, after a while.
type sharing struct {
	Sharing
	on      bool
	ledger  *quota.Allocator
	leads   int32
	term    uint64
	leadsAt time.Duration // nobody leads before
	purses  []*quota.Lessee
	lives   []uint64
	sights  []map[quota.Key]uint32
	names   []string
	posts   []post
	free    []int32
	bytes   int64
}

// post is a message between relays that is under way.
type post struct {
	relay  int32
	life   uint64
	sent   time.Duration // of the ping
	report *quota.Request
	allot  *quota.Grant
}

const (
	pingsALease = 8
	electionFor = time.Second
	pingBytes   = 28 + 12 + 60 // of a ping or its answer, without what is shared
)

// Share has the relays share limits from the start on. It must be called before Play, and the policy be a Sharer.
func (r *Run) Share(s Sharing) {
	x := &r.share
	x.Sharing, x.on, x.term, x.leadsAt = s, true, 1, r.now
	for i := range r.relays {
		x.purses, x.lives, x.sights = append(x.purses, &quota.Lessee{ServeAlone: s.Serve}), append(x.lives, 1), append(x.sights, nil)
		x.names = append(x.names, string([]byte{'r', byte('0' + i/1000%10), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)}))
		r.q.put(r.now+time.Duration(i)*time.Duration(s.Lease)/time.Duration(pingsALease*len(r.relays)), doPing, int32(i), 0)
	}
}

// reborn has a relay that is started again forget what it was lent.
func (x *sharing) reborn(i int32) {
	if x.on {
		x.purses[i] = &quota.Lessee{ServeAlone: x.Serve}
		x.lives[i]++
	}
}

func (x *sharing) put(r *Run, p post, do what) {
	x.bytes += pingBytes
	if r.rng.Float64() < x.Loss || r.silent(p.relay) {
		return
	}
	n := int32(len(x.posts))
	if k := len(x.free); k > 0 {
		n, x.free = x.free[k-1], x.free[:k-1]
		x.posts[n] = p
	} else {
		x.posts = append(x.posts, p)
	}
	r.q.put(r.now+time.Duration(float64(x.Delay)*(1+r.rng.Float64())), do, n, 0)
}

func (x *sharing) take(n int32) post {
	p := x.posts[n]
	x.posts[n] = post{}
	x.free = append(x.free, n)
	return p
}

// silent tells whether a relay hears nothing of the others now.
func (r *Run) silent(i int32) bool { return int(i) < r.mute }

// ping has a relay say what it needs, and asks for more time.
func (r *Run) ping(i int32) {
	x := &r.share
	r.q.put(r.now+time.Duration(x.Lease)/pingsALease, doPing, i, 0)
	p, ok := r.relays[i].policy.(Sharer)
	if r.relays[i].down || !ok {
		return
	}
	var needs []quota.Demand
	x.sights[i] = map[quota.Key]uint32{}
	for _, s := range p.Observations(r.now, nil) {
		if s.Endpoint == 0 {
			continue
		}
		e := &r.ends[s.Endpoint-1]
		k := quota.Key(1<<20 + e.partner)
		if s.SeparateRoute {
			k = quota.Key(s.Endpoint)
		}
		n := quota.Demand{Key: k, Rate: s.Demand, Value: s.Value, Limit: s.Limit, LimitAge: s.LimitAge, StateAge: s.HealthAge, Wait: s.RetryAfter}
		switch {
		case s.Unhealthy:
			n.State = quota.Down
		case s.Healthy:
			n.State = quota.Healthy
		}
		if len(needs) < quota.MaxKeys {
			needs, x.sights[i][k] = append(needs, n), s.Endpoint
		}
	}
	x.purses[i].SetDemands(needs)
	report := x.purses[i].NextRequest(r.now, int(i)%r.W.Net.Zones)
	x.bytes += int64(len(report.Demands) + len(report.LeasedShares) + 20)
	x.put(r, post{relay: i, life: x.lives[i], sent: r.now, report: report}, doReport)
}

// reported is where a ping comes to whoever leads, who answers it.
func (r *Run) reported(n int32) {
	x := &r.share
	p := x.take(n)
	if r.relays[x.leads].down || r.silent(x.leads) { // another comes to lead
		x.ledger = nil
		for i := range r.relays {
			if !r.relays[i].down && !r.silent(int32(i)) {
				x.leads, x.leadsAt = int32(i), r.now+electionFor
				x.term++
				break
			}
		}
	}
	if r.now < x.leadsAt || r.relays[x.leads].down {
		return
	}
	if x.ledger == nil {
		over := time.Duration(float64(x.Lease)*(1+x.Drift)) + time.Millisecond
		x.ledger = quota.NewAllocator(quota.Options{MinimumSum: x.Kept, LeaseDuration: over, ServeAlone: x.Serve}, x.term, r.now)
		x.ledger.SetRoster(x.names)
	}
	x.ledger.HandleRequest(r.now, x.names[p.relay], p.life, p.report)
	a := x.ledger.Grant(r.now, r.now, x.names[p.relay])
	if a == nil {
		return
	}
	x.bytes += int64(len(a.Shares) + 10)
	x.put(r, post{relay: p.relay, life: p.life, sent: p.sent, allot: a}, doAllot)
}

// allotted is where an answer comes to its relay.
func (r *Run) allotted(n int32) {
	x := &r.share
	p := x.take(n)
	if r.relays[p.relay].down || p.life != x.lives[p.relay] {
		return
	}
	s := x.purses[p.relay].HandleGrant(p.sent+time.Duration(float64(x.Lease)*(1-x.Drift)), p.allot)
	if s == nil {
		return
	}
	out := &control.SharedLimits{GuaranteedShare: s.Minimum, LeaseExpiry: s.Expires, KeepsGuaranteed: s.MinimumLasts}
	for _, part := range s.Shares {
		if e, ok := x.sights[p.relay][part.Key]; ok {
			out.Grants = append(out.Grants, control.Grant{Endpoint: e, ExtraShare: part.Extra, Limit: part.Limit, LimitAge: part.LimitAge, Unhealthy: part.State == quota.Down,
				Healthy: part.State == quota.Healthy, HealthAge: part.StateAge, RetryAfter: part.Wait, MayProbe: part.MayProbe})
		}
	}
	r.tell(p.relay, control.Event{Kind: control.SharedLimitsUpdated, Shared: out})
	x.purses[p.relay].Confirm(s.Term, s.Number) // its turn comes before anything that it says
}
