package replica

import (
	"encoding/json"
	"slices"
)

// maxCaughtUpLag is the number of committed entries that a follower may lack and still count as caught up.
const maxCaughtUpLag = 32

// setTargetMembers sets the members that the group should have. Entries without an ID are ignored; of several with the same
// ID, the first is used.
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

// advanceConfChange moves the group one step towards the target members. Only one change is in flight at a time, and none
// begins before the leader has committed an entry of its own term, so that the majorities before and after each change
// overlap (thesis section 4.1, and the correction to it of 2015).
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

// matchesTarget reports whether the group has exactly the target members.
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

// confChangeSteps are the possible steps towards the target members, in order of preference. The first one that applies is
// taken.
var confChangeSteps = [...]func(*Replica) []Member{
	(*Replica).removeLearner,
	(*Replica).addLearner,
	(*Replica).updateAddress,
	(*Replica).removeInactiveVoter,
	(*Replica).promoteLearner,
	(*Replica).removeVoter,
}

// nextMembers returns the members after the next step, or nil if no step applies now.
func (r *Replica) nextMembers() []Member {
	for _, step := range confChangeSteps {
		if members := step(r); members != nil {
			return members
		}
	}
	return nil
}

// removeLearner removes a learner that is not a target member.
func (r *Replica) removeLearner() []Member {
	for _, p := range r.leadership.followers {
		if p.learner && r.findTarget(p.id) == nil {
			return r.withoutMember(p.id)
		}
	}
	return nil
}

// addLearner adds a missing target member, at first as a learner.
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

// updateAddress updates the address of a member whose target address differs.
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

// removeInactiveVoter removes or demotes a voter that is not a target voter and does not respond, once a replacement has
// caught up and can be promoted next. Promoting the replacement first would enlarge the quorum by one voter that must
// respond. Each inactive voter is removed as soon as one replacement is ready, so that a slow or lost replacement does not
// delay the others.
func (r *Replica) removeInactiveVoter() []Member {
	for _, p := range r.leadership.followers {
		if p.learner || r.isTargetVoter(p.id) || r.isActive(p) {
			continue
		}
		if r.canRemoveVoter() {
			return r.withoutVote(p.id)
		}
	}
	return nil
}

// promoteLearner promotes a learner that is a target voter and has caught up. While it is not yet known whether a voter that
// is to be removed still responds, no learner is promoted: an inactive voter must be removed first.
func (r *Replica) promoteLearner() []Member {
	if r.hasUnconfirmedDepartingVoter() {
		return nil
	}
	for _, p := range r.leadership.followers {
		if p.learner && r.isTargetVoter(p.id) && r.isCaughtUp(p) {
			return r.withLearnerFlag(p.id, false)
		}
	}
	return nil
}

// hasUnconfirmedDepartingVoter reports whether some voter that is not a target voter has not responded to this leader yet,
// but has not been silent for long enough to count as inactive either.
func (r *Replica) hasUnconfirmedDepartingVoter() bool {
	return slices.ContainsFunc(r.leadership.followers, func(p *progress) bool {
		return !p.learner && !r.isTargetVoter(p.id) && !p.hasResponded && r.isActive(p)
	})
}

// removeVoter removes or demotes a voter that is not a target voter, once all target voters have a vote. The leader removes
// itself last.
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

// withoutVote returns the members without the given voter, or with that voter as a learner if it is a target learner.
func (r *Replica) withoutVote(id string) []Member {
	if r.findTarget(id) != nil {
		return r.withLearnerFlag(id, true)
	}
	return r.withoutMember(id)
}

func (r *Replica) withoutMember(id string) []Member {
	members := slices.Clone(r.configurations.latest().members)
	return slices.DeleteFunc(members, func(member Member) bool { return member.ID == id })
}

func (r *Replica) withLearnerFlag(id string, learner bool) []Member {
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

// canRemoveVoter reports whether a voter may be removed: the group has more voters than its target, or as many and a
// replacement has caught up and will be promoted next.
func (r *Replica) canRemoveVoter() bool {
	targetVoters, replacementReady := 0, false
	for _, target := range r.targetMembers {
		if target.Learner {
			continue
		}
		targetVoters++
		p := findProgress(r.leadership.followers, target.ID)
		replacementReady = replacementReady || p != nil && p.learner && r.isCaughtUp(p)
	}
	voters := r.configurations.latest().voters
	return voters > targetVoters || voters == targetVoters && replacementReady
}

// isCaughtUp reports whether a follower responds and has all but the newest entries. It must have the entry of the latest
// configuration, since a member without a configuration neither votes nor campaigns.
func (r *Replica) isCaughtUp(p *progress) bool {
	return r.isActive(p) && p.match > 0 && p.match >= r.configurations.latest().index && p.match+maxCaughtUpLag >= r.commit
}

// hasActiveQuorum reports whether a majority of the voters among the given members responds.
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

// caughtUpMembers returns the IDs of the members that have all but the newest entries, including this leader.
func (r *Replica) caughtUpMembers() map[string]bool {
	members := map[string]bool{r.options.ID: true}
	for _, p := range r.leadership.followers {
		if r.isCaughtUp(p) {
			members[p.id] = true
		}
	}
	return members
}
