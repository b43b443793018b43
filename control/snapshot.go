package control

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// A sender's whole state as plain data: what is kept is written down, and nothing is decided here. Pointers have become
// numbers: endpoints and messages go by their ids, calls and what has left the list by their places in a list.

// SnapshotVersion changes with the meaning of a Snapshot.
const SnapshotVersion = 1

// Snapshot is all that a Sender has learned and holds, between two Steps. Settings are not part of it.
type Snapshot struct {
	Version          int                       `cbor:"1,keyasint"`
	RandomState      uint64                    `cbor:"2,keyasint"`
	Now              time.Duration             `cbor:"3,keyasint"`
	Steps            uint64                    `cbor:"4,keyasint"`
	Seq              uint64                    `cbor:"5,keyasint"`
	SlotsInUse       int                       `cbor:"6,keyasint,omitempty"`
	OpenMessages     int                       `cbor:"7,keyasint,omitempty"`
	CallsToUnhealthy int                       `cbor:"8,keyasint,omitempty"`
	Budget           float64                   `cbor:"9,keyasint"`
	RetryTimes       [2]float64                `cbor:"10,keyasint"`
	SlotStarved      bool                      `cbor:"11,keyasint,omitempty"`
	WakeAt           time.Duration             `cbor:"12,keyasint,omitempty"`
	SubscribeAt      time.Duration             `cbor:"13,keyasint,omitempty"`
	SubscribeBackoff time.Duration             `cbor:"14,keyasint,omitempty"`
	AllLatencies     LatencySnapshot           `cbor:"15,keyasint"`
	Kinds            []KindSnapshot            `cbor:"16,keyasint"`
	Destinations     []DestinationSnapshot     `cbor:"17,keyasint,omitempty"` // in the sender's order
	Active           []int                     `cbor:"18,keyasint,omitempty"` // ids of nodes, in order
	IdleEndpoints    []uint32                  `cbor:"19,keyasint,omitempty"` // ids of endpoints, in order
	RemovedEndpoints []RemovedEndpointSnapshot `cbor:"20,keyasint,omitempty"` // endpoints off the list that a message has run at
	Calls            []CallSnapshot            `cbor:"21,keyasint,omitempty"`
	Messages         []MessageSnapshot         `cbor:"22,keyasint,omitempty"` // in the order in which they were taken
	KeyQueues        []KeySnapshot             `cbor:"23,keyasint,omitempty"`
	Quotas           []QuotaSnapshot           `cbor:"24,keyasint,omitempty"` // by tenant; older snapshots have none
	Lease            *LeaseSnapshot            `cbor:"25,keyasint,omitempty"` // nil: nothing is shared
}

// LatencySnapshot is a table of call times.
type LatencySnapshot struct {
	Counts    []float64     `cbor:"1,keyasint"`
	Total     float64       `cbor:"2,keyasint"`
	Failed    float64       `cbor:"3,keyasint"`
	DecayedAt time.Duration `cbor:"4,keyasint"`
}

// RateSnapshot is a decayed rate.
type RateSnapshot struct {
	Count     float64       `cbor:"1,keyasint"`
	UpdatedAt time.Duration `cbor:"2,keyasint"`
	StartedAt time.Duration `cbor:"3,keyasint"`
}

// KindSnapshot is what was seen of a kind of destination.
type KindSnapshot struct {
	ConnectionsShortUntil time.Duration `cbor:"1,keyasint"`
	RetryGap              float64       `cbor:"2,keyasint"`
}

// QuotaSnapshot is what is left of a tenant's share.
type QuotaSnapshot struct {
	Tokens     float64       `cbor:"1,keyasint"`
	RefilledAt time.Duration `cbor:"2,keyasint"`
	ExtraShare float64       `cbor:"3,keyasint,omitempty"`
	Demand     RateSnapshot  `cbor:"4,keyasint,omitempty"`
	Rate       float64       `cbor:"5,keyasint,omitempty"` // 0 in older ones: as the settings have it
	Total      float64       `cbor:"6,keyasint,omitempty"`
}

// LeaseSnapshot is what a sender may spend of what all share.
type LeaseSnapshot struct {
	GuaranteedShare float64       `cbor:"1,keyasint,omitempty"`
	Expiry          time.Duration `cbor:"2,keyasint,omitempty"`
	KeepsGuaranteed bool          `cbor:"3,keyasint,omitempty"`
}

// DestinationSnapshot is a destination of messages, with its endpoints and limits.
type DestinationSnapshot struct {
	ID            int                `cbor:"1,keyasint"`
	Endpoints     []EndpointSnapshot `cbor:"2,keyasint,omitempty"`
	Queued        []uint64           `cbor:"3,keyasint,omitempty"` // ids of messages, in order
	Calls         int                `cbor:"4,keyasint,omitempty"`
	Active        bool               `cbor:"5,keyasint,omitempty"`
	Routes        []RouteSnapshot    `cbor:"6,keyasint,omitempty"`
	Demand        RateSnapshot       `cbor:"7,keyasint"`
	Latencies     LatencySnapshot    `cbor:"8,keyasint"`
	ExpectedTimes []float64          `cbor:"9,keyasint,omitempty"`
	PoolStale     bool               `cbor:"10,keyasint,omitempty"`
	PooledAt      time.Duration      `cbor:"11,keyasint,omitempty"`
	SolvedStep    uint64             `cbor:"12,keyasint,omitempty"`
	MaxRate       float64            `cbor:"13,keyasint,omitempty"`
}

// EndpointSnapshot is one endpoint that is on the list, or was lately.
type EndpointSnapshot struct {
	ID             uint32          `cbor:"1,keyasint"`
	Zone           int             `cbor:"2,keyasint"`
	KindIndex      int             `cbor:"3,keyasint"`
	Kind           Kind            `cbor:"4,keyasint"`
	Route          int             `cbor:"5,keyasint"` // place in its node's list
	State          State           `cbor:"6,keyasint"`
	Own            LatencySnapshot `cbor:"7,keyasint"`
	Pooled         LatencySnapshot `cbor:"8,keyasint"`
	InFlight       []uint64        `cbor:"9,keyasint,omitempty"` // ids of messages, the oldest first
	CallStep       uint64          `cbor:"10,keyasint,omitempty"`
	Call           int             `cbor:"11,keyasint"` // place in Calls; -1: none
	IdleConnection bool            `cbor:"12,keyasint,omitempty"`
	RemovedAt      time.Duration   `cbor:"13,keyasint,omitempty"`
}

// RouteSnapshot is what has one limit, one wait and one health.
type RouteSnapshot struct {
	ID                uint32        `cbor:"1,keyasint"`
	Health            uint8         `cbor:"2,keyasint"`
	FailedAt          time.Duration `cbor:"3,keyasint"`
	HealthSince       time.Duration `cbor:"4,keyasint"`
	WaitUntil         time.Duration `cbor:"5,keyasint"`
	FailureStreak     int           `cbor:"6,keyasint"`
	RefusalStreak     int           `cbor:"7,keyasint"`
	ResetStreak       int           `cbor:"8,keyasint"`
	NeverRan          bool          `cbor:"9,keyasint"`
	Deliveries        RateSnapshot  `cbor:"10,keyasint"`
	Sends             RateSnapshot  `cbor:"11,keyasint"`
	RateBeforeOutage  float64       `cbor:"12,keyasint"`
	Tokens            float64       `cbor:"13,keyasint"`
	RateLimit         float64       `cbor:"14,keyasint"`
	RefilledAt        time.Duration `cbor:"15,keyasint"`
	NewestDelivered   time.Duration `cbor:"16,keyasint"`
	RefusedAt         time.Duration `cbor:"17,keyasint"`
	ReportedAt        time.Duration `cbor:"18,keyasint"`
	RetryAt           time.Duration `cbor:"20,keyasint"`
	InFlight          int           `cbor:"21,keyasint"`
	LateCalls         int           `cbor:"22,keyasint"`
	ReportedLimit     float64       `cbor:"23,keyasint,omitempty"`
	ReportedRemaining float64       `cbor:"24,keyasint,omitempty"`
	LastWait          time.Duration `cbor:"25,keyasint,omitempty"`
	ExtraShare        float64       `cbor:"26,keyasint,omitempty"`
	Flags             uint8         `cbor:"27,keyasint,omitempty"` // down, try, heard, from the lowest bit
}

// RemovedEndpointSnapshot is an endpoint that has left the list.
type RemovedEndpointSnapshot struct {
	ID          uint32 `cbor:"1,keyasint"`
	Zone        int    `cbor:"2,keyasint"`
	Destination int    `cbor:"3,keyasint"`
}

// CallSnapshot is one slot in use, or one that a turn has left room in.
type CallSnapshot struct {
	Pending  int `cbor:"1,keyasint"`
	Capacity int `cbor:"2,keyasint"`
}

// MessageSnapshot is one message.
type MessageSnapshot struct {
	ID               uint64        `cbor:"1,keyasint"`
	Seq              uint64        `cbor:"2,keyasint"`
	Key              uint64        `cbor:"3,keyasint,omitempty"`
	Class            int           `cbor:"4,keyasint"`
	Destination      int           `cbor:"5,keyasint"`
	Deadline         time.Duration `cbor:"6,keyasint"`
	TargetAt         time.Duration `cbor:"7,keyasint"`
	Attempts         int           `cbor:"8,keyasint"`
	RanAt            time.Duration `cbor:"9,keyasint,omitempty"`
	RanEndpoint      int64         `cbor:"10,keyasint"` // id of an endpoint; below 0: -1 none, -2 the first of RemovedEndpoints
	InFlightEndpoint int64         `cbor:"11,keyasint"` // id of an endpoint; -1: none
	SentAt           time.Duration `cbor:"12,keyasint,omitempty"`
	Call             int           `cbor:"13,keyasint"` // place in Calls; -1: none
	Flags            uint8         `cbor:"14,keyasint"` // ended, called, planned, resend, refused, from the lowest bit
	PlannedTime      float64       `cbor:"15,keyasint,omitempty"`
	Value            float64       `cbor:"16,keyasint"`
	Rank             float64       `cbor:"17,keyasint"`
}

// KeySnapshot is the line of one key.
type KeySnapshot struct {
	Key          uint64        `cbor:"1,keyasint"`
	Queue        []uint64      `cbor:"2,keyasint"`
	BlockedUntil time.Duration `cbor:"3,keyasint"`
}

func (t *table) export() LatencySnapshot {
	return LatencySnapshot{slices.Clone(t.n), t.total, t.lost, t.at}
}

func (t LatencySnapshot) restore() table {
	return table{slices.Clone(t.Counts), t.Total, t.Failed, t.DecayedAt}
}

func (m meter) export() RateSnapshot  { return RateSnapshot{m.n, m.at, m.since} }
func (m RateSnapshot) restore() meter { return meter{m.Count, m.UpdatedAt, m.StartedAt} }
func bit(b bool, bit uint8) uint8     { return map[bool]uint8{true: 1 << bit}[b] }
func ids(list []*message) (all []uint64) {
	for _, m := range list {
		all = append(all, m.id)
	}
	return all
}

// Snapshot returns the sender's state, which shares nothing with it. It must not be called during a Step.
func (s *Sender) Snapshot() *Snapshot {
	x := &Snapshot{Version: SnapshotVersion, RandomState: s.rng, Now: s.now, Steps: s.steps, Seq: s.seq, SlotsInUse: s.slots, OpenMessages: s.open,
		CallsToUnhealthy: s.sick, Budget: s.budget, RetryTimes: s.again, SlotStarved: s.starved, WakeAt: s.wake, SubscribeAt: s.askAt, SubscribeBackoff: s.askGap,
		AllLatencies: s.all.export()}
	for _, k := range s.kinds {
		x.Kinds = append(x.Kinds, KindSnapshot{k.short, k.gap})
	}
	for _, q := range s.quotas {
		x.Quotas = append(x.Quotas, QuotaSnapshot{q.left, q.at, q.extra, q.asked.export(), q.rate, q.total})
	}
	if r := s.rights; r != nil {
		x.Lease = &LeaseSnapshot{r.floor, r.until, r.stays}
	}
	calls, ghosts := map[*call]int{}, map[*endpoint]int64{}
	place := func(c *call) int {
		if c == nil {
			return -1
		}
		n, ok := calls[c]
		if !ok {
			n = len(x.Calls)
			calls[c] = n
			x.Calls = append(x.Calls, CallSnapshot{c.left, c.room})
		}
		return n
	}
	for _, n := range s.order {
		ns := DestinationSnapshot{ID: n.id, Queued: ids(n.held), Calls: n.calls, Active: n.active, Demand: n.asked.export(), Latencies: n.t.export(),
			ExpectedTimes: slices.Clone(n.p.least), PoolStale: n.stale, PooledAt: n.at, SolvedStep: n.solved, MaxRate: n.most}
		for _, d := range n.dests {
			ns.Routes = append(ns.Routes, RouteSnapshot{d.id, uint8(d.health), d.failed, d.since, d.wait, d.streak, d.refused, d.resets,
				d.ranNot, d.good.export(), d.sent.export(), d.base, d.tokens, d.limit, d.tokensAt, d.newest, d.cutAt, d.toldAt,
				d.again, d.inFlight, d.lateCalls, d.total, d.share, d.rest, d.extra,
				bit(d.down, 0) | bit(d.try, 1) | bit(d.heard, 2)})
		}
		for _, e := range n.eps {
			ns.Endpoints = append(ns.Endpoints, EndpointSnapshot{e.id, e.zone, e.kindNo, e.kind, slices.Index(n.dests, e.dest),
				e.state, e.t.export(), e.mix.export(), ids(e.out), e.turn, place(e.call), e.linked, e.goneAt})
		}
		x.Destinations = append(x.Destinations, ns)
	}
	for _, n := range s.active {
		x.Active = append(x.Active, n.id)
	}
	for _, e := range s.linked {
		x.IdleEndpoints = append(x.IdleEndpoints, e.id)
	}
	at := func(e *endpoint) int64 {
		if e == nil {
			return -1
		}
		if s.eps[e.id] == e {
			return int64(e.id)
		}
		n, ok := ghosts[e]
		if !ok {
			n = -2 - int64(len(x.RemovedEndpoints))
			ghosts[e] = n
			x.RemovedEndpoints = append(x.RemovedEndpoints, RemovedEndpointSnapshot{e.id, e.zone, e.node.id})
		}
		return n
	}
	all := make([]*message, 0, len(s.msgs))
	for _, m := range s.msgs {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range all {
		class := 0
		for i := range s.set.Classes {
			if m.class == &s.set.Classes[i] {
				class = i
			}
		}
		x.Messages = append(x.Messages, MessageSnapshot{m.id, m.seq, m.key, class, m.node.id, m.deadline, m.due, m.attempts, m.ranAt,
			at(m.ranIn), at(m.on), m.sentAt, place(m.call),
			bit(m.ended, 0) | bit(m.called, 1) | bit(m.planned, 2) | bit(m.resend, 3) | bit(m.refused, 4), m.expected, m.worth, m.rank})
	}
	for key, k := range s.keys {
		x.KeyQueues = append(x.KeyQueues, KeySnapshot{key, ids(k.line), k.rest})
	}
	slices.SortFunc(x.KeyQueues, func(a, b KeySnapshot) int { return cmp.Compare(a.Key, b.Key) })
	return x
}

// Restore returns a sender that goes on from a snapshot under the settings that it was taken under. A snapshot of
// another version, or one that does not hold together, is an error.
func Restore(set Settings, x *Snapshot) (*Sender, error) {
	if x.Version != SnapshotVersion {
		return nil, fmt.Errorf("control: a snapshot of version %d, this program reads %d", x.Version, SnapshotVersion)
	}
	s, err := New(set, x.RandomState)
	if err != nil {
		return nil, err
	}
	bad := func(t LatencySnapshot) bool { return len(t.Counts) != len(s.edges) }
	if bad(x.AllLatencies) || len(x.Kinds) != len(s.kinds) {
		return nil, errors.New("control: a snapshot under other settings")
	}
	s.now, s.steps, s.seq, s.slots, s.open, s.sick = x.Now, x.Steps, x.Seq, x.SlotsInUse, x.OpenMessages, x.CallsToUnhealthy
	s.budget, s.again, s.starved, s.wake, s.askAt, s.askGap = x.Budget, x.RetryTimes, x.SlotStarved, x.WakeAt, x.SubscribeAt, x.SubscribeBackoff
	s.all = x.AllLatencies.restore()
	for i, k := range x.Kinds {
		s.kinds[i] = kindSeen{k.ConnectionsShortUntil, k.RetryGap}
	}
	for i := range min(len(x.Quotas), len(s.quotas)) {
		q, o := &s.quotas[i], x.Quotas[i]
		q.left, q.at, q.extra, q.asked = o.Tokens, o.RefilledAt, o.ExtraShare, o.Demand.restore()
		if o.Rate > 0 || o.Total > 0 {
			q.rate, q.total = o.Rate, o.Total
		}
	}
	if r := x.Lease; r != nil {
		s.rights = &rights{r.GuaranteedShare, r.Expiry, r.KeepsGuaranteed}
	}
	fault := errors.New("control: a snapshot that does not hold together")
	var calls []*call
	for _, c := range x.Calls {
		calls = append(calls, &call{c.Pending, c.Capacity})
	}
	callAt := func(n int) *call {
		if n < 0 || n >= len(calls) {
			return nil
		}
		return calls[n]
	}
	for _, ns := range x.Destinations {
		n := s.nodeOf(ns.ID)
		n.calls, n.active, n.asked, n.t = ns.Calls, ns.Active, ns.Demand.restore(), ns.Latencies.restore()
		n.p.least, n.stale, n.at, n.solved, n.most = slices.Clone(ns.ExpectedTimes), ns.PoolStale, ns.PooledAt, ns.SolvedStep, ns.MaxRate
		for _, d := range ns.Routes {
			n.dests = append(n.dests, &destination{id: d.ID, node: n, health: health(d.Health), failed: d.FailedAt, since: d.HealthSince,
				wait: d.WaitUntil, streak: d.FailureStreak, refused: d.RefusalStreak, resets: d.ResetStreak, ranNot: d.NeverRan, good: d.Deliveries.restore(),
				sent: d.Sends.restore(), base: d.RateBeforeOutage, tokens: d.Tokens, limit: d.RateLimit, tokensAt: d.RefilledAt, newest: d.NewestDelivered,
				cutAt: d.RefusedAt, toldAt: d.ReportedAt, again: d.RetryAt, inFlight: d.InFlight, lateCalls: d.LateCalls,
				total: d.ReportedLimit, share: d.ReportedRemaining, rest: d.LastWait, extra: d.ExtraShare, down: d.Flags&1 != 0, try: d.Flags&2 != 0, heard: d.Flags&4 != 0})
		}
		for _, e := range ns.Endpoints {
			if e.Route < 0 || e.Route >= len(n.dests) || bad(e.Own) || e.KindIndex < 0 || e.KindIndex >= len(s.kinds) {
				return nil, fault
			}
			o := &endpoint{id: e.ID, zone: e.Zone, kind: e.Kind, kindNo: e.KindIndex, node: n, dest: n.dests[e.Route], state: e.State,
				t: e.Own.restore(), mix: e.Pooled.restore(), turn: e.CallStep, call: callAt(e.Call), linked: e.IdleConnection, goneAt: e.RemovedAt}
			n.eps = append(n.eps, o)
			s.eps[e.ID] = o
		}
	}
	for _, id := range x.Active {
		n := s.nodes[id]
		if n == nil {
			return nil, fault
		}
		s.active = append(s.active, n)
	}
	for _, id := range x.IdleEndpoints {
		e := s.eps[id]
		if e == nil {
			return nil, fault
		}
		s.linked = append(s.linked, e)
	}
	var ghosts []*endpoint
	for _, g := range x.RemovedEndpoints {
		n := s.nodes[g.Destination]
		if n == nil {
			n = &node{id: g.Destination}
		}
		ghosts = append(ghosts, &endpoint{id: g.ID, zone: g.Zone, node: n})
	}
	at := func(n int64) *endpoint {
		if i := int(-2 - n); n <= -2 && i < len(ghosts) {
			return ghosts[i]
		}
		if n < 0 {
			return nil
		}
		return s.eps[uint32(n)]
	}
	for _, m := range x.Messages {
		n := s.nodes[m.Destination]
		if n == nil || m.Class < 0 || m.Class >= len(s.set.Classes) {
			return nil, fault
		}
		has := func(bit uint8) bool { return m.Flags>>bit&1 != 0 }
		s.msgs[m.ID] = &message{id: m.ID, seq: m.Seq, key: m.Key, class: &s.set.Classes[m.Class], node: n, deadline: m.Deadline,
			due: m.TargetAt, attempts: m.Attempts, ranAt: m.RanAt, ranIn: at(m.RanEndpoint), on: at(m.InFlightEndpoint), sentAt: m.SentAt, call: callAt(m.Call),
			ended: has(0), called: has(1), planned: has(2), resend: has(3), refused: has(4), expected: m.PlannedTime, worth: m.Value, rank: m.Rank}
	}
	list := func(ids []uint64) (all []*message) {
		for _, id := range ids {
			m := s.msgs[id]
			if m == nil {
				err = fault
				return nil
			}
			all = append(all, m)
		}
		return all
	}
	for _, ns := range x.Destinations {
		s.nodes[ns.ID].held = list(ns.Queued)
		for i, e := range ns.Endpoints {
			s.nodes[ns.ID].eps[i].out = list(e.InFlight)
		}
	}
	for _, k := range x.KeyQueues {
		s.keys[k.Key] = &keyLine{list(k.Queue), k.BlockedUntil}
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}
