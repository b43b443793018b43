package control

import (
	"cmp"
	"slices"
	"time"
)

// SnapshotVersion is incremented when the meaning of a Snapshot changes.
const SnapshotVersion = 1

// Snapshot is the complete state of a Sender between two Steps, without its Settings. Captures store fields by the numbers in the tags,
// here and below: a number is never reused for another field. Times are on the clock of Step.
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
	Destinations     []DestinationSnapshot     `cbor:"17,keyasint,omitempty"` // in the order in which they became known
	Active           []int                     `cbor:"18,keyasint,omitempty"` // ids of destinations, in order
	IdleEndpoints    []uint32                  `cbor:"19,keyasint,omitempty"` // ids of endpoints, in order
	RemovedEndpoints []RemovedEndpointSnapshot `cbor:"20,keyasint,omitempty"` // endpoints no longer known at which a message has run
	Calls            []CallSnapshot            `cbor:"21,keyasint,omitempty"`
	Messages         []MessageSnapshot         `cbor:"22,keyasint,omitempty"` // in order of arrival
	KeyQueues        []KeySnapshot             `cbor:"23,keyasint,omitempty"`
	Quotas           []QuotaSnapshot           `cbor:"24,keyasint,omitempty"` // by tenant; older snapshots have none
	Lease            *LeaseSnapshot            `cbor:"25,keyasint,omitempty"` // nil: limits are not shared
}

// LatencySnapshot is a latency table.
type LatencySnapshot struct {
	Counts    []float64     `cbor:"1,keyasint"`
	Total     float64       `cbor:"2,keyasint"`
	Failed    float64       `cbor:"3,keyasint"`
	DecayedAt time.Duration `cbor:"4,keyasint"`
}

// RateSnapshot is a rate meter.
type RateSnapshot struct {
	Count     float64       `cbor:"1,keyasint"`
	UpdatedAt time.Duration `cbor:"2,keyasint"`
	StartedAt time.Duration `cbor:"3,keyasint"`
}

// KindSnapshot is what has been learnt about a kind of destination.
type KindSnapshot struct {
	ConnectionsShortUntil time.Duration `cbor:"1,keyasint"`
	RetryGap              float64       `cbor:"2,keyasint"`
}

// QuotaSnapshot is a tenant's quota.
type QuotaSnapshot struct {
	Tokens     float64       `cbor:"1,keyasint"`
	RefilledAt time.Duration `cbor:"2,keyasint"`
	ExtraShare float64       `cbor:"3,keyasint,omitempty"`
	Demand     RateSnapshot  `cbor:"4,keyasint,omitempty"`
	Rate       float64       `cbor:"5,keyasint,omitempty"` // 0 in older snapshots: Restore takes it from the settings
	Total      float64       `cbor:"6,keyasint,omitempty"`
}

// LeaseSnapshot is the guaranteed share of shared limits, and the expiry of all grants.
type LeaseSnapshot struct {
	GuaranteedShare float64       `cbor:"1,keyasint,omitempty"`
	Expiry          time.Duration `cbor:"2,keyasint,omitempty"`
	KeepsGuaranteed bool          `cbor:"3,keyasint,omitempty"`
}

// DestinationSnapshot is a destination with its endpoints and routes.
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

// EndpointSnapshot is an endpoint that is on the list, or was until recently.
type EndpointSnapshot struct {
	ID             uint32          `cbor:"1,keyasint"`
	Zone           int             `cbor:"2,keyasint"`
	KindIndex      int             `cbor:"3,keyasint"`
	Kind           Kind            `cbor:"4,keyasint"`
	Route          int             `cbor:"5,keyasint"` // index into its destination's Routes
	State          State           `cbor:"6,keyasint"`
	Own            LatencySnapshot `cbor:"7,keyasint"`
	Pooled         LatencySnapshot `cbor:"8,keyasint"`
	InFlight       []uint64        `cbor:"9,keyasint,omitempty"` // ids of messages, oldest first
	CallStep       uint64          `cbor:"10,keyasint,omitempty"`
	Call           int             `cbor:"11,keyasint"` // index into Snapshot.Calls; -1: none
	IdleConnection bool            `cbor:"12,keyasint,omitempty"`
	RemovedAt      time.Duration   `cbor:"13,keyasint,omitempty"`
}

// RouteSnapshot is a route, the unit of one limit, one wait and one state of health.
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
	Flags             uint8         `cbor:"27,keyasint,omitempty"` // unhealthyAtPeers, isProbeTurn, ejectedByPeers, from the lowest bit
}

// RemovedEndpointSnapshot is an endpoint at which a message has run, but which has been deleted or was never listed.
type RemovedEndpointSnapshot struct {
	ID          uint32 `cbor:"1,keyasint"`
	Zone        int    `cbor:"2,keyasint"`
	Destination int    `cbor:"3,keyasint"`
}

// CallSnapshot is a call in flight, or one started in the last Step that still has capacity.
type CallSnapshot struct {
	Pending  int `cbor:"1,keyasint"`
	Capacity int `cbor:"2,keyasint"`
}

// MessageSnapshot is a message that has no final answer, or still has an attempt in flight.
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
	RanEndpoint      int64         `cbor:"10,keyasint"` // id of an endpoint; -1: none; -2-i: index i into Snapshot.RemovedEndpoints
	InFlightEndpoint int64         `cbor:"11,keyasint"` // likewise
	SentAt           time.Duration `cbor:"12,keyasint,omitempty"`
	Call             int           `cbor:"13,keyasint"` // index into Snapshot.Calls; -1: none
	Flags            uint8         `cbor:"14,keyasint"` // ended, cancelled, planTimeout, isRetry, wasThrottled, from the lowest bit
	PlannedTime      float64       `cbor:"15,keyasint,omitempty"`
	Value            float64       `cbor:"16,keyasint"`
	Rank             float64       `cbor:"17,keyasint"`
}

// KeySnapshot is the queue of one key.
type KeySnapshot struct {
	Key          uint64        `cbor:"1,keyasint"`
	Queue        []uint64      `cbor:"2,keyasint"`
	BlockedUntil time.Duration `cbor:"3,keyasint"`
}

// Snapshot returns the sender's state; the result shares no memory with the sender. It must not be called during a Step.
func (s *Sender) Snapshot() *Snapshot {
	export := &exporter{sender: s, calls: map[*call]int{}, removed: map[*endpointState]int64{}, snap: &Snapshot{Version: SnapshotVersion,
		RandomState: s.rngState, Now: s.now, Steps: s.steps, Seq: s.lastSeq,
		SlotsInUse: s.slotsInUse, OpenMessages: s.openMessages, CallsToUnhealthy: s.callsToUnhealthy, SlotStarved: s.slotStarved,
		Budget: s.retryBudget, RetryTimes: s.retryTimes, AllLatencies: s.allLatencies.export(),
		WakeAt: s.wakeAt, SubscribeAt: s.subscribeAt, SubscribeBackoff: s.subscribeBackoff}}
	for _, kind := range s.kinds {
		export.snap.Kinds = append(export.snap.Kinds, KindSnapshot{ConnectionsShortUntil: kind.connectionsShortUntil, RetryGap: kind.retryGap})
	}
	for _, quota := range s.quotas {
		export.snap.Quotas = append(export.snap.Quotas, QuotaSnapshot{Tokens: quota.tokens, RefilledAt: quota.refilledAt,
			ExtraShare: quota.extraShare, Demand: quota.demand.export(), Rate: quota.rate, Total: quota.total})
	}
	if l := s.lease; l != nil {
		export.snap.Lease = &LeaseSnapshot{GuaranteedShare: l.guaranteedShare, Expiry: l.expiry, KeepsGuaranteed: l.keepsGuaranteed}
	}
	for _, dest := range s.destinationOrder {
		export.snap.Destinations = append(export.snap.Destinations, export.destination(dest))
	}
	for _, dest := range s.active {
		export.snap.Active = append(export.snap.Active, dest.id)
	}
	for _, endpoint := range s.idleEndpoints {
		export.snap.IdleEndpoints = append(export.snap.IdleEndpoints, endpoint.id)
	}
	export.messages()
	export.keyQueues()
	return export.snap
}

// exporter converts a sender to plain data. Pointers become numbers: ids for messages and known endpoints, and for calls and endpoints no
// longer known the indices in lists that grow during the export. The order of traversal is part of the format.
type exporter struct {
	sender  *Sender
	snap    *Snapshot
	calls   map[*call]int            // indices of snap.Calls
	removed map[*endpointState]int64 // -2-i for index i into snap.RemovedEndpoints
}

func (x *exporter) destination(dest *destinationState) DestinationSnapshot {
	snap := DestinationSnapshot{ID: dest.id, Queued: messageIDs(dest.queue), Calls: dest.callsInFlight, Active: dest.active,
		Demand: dest.demand.export(), Latencies: dest.latencies.export(), ExpectedTimes: slices.Clone(dest.plan.expected),
		PoolStale: dest.poolStale, PooledAt: dest.pooledAt, SolvedStep: dest.solvedStep, MaxRate: dest.maxRate}
	for _, route := range dest.routes {
		snap.Routes = append(snap.Routes, route.export())
	}
	for _, endpoint := range dest.endpoints {
		snap.Endpoints = append(snap.Endpoints, EndpointSnapshot{ID: endpoint.id, Zone: endpoint.zone, KindIndex: endpoint.kindIndex,
			Kind: endpoint.kind, Route: slices.Index(dest.routes, endpoint.route), State: endpoint.state,
			Own: endpoint.own.export(), Pooled: endpoint.pooled.export(), InFlight: messageIDs(endpoint.inFlight),
			CallStep: endpoint.callStep, Call: x.call(endpoint.call), IdleConnection: endpoint.idleConnection, RemovedAt: endpoint.removedAt})
	}
	return snap
}

// messages exports the messages in order of arrival.
func (x *exporter) messages() {
	all := make([]*message, 0, len(x.sender.messages))
	for _, msg := range x.sender.messages {
		all = append(all, msg)
	}
	slices.SortFunc(all, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, msg := range all {
		class := 0
		for i := range x.sender.settings.Classes {
			if msg.class == &x.sender.settings.Classes[i] {
				class = i
			}
		}
		x.snap.Messages = append(x.snap.Messages, MessageSnapshot{ID: msg.id, Seq: msg.seq, Key: msg.key, Class: class,
			Destination: msg.destination.id, Deadline: msg.deadline, TargetAt: msg.targetAt, Attempts: msg.attempts, RanAt: msg.ranAt,
			RanEndpoint: x.endpoint(msg.ranOn), InFlightEndpoint: x.endpoint(msg.inFlightOn), SentAt: msg.sentAt, Call: x.call(msg.call),
			Flags: flagBit(msg.ended, 0) | flagBit(msg.cancelled, 1) | flagBit(msg.planTimeout, 2) | flagBit(msg.isRetry, 3) |
				flagBit(msg.wasThrottled, 4),
			PlannedTime: msg.plannedTime, Value: msg.value, Rank: msg.rank})
	}
}

// keyQueues exports the queues in order of their keys.
func (x *exporter) keyQueues() {
	for key, queue := range x.sender.keyQueues {
		x.snap.KeyQueues = append(x.snap.KeyQueues, KeySnapshot{Key: key, Queue: messageIDs(queue.messages), BlockedUntil: queue.blockedUntil})
	}
	slices.SortFunc(x.snap.KeyQueues, func(a, b KeySnapshot) int { return cmp.Compare(a.Key, b.Key) })
}

// call returns the index of c in snap.Calls, and adds c there if necessary; -1 if c is nil.
func (x *exporter) call(c *call) int {
	if c == nil {
		return -1
	}
	i, ok := x.calls[c]
	if !ok {
		i = len(x.snap.Calls)
		x.calls[c] = i
		x.snap.Calls = append(x.snap.Calls, CallSnapshot{Pending: c.pending, Capacity: c.capacity})
	}
	return i
}

// endpoint returns the number of endpoint as in MessageSnapshot.RanEndpoint.
func (x *exporter) endpoint(endpoint *endpointState) int64 {
	if endpoint == nil {
		return -1
	}
	if x.sender.endpoints[endpoint.id] == endpoint {
		return int64(endpoint.id)
	}
	n, ok := x.removed[endpoint]
	if !ok {
		n = -2 - int64(len(x.snap.RemovedEndpoints))
		x.removed[endpoint] = n
		x.snap.RemovedEndpoints = append(x.snap.RemovedEndpoints,
			RemovedEndpointSnapshot{ID: endpoint.id, Zone: endpoint.zone, Destination: endpoint.destination.id})
	}
	return n
}

func (r *routeState) export() RouteSnapshot {
	return RouteSnapshot{ID: r.id, Health: uint8(r.health), FailedAt: r.failedAt, HealthSince: r.healthSince, WaitUntil: r.waitUntil,
		FailureStreak: r.failureStreak, RefusalStreak: r.refusalStreak, ResetStreak: r.resetStreak, NeverRan: r.neverRan,
		Deliveries: r.deliveries.export(), Sends: r.sends.export(), RateBeforeOutage: r.rateBeforeOutage,
		Tokens: r.tokens, RateLimit: r.rateLimit, RefilledAt: r.refilledAt, NewestDelivered: r.newestDelivered,
		RefusedAt: r.refusedAt, ReportedAt: r.reportedAt, RetryAt: r.retryAt, InFlight: r.inFlight, LateCalls: r.lateCalls,
		ReportedLimit: r.reportedLimit, ReportedRemaining: r.reportedRemaining, LastWait: r.lastWait, ExtraShare: r.extraShare,
		Flags: flagBit(r.unhealthyAtPeers, 0) | flagBit(r.isProbeTurn, 1) | flagBit(r.ejectedByPeers, 2)}
}

func (t *latencyTable) export() LatencySnapshot {
	return LatencySnapshot{Counts: slices.Clone(t.counts), Total: t.total, Failed: t.failed, DecayedAt: t.decayedAt}
}

func (m rateMeter) export() RateSnapshot {
	return RateSnapshot{Count: m.count, UpdatedAt: m.updatedAt, StartedAt: m.startedAt}
}

// flagBit returns a byte with only the given bit set, or 0 if set is false.
func flagBit(set bool, bit uint8) uint8 {
	if set {
		return 1 << bit
	}
	return 0
}

func messageIDs(list []*message) (ids []uint64) {
	for _, msg := range list {
		ids = append(ids, msg.id)
	}
	return ids
}
