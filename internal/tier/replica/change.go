package replica

import (
	"encoding/json"
	"slices"
)

// closeBehind is the number of committed entries that a member may lack and still count as caught up.
const closeBehind = 32

// wish takes over the members that the group is to have.
func (r *Replica) wish(members []Member) {
	if len(members) == 0 {
		return
	}
	r.wanted = make([]Member, 0, len(members))
	for _, member := range members {
		if member.ID != "" && r.findWanted(member.ID) == nil {
			r.wanted = append(r.wanted, member)
		}
	}
}

// advanceChange moves the group one step towards the wanted members: one change is in flight at a time, and none begins
// before an entry of the own epoch is committed, so that majorities before and after each change have a member in common.
func (r *Replica) advanceChange() {
	if len(r.wanted) == 0 || r.ownership.resigning || r.isAsWanted() {
		return
	}
	if !r.isOpen() {
		return
	}
	if r.groups.newest().index > r.commit {
		return
	}
	members := r.nextMembers()
	if members == nil || !r.canCommit(members) {
		return
	}
	data, err := json.Marshal(members)
	if err != nil {
		return
	}
	r.groups = append(r.groups, newGroup(r.log.last()+1, members))
	r.refreshPeers()
	r.appendOwn(ConfChange, data)
}

// isAsWanted tells whether the group has the wanted members and no others.
func (r *Replica) isAsWanted() bool {
	members := r.groups.newest().members
	if len(members) != len(r.wanted) {
		return false
	}
	for i := range members {
		wanted := r.findWanted(members[i].ID)
		if wanted == nil || *wanted != members[i] {
			return false
		}
	}
	return true
}

// changeSteps are the ways to come nearer to the wanted members, the first that applies is taken.
var changeSteps = [...]func(*Replica) []Member{
	(*Replica).dropLearner,
	(*Replica).addLearner,
	(*Replica).updateAddress,
	(*Replica).dropSilentVoter,
	(*Replica).promoteLearner,
	(*Replica).dropVoter,
}

// nextMembers is the list after the next step, or nil if there is none now.
func (r *Replica) nextMembers() []Member {
	for _, step := range changeSteps {
		if members := step(r); members != nil {
			return members
		}
	}
	return nil
}

// addLearner takes in a wanted member that is missing.
func (r *Replica) addLearner() []Member {
	newest := r.groups.newest()
	for _, wanted := range r.wanted {
		if newest.find(wanted.ID) == nil {
			wanted.Learner = true
			return append(slices.Clone(newest.members), wanted)
		}
	}
	return nil
}

// updateAddress takes over the wanted address of a member.
func (r *Replica) updateAddress() []Member {
	newest := r.groups.newest()
	for _, wanted := range r.wanted {
		member := newest.find(wanted.ID)
		if member == nil || member.Address == wanted.Address {
			continue
		}
		members := slices.Clone(newest.members)
		for i := range members {
			if members[i].ID == wanted.ID {
				members[i].Address = wanted.Address
			}
		}
		return members
	}
	return nil
}

// promoteLearner gives a vote to a wanted voter that has caught up. Where it comes for a voter of which this owner can't tell
// yet whether it still answers, it waits until that is known: one that doesn't is to go first.
func (r *Replica) promoteLearner() []Member {
	if r.hasUnknownLeaver() {
		return nil
	}
	for _, p := range r.ownership.peers {
		if p.learner && r.wantsVoter(p.id) && r.isCaughtUp(p) {
			return r.withLearner(p.id, false)
		}
	}
	return nil
}

// hasUnknownLeaver tells whether a voter is not wanted that has neither answered this owner nor been silent for long enough.
func (r *Replica) hasUnknownLeaver() bool {
	return slices.ContainsFunc(r.ownership.peers, func(p *peer) bool {
		return !p.learner && !r.wantsVoter(p.id) && !p.answered && r.hears(p)
	})
}

// dropLearner removes a learner that is not wanted.
func (r *Replica) dropLearner() []Member {
	for _, p := range r.ownership.peers {
		if p.learner && r.findWanted(p.id) == nil {
			return r.without(p.id)
		}
	}
	return nil
}

// dropSilentVoter removes an unwanted voter that does not answer, once one that is to come has caught up and can vote in its
// place: a vote more beside the silent one would make the majority larger by one that answers. Each such pair is exchanged as
// soon as it is ready, so that a successor that is slow, or lost too, keeps none of the others waiting.
func (r *Replica) dropSilentVoter() []Member {
	for _, p := range r.ownership.peers {
		if p.learner || r.wantsVoter(p.id) || r.hears(p) {
			continue
		}
		if r.hasSuccessor() {
			return r.withoutVote(p.id)
		}
	}
	return nil
}

// dropVoter removes a voter that is not wanted once all wanted voters are in; this member is the last to go.
func (r *Replica) dropVoter() []Member {
	newest := r.groups.newest()
	for _, wanted := range r.wanted {
		if !wanted.Learner && !newest.votes(wanted.ID) {
			return nil
		}
	}
	for _, p := range r.ownership.peers {
		if !p.learner && !r.wantsVoter(p.id) {
			return r.withoutVote(p.id)
		}
	}
	if newest.votes(r.options.ID) && !r.wantsVoter(r.options.ID) {
		return r.withoutVote(r.options.ID)
	}
	return nil
}

// withoutVote is the list without a voter, or with it as a learner if that is wanted.
func (r *Replica) withoutVote(id string) []Member {
	if r.findWanted(id) != nil {
		return r.withLearner(id, true)
	}
	return r.without(id)
}

func (r *Replica) without(id string) []Member {
	members := slices.Clone(r.groups.newest().members)
	return slices.DeleteFunc(members, func(member Member) bool { return member.ID == id })
}

func (r *Replica) withLearner(id string, learner bool) []Member {
	members := slices.Clone(r.groups.newest().members)
	for i := range members {
		if members[i].ID == id {
			members[i].Learner = learner
		}
	}
	return members
}

func (r *Replica) findWanted(id string) *Member {
	for i := range r.wanted {
		if r.wanted[i].ID == id {
			return &r.wanted[i]
		}
	}
	return nil
}

func (r *Replica) wantsVoter(id string) bool {
	wanted := r.findWanted(id)
	return wanted != nil && !wanted.Learner
}

// hasSuccessor tells whether a voter may go without being missed: the group has more than it is to have, or just as many and
// a wanted one has caught up and gets its vote next.
func (r *Replica) hasSuccessor() bool {
	wantedVoters, ready := 0, false
	for _, wanted := range r.wanted {
		if wanted.Learner {
			continue
		}
		wantedVoters++
		p := findPeer(r.ownership.peers, wanted.ID)
		ready = ready || p != nil && p.learner && r.isCaughtUp(p)
	}
	voters := r.groups.newest().voters
	return voters > wantedVoters || voters == wantedVoters && ready
}

// isCaughtUp tells whether a peer answers and has all but the newest entries. It must have the newest list of members,
// since a member without one has no vote.
func (r *Replica) isCaughtUp(p *peer) bool {
	return r.hears(p) && p.match > 0 && p.match >= r.groups.newest().index && p.match+closeBehind >= r.commit
}

// canCommit tells whether a majority of the voters among members answers at present.
func (r *Replica) canCommit(members []Member) bool {
	next := newGroup(0, members)
	answering := 0
	for i := range members {
		if members[i].Learner {
			continue
		}
		p := findPeer(r.ownership.peers, members[i].ID)
		if members[i].ID == r.options.ID || p != nil && r.hears(p) {
			answering++
		}
	}
	return next.voters > 0 && answering >= next.majority()
}

// caughtUp lists the members that have all but the newest entries.
func (r *Replica) caughtUp() map[string]bool {
	members := map[string]bool{r.options.ID: true}
	for _, p := range r.ownership.peers {
		if r.isCaughtUp(p) {
			members[p.id] = true
		}
	}
	return members
}
