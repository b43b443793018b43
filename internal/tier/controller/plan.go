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

// reportAge is how old a store's report on its groups may be for a decision.
const reportAge = time.Second

// Facts is what a plan is made from.
type Facts struct {
	Status  replica.Status      // of the configuration shard's group
	Members []membership.Member // of the tier, by name
	Agreed  *Machine
}

// Plan is what is to be done now.
type Plan struct {
	Members  []replica.Member // that the configuration shard's group is to have; nil: as it is
	Commands []Command        // to be agreed on
	Ask      []string         // addresses of stores that are to report on the groups that they own
}

// Planner finds out, again and again, which members the groups are to have and which machines have been emptied. It does
// no I/O and reads no clock.
type Planner struct {
	copies  int // replicas of each group
	watch   *placement.Watch
	reports map[int]report // by shard
}

// report is what the owner of a shard told last.
type report struct {
	at    time.Time // when it was asked for
	group decommission.Group
}

// NewPlanner returns a planner for groups of so many replicas.
func NewPlanner(copies int) *Planner {
	return &Planner{copies: copies, watch: placement.NewWatch(), reports: map[int]report{}}
}

// Watch returns what the planner knows of the members.
func (p *Planner) Watch() *placement.Watch { return p.watch }

// Report takes in what a store has told of the groups that it owns, when asked at that time.
func (p *Planner) Report(asked time.Time, answer wire.ShardMembersResponse) {
	for _, told := range answer.Shards {
		known, ok := p.reports[told.Shard]
		if ok && (known.group.Epoch > told.Term || known.group.Epoch == told.Term && known.at.After(asked)) {
			continue
		}
		p.reports[told.Shard] = report{at: asked, group: decommission.Group{Epoch: told.Term, Placement: told.Placement,
			Members: told.IDs, CaughtUp: told.CaughtUp}}
	}
}

// Tick tells what is to be done at this time. Only the group's owner has anything to do; all others watch.
func (p *Planner) Tick(now time.Time, facts Facts) Plan {
	owned := uint64(0)
	if facts.Status.IsLeader {
		owned = facts.Status.Term
	}
	p.watch.Observe(now, facts.Members, owned)
	if owned == 0 {
		clear(p.reports)
		return Plan{}
	}
	plan := Plan{Members: p.own(now, facts.Status)}
	if place := p.place(now, facts.Agreed); place != nil {
		plan.Commands = append(plan.Commands, Command{Place: place})
		return plan
	}
	open := facts.Agreed.retirements.Open()
	for _, retirement := range open {
		if p.isEmptied(now, retirement, facts.Agreed.Placement()) {
			plan.Commands = append(plan.Commands, Command{Retired: p.decision(retirement, facts.Agreed)})
		}
	}
	if len(open) > 0 {
		plan.Ask = p.addresses()
	}
	return plan
}

// own keeps the configuration shard's group on the controllers: members that are gone for good are replaced by controllers
// that run. A member that answers the owner isn't gone, whatever membership says of it: after a cold start parts of the members
// may not know each other yet. Without anything to put in its place a member that is gone stays.
func (p *Planner) own(now time.Time, status replica.Status) []replica.Member {
	isLost := p.watch.LostHolders(now, membership.Controller, holdersOf(status.Members))
	var kept, lost []replica.Member
	for _, m := range status.Members {
		if m.ID != status.ID && isLost[m.ID] && !status.CaughtUp[m.ID] {
			lost = append(lost, m)
			continue
		}
		kept = append(kept, m)
	}
	kept = p.withoutExcess(kept, status.ID)
	for _, m := range p.watch.Running(membership.Controller) {
		known := slices.ContainsFunc(kept, func(o replica.Member) bool { return o.ID == m.ID })
		if len(kept) < p.copies && !known {
			kept = append(kept, replica.Member{ID: m.ID, Address: m.Address})
		}
	}
	// Those that stay are the ones that were last seen to run: they most likely come back.
	slices.SortStableFunc(lost, func(a, b replica.Member) int {
		sinceA, _ := p.watch.AbsentSince(a.ID)
		sinceB, _ := p.watch.AbsentSince(b.ID)
		return sinceB.Compare(sinceA)
	})
	missing := max(0, min(p.copies, len(status.Members))-len(kept))
	return voters(append(kept, lost[:min(missing, len(lost))]...))
}

// withoutExcess drops members beyond the copies: a successor that has been taken in stands for the member that has been
// missing for the longest time, and isn't needed any more where none is.
func (p *Planner) withoutExcess(kept []replica.Member, self string) []replica.Member {
	for len(kept) > p.copies {
		at := p.dispensable(kept, self)
		if at < 0 {
			return kept
		}
		kept = slices.Delete(kept, at, at+1)
	}
	return kept
}

// dispensable finds the member to be dropped first, other than this one: the one that has been missing for the longest time,
// else one that has no vote yet. It returns -1 if there is neither.
func (p *Planner) dispensable(members []replica.Member, self string) int {
	at := -1
	var longest time.Time
	for i, m := range members {
		since, missing := p.watch.AbsentSince(m.ID)
		if missing && m.ID != self && (at < 0 || since.Before(longest)) {
			at, longest = i, since
		}
	}
	if at >= 0 {
		return at
	}
	return slices.IndexFunc(members, func(m replica.Member) bool { return m.Learner && m.ID != self })
}

// voters returns the members as those that are all to have a vote.
func voters(members []replica.Member) []replica.Member {
	for i := range members {
		members[i].Learner = false
	}
	return members
}

func holdersOf(members []replica.Member) []placement.Holder {
	holders := make([]placement.Holder, len(members))
	for i, m := range members {
		holders[i] = placement.Holder{ID: m.ID, Address: m.Address}
	}
	return holders
}

// place makes the first placement, or the next one where replicas are lost, missing or to leave their machines.
func (p *Planner) place(now time.Time, agreed *Machine) *Place {
	place := &Place{Base: agreed.placementIndex, Retirements: agreed.retirementsIndex}
	stores := agreed.usable(p.watch.Stores())
	if place.Base == 0 {
		if !p.watch.MayBegin(now) {
			return nil
		}
		place.Shards = placement.First(stores, p.copies)
		if place.Shards == nil {
			return nil
		}
		return place
	}
	next, changed := placement.Next(agreed.placement, placement.Situation{Stores: stores,
		Lost: p.watch.Lost(now, agreed.placement), Retiring: agreed.retiring(), Copies: p.copies})
	if !changed {
		return nil
	}
	place.Shards = next
	return place
}

// isEmptied judges a retirement by the reports that are new enough.
func (p *Planner) isEmptied(now time.Time, retirement decommission.Retirement, placed decommission.Placement) bool {
	groups := make(map[int]decommission.Group, len(p.reports))
	for shard, told := range p.reports {
		if now.Sub(told.at) <= reportAge {
			groups[shard] = told.group
		}
	}
	return decommission.IsEmptied(retirement, placed, groups, p.copies)
}

// decision ends a retirement, with all identities that the machine is known by.
func (p *Planner) decision(retirement decommission.Retirement, agreed *Machine) *decommission.Decision {
	ids := slices.Clone(retirement.IDs)
	if store, known := p.watch.Store(retirement.Node); known && !slices.Contains(ids, store.ID) {
		ids = append(ids, store.ID)
	}
	return &decommission.Decision{Node: retirement.Node, IDs: ids, Placement: agreed.placementIndex}
}

// addresses lists the stores that run.
func (p *Planner) addresses() []string {
	var addresses []string
	for _, store := range p.watch.Stores() {
		addresses = append(addresses, store.Address)
	}
	return addresses
}
