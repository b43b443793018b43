package controller

import (
	"slices"
	"time"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// maxReportAge is how old the status of a group may be to decide that a store is drained.
const maxReportAge = time.Second

// balanceInterval is the time from a change of the placement until a replica may move for balance. A shorter interval balances the
// stores sooner, but makes more groups change their members at a time.
const balanceInterval = 5 * time.Second

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
	Unmet         []placement.UnmetLoss
}

// Reconciler compares the observed state with the desired one: each group has as many replicas as the policy says, spread as it
// says, on machines that run, and none on stores that are being drained. It is pure: it does no I/O and reads no clock. It is not
// safe for concurrent use.
type Reconciler struct {
	policy             placement.Policy
	tracker            *placement.Tracker
	groups             map[int]groupReport // newest report of each shard's leader
	placementIndex     uint64              // index of the placement that was seen last
	placementChangedAt time.Time           // when it was seen first
}

// groupReport is the status of a group as its leader reported it.
type groupReport struct {
	at     time.Time // when it was queried
	status decommission.GroupStatus
}

// NewReconciler returns a reconciler for groups of that policy.
func NewReconciler(policy placement.Policy) *Reconciler {
	return &Reconciler{policy: policy, tracker: placement.NewTracker(), groups: map[int]groupReport{}}
}

// Tracker returns the reconciler's tracker of members.
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

// Reconcile returns the actions that are due. Only the group's leader takes any; followers only track the members.
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
	r.observePlacement(now, observed.Committed.placementIndex)
	actions := Actions{GroupMembers: r.desiredControllers(now, observed.Group), Unmet: r.policy.UnmetLosses(observed.Committed.placement)}
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
	if len(active) > 0 || r.tracker.HasUnseenStore(observed.Committed.placement) {
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
		proposal.Shards = placement.Initial(stores, r.policy)
		if proposal.Shards == nil {
			return nil
		}
		return proposal
	}
	inputs := placement.Inputs{Stores: stores, Lost: r.lostStores(now, committed.placement), Draining: committed.drainingReplicas(), Policy: r.policy}
	next, changed := placement.Next(committed.placement, inputs)
	if !changed && r.mayBalance(now, committed) {
		next, changed = placement.Balance(committed.placement, inputs)
	}
	if !changed {
		return nil
	}
	proposal.Shards = next
	return proposal
}

// observePlacement records when a placement was first seen.
func (r *Reconciler) observePlacement(now time.Time, index uint64) {
	if index != r.placementIndex {
		r.placementIndex, r.placementChangedAt = index, now
	}
}

// lostStores returns the identities of the placement's replicas that are lost. A replica that this process has never seen isn't lost
// while its group's leader reports it as caught up: that leader had contact with it within an election timeout.
func (r *Reconciler) lostStores(now time.Time, shards []view.ShardPlacement) map[string]bool {
	lost := r.tracker.Lost(now, shards)
	for number, shard := range shards {
		report, known := r.groups[number]
		if !known || now.Sub(report.at) > maxReportAge {
			continue
		}
		for _, replica := range shard.Replicas {
			if !r.tracker.HasSeen(replica.ID) && slices.Contains(report.status.CaughtUp, replica.ID) {
				delete(lost, replica.ID)
			}
		}
	}
	return lost
}

// mayBalance reports whether replicas may move only for balance: this process has led long enough to know all members, no store is
// being drained, no store with replicas is missing, none has just joined (it may be about to replace one that is detected as missing
// next), and the placement last changed at least balanceInterval ago, so that few replicas move at a time.
func (r *Reconciler) mayBalance(now time.Time, committed *StateMachine) bool {
	if !r.tracker.HasCompleteView(now, r.tracker.Term()) || now.Sub(r.placementChangedAt) < balanceInterval || len(committed.decommissions.Active()) > 0 {
		return false
	}
	return r.tracker.HasStableStores(now, committed.placement)
}

// isDrained reports whether nothing depends on a store any more, by the reports that are recent enough.
func (r *Reconciler) isDrained(now time.Time, operation decommission.Operation, current decommission.Placement) bool {
	groups := make(map[int]decommission.GroupStatus, len(r.groups))
	for shard, report := range r.groups {
		if now.Sub(report.at) <= maxReportAge {
			groups[shard] = report.status
		}
	}
	return decommission.IsDrained(operation, current, groups, r.policy.Replicas)
}

// finishDecommission returns the decision that finishes an operation, with all known identities of its machine.
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
