package control

import (
	"errors"
	"fmt"
	"slices"
)

var (
	errOtherSettings        = errors.New("control: snapshot was taken under other settings: want the same number of latency buckets and of kinds")
	errInconsistentSnapshot = errors.New("control: snapshot is inconsistent: an id or index refers to nothing, or a table has the wrong size")
)

// Restore returns a sender that continues from a snapshot. The settings must be those under which the snapshot was taken. Restore fails
// if the snapshot has another version, was evidently taken under other settings, or refers to something that it does not contain.
func Restore(set Settings, snap *Snapshot) (*Sender, error) {
	if snap.Version != SnapshotVersion {
		return nil, fmt.Errorf("control: snapshot has version %d, want %d", snap.Version, SnapshotVersion)
	}
	s, err := New(set, snap.RandomState)
	if err != nil {
		return nil, err
	}
	if !s.bucketsMatch(snap.AllLatencies) || len(snap.Kinds) != len(s.kinds) {
		return nil, errOtherSettings
	}
	s.restoreValues(snap)
	r := &restorer{sender: s, snap: snap}
	for _, c := range snap.Calls {
		r.calls = append(r.calls, &call{pending: c.Pending, capacity: c.Capacity})
	}
	for _, step := range []func() error{r.destinations, r.lists, r.messages, r.queues} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// restorer turns the ids and indices of a snapshot into pointers. Its methods run in an order in which a pointer's target exists first.
type restorer struct {
	sender  *Sender
	snap    *Snapshot
	calls   []*call
	removed []*endpointState
}

// bucketsMatch reports whether t has as many buckets as the tables of s.
func (s *Sender) bucketsMatch(t LatencySnapshot) bool { return len(t.Counts) == len(s.bounds) }

// restoreValues restores everything that refers to no destination, endpoint, message or call.
func (s *Sender) restoreValues(snap *Snapshot) {
	s.now, s.steps, s.lastSeq = snap.Now, snap.Steps, snap.Seq
	s.slotsInUse, s.openMessages, s.callsToUnhealthy = snap.SlotsInUse, snap.OpenMessages, snap.CallsToUnhealthy
	s.retryBudget, s.retryTimes, s.slotStarved = snap.Budget, snap.RetryTimes, snap.SlotStarved
	s.wakeAt, s.subscribeAt, s.subscribeBackoff = snap.WakeAt, snap.SubscribeAt, snap.SubscribeBackoff
	s.allLatencies = snap.AllLatencies.restore()
	for i, kind := range snap.Kinds {
		s.kinds[i] = kindState{connectionsShortUntil: kind.ConnectionsShortUntil, retryGap: kind.RetryGap}
	}
	for i := range min(len(snap.Quotas), len(s.quotas)) {
		quota, from := &s.quotas[i], snap.Quotas[i]
		quota.tokens, quota.refilledAt, quota.extraShare, quota.demand = from.Tokens, from.RefilledAt, from.ExtraShare, from.Demand.restore()
		if from.Rate > 0 || from.Total > 0 { // older snapshots lack these, and the values of the settings stay
			quota.rate, quota.total = from.Rate, from.Total
		}
	}
	if l := snap.Lease; l != nil {
		s.lease = &lease{guaranteedShare: l.GuaranteedShare, expiry: l.Expiry, keepsGuaranteed: l.KeepsGuaranteed}
	}
}

// destinations restores all destinations with their routes and endpoints, but without queued messages and those in flight.
func (r *restorer) destinations() error {
	s := r.sender
	for _, from := range r.snap.Destinations {
		dest := s.destinationOf(from.ID)
		dest.callsInFlight, dest.active, dest.demand, dest.latencies = from.Calls, from.Active, from.Demand.restore(), from.Latencies.restore()
		dest.plan.expected, dest.poolStale, dest.pooledAt = slices.Clone(from.ExpectedTimes), from.PoolStale, from.PooledAt
		dest.solvedStep, dest.maxRate = from.SolvedStep, from.MaxRate
		for _, route := range from.Routes {
			dest.routes = append(dest.routes, route.restore(dest))
		}
		for _, e := range from.Endpoints {
			if e.Route < 0 || e.Route >= len(dest.routes) || !s.bucketsMatch(e.Own) || e.KindIndex < 0 || e.KindIndex >= len(s.kinds) {
				return errInconsistentSnapshot
			}
			endpoint := &endpointState{id: e.ID, zone: e.Zone, kind: e.Kind, kindIndex: e.KindIndex,
				destination: dest, route: dest.routes[e.Route], state: e.State, own: e.Own.restore(), pooled: e.Pooled.restore(),
				callStep: e.CallStep, call: r.call(e.Call), idleConnection: e.IdleConnection, removedAt: e.RemovedAt}
			dest.endpoints = append(dest.endpoints, endpoint)
			s.endpoints[e.ID] = endpoint
		}
	}
	return nil
}

// lists restores the lists of active destinations, idle endpoints and removed endpoints.
func (r *restorer) lists() error {
	s := r.sender
	for _, id := range r.snap.Active {
		dest := s.destinations[id]
		if dest == nil {
			return errInconsistentSnapshot
		}
		s.active = append(s.active, dest)
	}
	for _, id := range r.snap.IdleEndpoints {
		endpoint := s.endpoints[id]
		if endpoint == nil {
			return errInconsistentSnapshot
		}
		s.idleEndpoints = append(s.idleEndpoints, endpoint)
	}
	for _, e := range r.snap.RemovedEndpoints {
		dest := s.destinations[e.Destination]
		if dest == nil {
			dest = &destinationState{id: e.Destination}
		}
		r.removed = append(r.removed, &endpointState{id: e.ID, zone: e.Zone, destination: dest})
	}
	return nil
}

func (r *restorer) messages() error {
	s := r.sender
	for _, m := range r.snap.Messages {
		dest := s.destinations[m.Destination]
		if dest == nil || m.Class < 0 || m.Class >= len(s.settings.Classes) {
			return errInconsistentSnapshot
		}
		has := func(bit uint8) bool { return m.Flags>>bit&1 != 0 }
		s.messages[m.ID] = &message{id: m.ID, seq: m.Seq, key: m.Key, class: &s.settings.Classes[m.Class], destination: dest,
			deadline: m.Deadline, targetAt: m.TargetAt, value: m.Value, rank: m.Rank, attempts: m.Attempts,
			ranAt: m.RanAt, ranOn: r.endpoint(m.RanEndpoint),
			inFlightOn: r.endpoint(m.InFlightEndpoint), sentAt: m.SentAt, call: r.call(m.Call), plannedTime: m.PlannedTime,
			ended: has(0), cancelled: has(1), planTimeout: has(2), isRetry: has(3), wasThrottled: has(4)}
	}
	return nil
}

// queues restores the queues of destinations and keys, and the messages in flight at each endpoint.
func (r *restorer) queues() (err error) {
	list := func(ids []uint64) (all []*message) {
		for _, id := range ids {
			msg := r.sender.messages[id]
			if msg == nil {
				err = errInconsistentSnapshot
				return nil
			}
			all = append(all, msg)
		}
		return all
	}
	for _, from := range r.snap.Destinations {
		dest := r.sender.destinations[from.ID]
		dest.queue = list(from.Queued)
		for i, e := range from.Endpoints {
			dest.endpoints[i].inFlight = list(e.InFlight)
		}
	}
	for _, key := range r.snap.KeyQueues {
		r.sender.keyQueues[key.Key] = &keyQueue{messages: list(key.Queue), blockedUntil: key.BlockedUntil}
	}
	return err
}

// call returns the call with index i; nil: none.
func (r *restorer) call(i int) *call {
	if i < 0 || i >= len(r.calls) {
		return nil
	}
	return r.calls[i]
}

// endpoint returns the endpoint for a number as in MessageSnapshot.RanEndpoint; nil: none.
func (r *restorer) endpoint(n int64) *endpointState {
	if i := int(-2 - n); n <= -2 && i < len(r.removed) {
		return r.removed[i]
	}
	if n < 0 {
		return nil
	}
	return r.sender.endpoints[uint32(n)]
}

func (x RouteSnapshot) restore(dest *destinationState) *routeState {
	return &routeState{id: x.ID, destination: dest, health: health(x.Health), healthSince: x.HealthSince, failedAt: x.FailedAt,
		failureStreak: x.FailureStreak, refusalStreak: x.RefusalStreak, resetStreak: x.ResetStreak, neverRan: x.NeverRan,
		inFlight: x.InFlight, lateCalls: x.LateCalls, newestDelivered: x.NewestDelivered,
		deliveries: x.Deliveries.restore(), sends: x.Sends.restore(), rateBeforeOutage: x.RateBeforeOutage,
		tokens: x.Tokens, refilledAt: x.RefilledAt, rateLimit: x.RateLimit, waitUntil: x.WaitUntil, lastWait: x.LastWait,
		retryAt: x.RetryAt, refusedAt: x.RefusedAt,
		reportedLimit: x.ReportedLimit, reportedRemaining: x.ReportedRemaining, reportedAt: x.ReportedAt, extraShare: x.ExtraShare,
		unhealthyAtPeers: x.Flags&1 != 0, isProbeTurn: x.Flags&2 != 0, ejectedByPeers: x.Flags&4 != 0}
}

func (x LatencySnapshot) restore() latencyTable {
	return latencyTable{counts: slices.Clone(x.Counts), total: x.Total, failed: x.Failed, decayedAt: x.DecayedAt}
}

func (x RateSnapshot) restore() rateMeter {
	return rateMeter{count: x.Count, updatedAt: x.UpdatedAt, startedAt: x.StartedAt}
}
