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

// maxReportAge is how old a store's report on its groups may be for a decision.
const maxReportAge = time.Second

// ObservedState is what a plan is made from.
type ObservedState struct {
	Group     replica.Status      // of the configuration shard's group
	Members   []membership.Member // of the tier, by name
	Committed *StateMachine
}

// Actions is what is to be done now.
type Actions struct {
	GroupMembers  []replica.Member // that the configuration shard's group is to have; nil: as it is
	Commands      []Command        // to be agreed on
	StoresToQuery []string         // storeAddresses of stores that are to report on the groups that they own
}

// Reconciler finds out, again and again, which members the groups are to have and which machines have been emptied. It does
// no I/O and reads no clock.
type Reconciler struct {
	replicationFactor int // replicas of each group
	tracker           *placement.Tracker
	groups            map[int]groupReport // by shard
}

// groupReport is what the owner of a shard told last.
type groupReport struct {
	at     time.Time // when it was asked for
	status decommission.GroupStatus
}

// NewReconciler returns a planner for groups of so many replicas.
func NewReconciler(copies int) *Reconciler {
	return &Reconciler{replicationFactor: copies, tracker: placement.NewTracker(), groups: map[int]groupReport{}}
}

// Tracker returns what the planner knows of the members.
func (p *Reconciler) Tracker() *placement.Tracker { return p.tracker }

// RecordGroups takes in what a store has told of the groups that it owns, when asked at that time.
func (p *Reconciler) RecordGroups(asked time.Time, answer wire.ShardMembersResponse) {
	for _, told := range answer.Shards {
		known, ok := p.groups[told.Shard]
		if ok && (known.status.Term > told.Term || known.status.Term == told.Term && known.at.After(asked)) {
			continue
		}
		p.groups[told.Shard] = groupReport{at: asked, status: decommission.GroupStatus{Term: told.Term, PlacementIndex: told.Placement,
			Members: told.IDs, CaughtUp: told.CaughtUp}}
	}
}

// Reconcile tells what is to be done at this time. Only the group's owner has anything to do; all others watch.
func (p *Reconciler) Reconcile(now time.Time, facts ObservedState) Actions {
	owned := uint64(0)
	if facts.Group.IsLeader {
		owned = facts.Group.Term
	}
	p.tracker.Observe(now, facts.Members, owned)
	if owned == 0 {
		clear(p.groups)
		return Actions{}
	}
	plan := Actions{GroupMembers: p.desiredControllers(now, facts.Group)}
	if place := p.desiredPlacement(now, facts.Committed); place != nil {
		plan.Commands = append(plan.Commands, Command{Placement: place})
		return plan
	}
	open := facts.Committed.decommissions.Active()
	for _, retirement := range open {
		if p.isDrained(now, retirement, facts.Committed.Placement()) {
			plan.Commands = append(plan.Commands, Command{DecommissionDecision: p.finishDecommission(retirement, facts.Committed)})
		}
	}
	if len(open) > 0 {
		plan.StoresToQuery = p.storeAddresses()
	}
	return plan
}

// desiredControllers keeps the configuration shard's group on the controllers: members that are gone for good are replaced by controllers
// that run. A member that answers the owner isn't gone, whatever membership says of it: after a cold start parts of the members
// may not know each other yet. Without anything to put in its place a member that is gone stays.
func (p *Reconciler) desiredControllers(now time.Time, status replica.Status) []replica.Member {
	isLost := p.tracker.LostHosts(now, membership.Controller, hostsOf(status.Members))
	var kept, lost []replica.Member
	for _, m := range status.Members {
		if m.ID != status.ID && isLost[m.ID] && !status.CaughtUp[m.ID] {
			lost = append(lost, m)
			continue
		}
		kept = append(kept, m)
	}
	kept = p.dropSurplus(kept, status.ID)
	for _, m := range p.tracker.Running(membership.Controller) {
		known := slices.ContainsFunc(kept, func(o replica.Member) bool { return o.ID == m.ID })
		if len(kept) < p.replicationFactor && !known {
			kept = append(kept, replica.Member{ID: m.ID, Address: m.Address})
		}
	}
	// Those that stay are the ones that were last seen to run: they most likely come back.
	slices.SortStableFunc(lost, func(a, b replica.Member) int {
		sinceA, _ := p.tracker.MissingSince(a.ID)
		sinceB, _ := p.tracker.MissingSince(b.ID)
		return sinceB.Compare(sinceA)
	})
	missing := max(0, min(p.replicationFactor, len(status.Members))-len(kept))
	return asVoters(append(kept, lost[:min(missing, len(lost))]...))
}

// dropSurplus drops members beyond the copies: a successor that has been taken in stands for the member that has been
// missing for the longest time, and isn't needed any more where none is.
func (p *Reconciler) dropSurplus(kept []replica.Member, self string) []replica.Member {
	for len(kept) > p.replicationFactor {
		at := p.surplusMember(kept, self)
		if at < 0 {
			return kept
		}
		kept = slices.Delete(kept, at, at+1)
	}
	return kept
}

// surplusMember finds the member to be dropped first, other than this one: the one that has been missing for the longest time,
// else one that has no vote yet. It returns -1 if there is neither.
func (p *Reconciler) surplusMember(members []replica.Member, self string) int {
	at := -1
	var longest time.Time
	for i, m := range members {
		since, missing := p.tracker.MissingSince(m.ID)
		if missing && m.ID != self && (at < 0 || since.Before(longest)) {
			at, longest = i, since
		}
	}
	if at >= 0 {
		return at
	}
	return slices.IndexFunc(members, func(m replica.Member) bool { return m.Learner && m.ID != self })
}

// asVoters returns the members as those that are all to have a vote.
func asVoters(members []replica.Member) []replica.Member {
	for i := range members {
		members[i].Learner = false
	}
	return members
}

func hostsOf(members []replica.Member) []placement.Host {
	holders := make([]placement.Host, len(members))
	for i, m := range members {
		holders[i] = placement.Host{ID: m.ID, Address: m.Address}
	}
	return holders
}

// desiredPlacement makes the first placement, or the next one where replicas are lost, missing or to leave their machines.
func (p *Reconciler) desiredPlacement(now time.Time, agreed *StateMachine) *PlacementProposal {
	place := &PlacementProposal{BaseIndex: agreed.placementIndex, DecommissionsIndex: agreed.decommissionsIndex}
	stores := agreed.usableStores(p.tracker.Stores())
	if place.BaseIndex == 0 {
		if !p.tracker.ReadyForInitial(now) {
			return nil
		}
		place.Shards = placement.Initial(stores, p.replicationFactor)
		if place.Shards == nil {
			return nil
		}
		return place
	}
	next, changed := placement.Next(agreed.placement, placement.Inputs{Stores: stores,
		Lost: p.tracker.Lost(now, agreed.placement), Draining: agreed.drainingReplicas(), ReplicationFactor: p.replicationFactor})
	if !changed {
		return nil
	}
	place.Shards = next
	return place
}

// isDrained judges a retirement by the reports that are new enough.
func (p *Reconciler) isDrained(now time.Time, retirement decommission.Operation, placed decommission.Placement) bool {
	groups := make(map[int]decommission.GroupStatus, len(p.groups))
	for shard, told := range p.groups {
		if now.Sub(told.at) <= maxReportAge {
			groups[shard] = told.status
		}
	}
	return decommission.IsDrained(retirement, placed, groups, p.replicationFactor)
}

// finishDecommission ends a retirement, with all identities that the machine is known by.
func (p *Reconciler) finishDecommission(retirement decommission.Operation, agreed *StateMachine) *decommission.Decision {
	ids := slices.Clone(retirement.IDs)
	if store, known := p.tracker.Store(retirement.Node); known && !slices.Contains(ids, store.ID) {
		ids = append(ids, store.ID)
	}
	return &decommission.Decision{Node: retirement.Node, IDs: ids, PlacementIndex: agreed.placementIndex}
}

// storeAddresses lists the stores that run.
func (p *Reconciler) storeAddresses() []string {
	var addresses []string
	for _, store := range p.tracker.Stores() {
		addresses = append(addresses, store.Address)
	}
	return addresses
}
