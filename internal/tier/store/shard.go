package store

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// recordRetryDelay is the time after which a group's log is told of a placement again.
const recordRetryDelay = 200 * time.Millisecond

// shard is one replica and its state.
type shard struct {
	number        int
	logger        log.Logger
	group         *group.Group
	machine       *machine
	after         func(delay time.Duration, run func())
	stoppingSince time.Time // since when it is being stopped; zero: it isn't; guarded by the store's mutex

	mutex              sync.Mutex       // orders what the group is told of its members
	placementIndex     uint64           // of the newest placement that this store knows; 0: none
	targetMembers      []replica.Member // by that placement
	lastTarget         []replica.Member // what the group was last told as its owner here; nil: nothing since it became that
	recordingPlacement bool             // the index is on its way into the group's log
}

// setPlacement takes over what a placement wants of the group.
func (s *shard) setPlacement(index uint64, wanted []replica.Member) {
	s.mutex.Lock()
	if index >= s.placementIndex {
		s.placementIndex, s.targetMembers = index, wanted
	}
	s.mutex.Unlock()
	s.reconcileMembers()
}

// onStatusChange takes notice of a change in the group. A replica that doesn't own it wants no other members than there are:
// should it become the owner, it must not go on with what it wanted before.
func (s *shard) onStatusChange(status replica.Status) {
	level.Info(s.logger).Log("msg", "group changed", "shard", s.number, "owner", status.Leader, "own", status.IsLeader,
		"epoch", status.Term, "members", len(status.Members))
	if s.group == nil {
		return
	}
	if status.IsLeader {
		s.reconcileMembers()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastTarget = nil
	s.group.SetTargetMembers(status.Members)
}

// reconcileMembers moves the group to the wanted members, if this replica owns it. The group's log is first told of a placement that is
// new to it; with an older one than the log holds, this store has nothing to say.
func (s *shard) reconcileMembers() {
	s.mutex.Lock()
	record := uint64(0)
	if followed := s.machine.placement.Load(); s.placementIndex > 0 && s.group.Status().IsLeader {
		switch {
		case s.placementIndex == followed && !slices.Equal(s.lastTarget, s.targetMembers):
			s.lastTarget = s.targetMembers
			s.group.SetTargetMembers(s.targetMembers)
		case s.placementIndex > followed && !s.recordingPlacement:
			s.recordingPlacement, record = true, s.placementIndex
		}
	}
	s.mutex.Unlock()
	if record > 0 {
		s.group.ProposeAsync(command{Placement: record}, s.onPlacementRecorded)
	}
}

// onPlacementRecorded goes on once the index is in the log. If it couldn't be brought there, it is tried again after a pause.
func (s *shard) onPlacementRecorded(_ any, err error) {
	s.mutex.Lock()
	s.recordingPlacement = false
	s.mutex.Unlock()
	if err != nil {
		s.after(recordRetryDelay, s.reconcileMembers)
		return
	}
	s.reconcileMembers()
}

// reportMembers tells done the members of the group, if a majority confirms that this replica owns it and has committed them.
func (s *shard) reportMembers(done func(told wire.ShardMembers, confirmed bool)) {
	before := s.group.Status()
	if !before.IsLeader {
		done(wire.ShardMembers{}, false)
		return
	}
	var after replica.Status
	view := func() { after = s.group.Status() }
	s.group.ReadAsync(view, func(_ any, err error) {
		confirmed := err == nil && after.IsLeader && after.Term == before.Term && after.Commit >= before.LastIndex &&
			slices.Equal(before.Members, after.Members)
		done(s.membersOfStatus(after), confirmed)
	})
}

// membersOfStatus tells the members that a status holds.
func (s *shard) membersOfStatus(status replica.Status) wire.ShardMembers {
	told := wire.ShardMembers{Shard: s.number, Term: status.Term, Placement: s.machine.placement.Load()}
	for _, member := range status.Members {
		told.IDs = append(told.IDs, member.ID)
		if !member.Learner && status.CaughtUp[member.ID] {
			told.CaughtUp = append(told.CaughtUp, member.ID)
		}
	}
	return told
}

func contains(replicas []view.Replica, id string) bool {
	return slices.ContainsFunc(replicas, func(r view.Replica) bool { return r.ID == id })
}

func membersOf(replicas []view.Replica) []replica.Member {
	members := make([]replica.Member, len(replicas))
	for i, r := range replicas {
		members[i] = replica.Member{ID: r.ID, Address: r.Address}
	}
	return members
}
