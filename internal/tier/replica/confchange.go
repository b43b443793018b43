package replica

import (
	"encoding/json"
	"slices"
)

// maxCaughtUpLag is the number of committed entries that a member may lack and still count as caught up.
const maxCaughtUpLag = 32

// setTargetMembers takes over the members that the group is to have. Of two with one identity the first counts.
func (r *Replica) setTargetMembers(members []Member) {
	if len(members) == 0 {
		return
	}
	r.targetMembers = make([]Member, 0, len(members))
	for _, member := range members {
		if member.ID != "" && r.findTarget(member.ID) == nil {
			r.targetMembers = append(r.targetMembers, member)
		}
	}
}

// advanceConfChange moves the group one step towards the target members: one change is in flight at a time, and none begins
// before an entry of the own term is committed, so that majorities before and after each change have a member in common
// (thesis section 4.1, and the correction to it of 2015).
func (r *Replica) advanceConfChange() {
	if len(r.targetMembers) == 0 || r.leadership.transferring || r.matchesTarget() {
		return
	}
	if !r.hasCommittedInTerm() {
		return
	}
	if r.configurations.latest().index > r.commit {
		return
	}
	members := r.nextMembers()
	if members == nil || !r.hasActiveQuorum(members) {
		return
	}
	data, err := json.Marshal(members)
	if err != nil {
		return
	}
	r.configurations = append(r.configurations, newConfiguration(r.log.lastIndex()+1, members))
	r.refreshFollowers()
	r.appendEntry(ConfChange, data)
}

// matchesTarget tells whether the group has the target members and no others.
func (r *Replica) matchesTarget() bool {
	members := r.configurations.latest().members
	if len(members) != len(r.targetMembers) {
		return false
	}
	for i := range members {
		target := r.findTarget(members[i].ID)
		if target == nil || *target != members[i] {
			return false
		}
	}
	return true
}

// confChangeSteps are the steps towards the target members, the first that applies is taken.
var confChangeSteps = [...]func(*Replica) []Member{
	(*Replica).removeLearner,
	(*Replica).addLearner,
	(*Replica).updateAddress,
	(*Replica).removeInactiveVoter,
	(*Replica).promoteLearner,
	(*Replica).removeVoter,
}

// nextMembers is the list after the next step, or nil if there is none now.
func (r *Replica) nextMembers() []Member {
	for _, step := range confChangeSteps {
		if members := step(r); members != nil {
			return members
		}
	}
	return nil
}

// removeLearner removes a learner that is no target member.
func (r *Replica) removeLearner() []Member {
	for _, p := range r.leadership.followers {
		if p.learner && r.findTarget(p.id) == nil {
			return r.without(p.id)
		}
	}
	return nil
}

// addLearner adds a target member that is missing, without a vote at first.
func (r *Replica) addLearner() []Member {
	latest := r.configurations.latest()
	for _, target := range r.targetMembers {
		if latest.find(target.ID) == nil {
			target.Learner = true
			return append(slices.Clone(latest.members), target)
		}
	}
	return nil
}

// updateAddress takes over the target's address of a member.
func (r *Replica) updateAddress() []Member {
	latest := r.configurations.latest()
	for _, target := range r.targetMembers {
		member := latest.find(target.ID)
		if member == nil || member.Address == target.Address {
			continue
		}
		members := slices.Clone(latest.members)
		for i := range members {
			if members[i].ID == target.ID {
				members[i].Address = target.Address
			}
		}
		return members
	}
	return nil
}

// removeInactiveVoter removes a voter that is no target and does not respond, once a replacement has caught up and can vote
// in its place: a further vote beside the inactive one would make the quorum larger by one that must respond. Each such pair
// is exchanged as soon as it is ready, so that a replacement that is slow, or lost too, delays none of the others.
func (r *Replica) removeInactiveVoter() []Member {
	for _, p := range r.leadership.followers {
		if p.learner || r.isTargetVoter(p.id) || r.isActive(p) {
			continue
		}
		if r.canSpareVoter() {
			return r.withoutVote(p.id)
		}
	}
	return nil
}

// promoteLearner gives a vote to a learner that is to vote and has caught up. Where it replaces a voter of which this leader
// cannot tell yet whether it still responds, it waits until that is known: an inactive one is to be removed first.
func (r *Replica) promoteLearner() []Member {
	if r.hasUnconfirmedDepartingVoter() {
		return nil
	}
	for _, p := range r.leadership.followers {
		if p.learner && r.isTargetVoter(p.id) && r.isCaughtUp(p) {
			return r.withLearner(p.id, false)
		}
	}
	return nil
}

// hasUnconfirmedDepartingVoter tells whether a voter is no target that has neither responded to this leader nor been
// inactive for long enough.
func (r *Replica) hasUnconfirmedDepartingVoter() bool {
	return slices.ContainsFunc(r.leadership.followers, func(p *progress) bool {
		return !p.learner && !r.isTargetVoter(p.id) && !p.hasResponded && r.isActive(p)
	})
}

// removeVoter removes a voter that is no target once all target voters vote; this member is the last to go.
func (r *Replica) removeVoter() []Member {
	latest := r.configurations.latest()
	for _, target := range r.targetMembers {
		if !target.Learner && !latest.isVoter(target.ID) {
			return nil
		}
	}
	for _, p := range r.leadership.followers {
		if !p.learner && !r.isTargetVoter(p.id) {
			return r.withoutVote(p.id)
		}
	}
	if latest.isVoter(r.options.ID) && !r.isTargetVoter(r.options.ID) {
		return r.withoutVote(r.options.ID)
	}
	return nil
}

// withoutVote is the list without a voter, or with it as a learner if that is the target.
func (r *Replica) withoutVote(id string) []Member {
	if r.findTarget(id) != nil {
		return r.withLearner(id, true)
	}
	return r.without(id)
}

func (r *Replica) without(id string) []Member {
	members := slices.Clone(r.configurations.latest().members)
	return slices.DeleteFunc(members, func(member Member) bool { return member.ID == id })
}

func (r *Replica) withLearner(id string, learner bool) []Member {
	members := slices.Clone(r.configurations.latest().members)
	for i := range members {
		if members[i].ID == id {
			members[i].Learner = learner
		}
	}
	return members
}

func (r *Replica) findTarget(id string) *Member {
	for i := range r.targetMembers {
		if r.targetMembers[i].ID == id {
			return &r.targetMembers[i]
		}
	}
	return nil
}

func (r *Replica) isTargetVoter(id string) bool {
	target := r.findTarget(id)
	return target != nil && !target.Learner
}

// canSpareVoter tells whether a voter may be removed without being missed: the group has more voters than its target, or
// just as many and a replacement has caught up and gets its vote next.
func (r *Replica) canSpareVoter() bool {
	targetVoters, ready := 0, false
	for _, target := range r.targetMembers {
		if target.Learner {
			continue
		}
		targetVoters++
		p := findProgress(r.leadership.followers, target.ID)
		ready = ready || p != nil && p.learner && r.isCaughtUp(p)
	}
	voters := r.configurations.latest().voters
	return voters > targetVoters || voters == targetVoters && ready
}

// isCaughtUp tells whether a follower responds and has all but the newest entries. It must have the latest configuration,
// since a member without one has no vote.
func (r *Replica) isCaughtUp(p *progress) bool {
	return r.isActive(p) && p.match > 0 && p.match >= r.configurations.latest().index && p.match+maxCaughtUpLag >= r.commit
}

// hasActiveQuorum tells whether a majority of the voters among members responds at present.
func (r *Replica) hasActiveQuorum(members []Member) bool {
	next := newConfiguration(0, members)
	active := 0
	for i := range members {
		if members[i].Learner {
			continue
		}
		p := findProgress(r.leadership.followers, members[i].ID)
		if members[i].ID == r.options.ID || p != nil && r.isActive(p) {
			active++
		}
	}
	return next.voters > 0 && active >= next.quorumSize()
}

// caughtUpMembers are the identities of the members that have all but the newest entries.
func (r *Replica) caughtUpMembers() map[string]bool {
	members := map[string]bool{r.options.ID: true}
	for _, p := range r.leadership.followers {
		if r.isCaughtUp(p) {
			members[p.id] = true
		}
	}
	return members
}
