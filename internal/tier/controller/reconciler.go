package controller

import (
	"slices"
	"time"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/wire"
)

// maxReportAge is how old the status of a group may be to decide that a store is drained.
const maxReportAge = time.Second

// ObservedState is the input of a reconciliation.
type ObservedState struct {
	Group     replica.Status      // of the configuration shard's group, on this member
	Members   []membership.Member // all known members, by name
	Committed *StateMachine
}

// Actions are the output of a reconciliation.
type Actions struct {
	GroupMembers  []replica.Member // target members of the configuration shard's group; nil: unchanged
	Commands      []Command        // to be proposed in this order
	StoresToQuery []string         // addresses of stores to query for the status of the groups that they lead
}

// Reconciler compares the observed state with the desired one: each group has replicationFactor replicas on machines that run,
// and none on stores that are being drained. It is pure: it does no I/O and reads no clock. It is not safe for concurrent use.
type Reconciler struct {
	replicationFactor int
	tracker           *placement.Tracker
	groups            map[int]groupReport // newest report of each shard's leader
}

// groupReport is the status of a group as its leader reported it.
type groupReport struct {
	at     time.Time // when it was queried
	status decommission.GroupStatus
}

// NewReconciler returns a reconciler for groups of that many replicas.
func NewReconciler(replicationFactor int) *Reconciler {
	return &Reconciler{replicationFactor: replicationFactor, tracker: placement.NewTracker(), groups: map[int]groupReport{}}
}

// Tracker returns what the reconciler knows of the members.
func (r *Reconciler) Tracker() *placement.Tracker { return r.tracker }

// RecordGroups records the status of the groups that a store leads, as queried at that time. Reports of earlier terms and of
// earlier queries are ignored.
func (r *Reconciler) RecordGroups(queried time.Time, response wire.ShardMembersResponse) {
	for _, shard := range response.Shards {
		known, ok := r.groups[shard.Shard]
		if ok && (known.status.Term > shard.Term || known.status.Term == shard.Term && known.at.After(queried)) {
			continue
		}
		r.groups[shard.Shard] = groupReport{at: queried, status: decommission.GroupStatus{Term: shard.Term, PlacementIndex: shard.Placement,
			Members: shard.IDs, CaughtUp: shard.CaughtUp}}
	}
}

// Reconcile returns the actions that are due. Only the group's leader takes any; all other members just track.
func (r *Reconciler) Reconcile(now time.Time, observed ObservedState) Actions {
	leaderTerm := uint64(0)
	if observed.Group.IsLeader {
		leaderTerm = observed.Group.Term
	}
	r.tracker.Observe(now, observed.Members, leaderTerm)
	if leaderTerm == 0 {
		clear(r.groups)
		return Actions{}
	}
	actions := Actions{GroupMembers: r.desiredControllers(now, observed.Group)}
	if proposal := r.desiredPlacement(now, observed.Committed); proposal != nil {
		actions.Commands = append(actions.Commands, Command{Placement: proposal})
		return actions
	}
	active := observed.Committed.decommissions.Active()
	for _, operation := range active {
		if r.isDrained(now, operation, observed.Committed.Placement()) {
			actions.Commands = append(actions.Commands, Command{DecommissionDecision: r.finishDecommission(operation, observed.Committed)})
		}
	}
	if len(active) > 0 {
		actions.StoresToQuery = r.storeAddresses()
	}
	return actions
}

// desiredPlacement returns the initial placement, or the next one where replicas are lost, missing or on draining stores; nil if
// the placement stays as it is.
func (r *Reconciler) desiredPlacement(now time.Time, committed *StateMachine) *PlacementProposal {
	proposal := &PlacementProposal{BaseIndex: committed.placementIndex, DecommissionsIndex: committed.decommissionsIndex}
	stores := committed.usableStores(r.tracker.Stores())
	if proposal.BaseIndex == 0 {
		if !r.tracker.ReadyForInitial(now) {
			return nil
		}
		proposal.Shards = placement.Initial(stores, r.replicationFactor)
		if proposal.Shards == nil {
			return nil
		}
		return proposal
	}
	next, changed := placement.Next(committed.placement, placement.Inputs{Stores: stores,
		Lost: r.tracker.Lost(now, committed.placement), Draining: committed.drainingReplicas(), ReplicationFactor: r.replicationFactor})
	if !changed {
		return nil
	}
	proposal.Shards = next
	return proposal
}

// isDrained reports whether nothing depends on a store any more, by the reports that are recent enough.
func (r *Reconciler) isDrained(now time.Time, operation decommission.Operation, current decommission.Placement) bool {
	groups := make(map[int]decommission.GroupStatus, len(r.groups))
	for shard, report := range r.groups {
		if now.Sub(report.at) <= maxReportAge {
			groups[shard] = report.status
		}
	}
	return decommission.IsDrained(operation, current, groups, r.replicationFactor)
}

// finishDecommission returns the decision that ends an operation, with all identities that its machine is known by.
func (r *Reconciler) finishDecommission(operation decommission.Operation, committed *StateMachine) *decommission.Decision {
	ids := slices.Clone(operation.IDs)
	if store, known := r.tracker.Store(operation.Node); known && !slices.Contains(ids, store.ID) {
		ids = append(ids, store.ID)
	}
	return &decommission.Decision{Node: operation.Node, IDs: ids, PlacementIndex: committed.placementIndex}
}

// storeAddresses lists the addresses of the running stores.
func (r *Reconciler) storeAddresses() []string {
	var addresses []string
	for _, store := range r.tracker.Stores() {
		addresses = append(addresses, store.Address)
	}
	return addresses
}
