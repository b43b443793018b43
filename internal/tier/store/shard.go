package store

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/wire"
)

// recordRetryDelay is the delay before proposing a placement's index to the group's log is retried.
const recordRetryDelay = 200 * time.Millisecond

// shard is the replica of one shard, with its state machine.
type shard struct {
	number        int
	logger        log.Logger
	group         *group.Group
	machine       *machine
	afterFunc     func(delay time.Duration, run func())
	stoppingSince time.Time // zero unless the replica is being stopped; guarded by Store.mutex

	advancingClock atomic.Bool // a proposal that advances the clock is pending

	mutex              sync.Mutex       // guards the fields below and orders calls of SetTargetMembers
	placementIndex     uint64           // of the newest placement that this store knows; 0: none
	targetMembers      []replica.Member // members by the newest placement
	lastTarget         []replica.Member // last target set while this replica was the leader; nil: none since it became one
	recordingPlacement bool             // a proposal of the index to the group's log is pending
}

// setPlacement sets the target members of the group by a placement, and reconciles.
func (s *shard) setPlacement(index uint64, target []replica.Member) {
	s.mutex.Lock()
	if index >= s.placementIndex {
		s.placementIndex, s.targetMembers = index, target
	}
	s.mutex.Unlock()
	s.reconcileMembers()
}

// onStatusChange handles a new leader, term or membership. The target of a follower is the current membership, so that it does not
// continue a change from an earlier term if it becomes the leader.
func (s *shard) onStatusChange(status replica.Status) {
	level.Info(s.logger).Log("msg", "group changed", "shard", s.number, "leader", status.Leader, "isLeader", status.IsLeader,
		"term", status.Term, "members", len(status.Members))
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

// reconcileMembers makes the group change to the members placed, if this replica is the leader. The index of a new placement is first
// recorded in the group's log, so that no later leader returns to an older placement. A leader that knows an older placement than
// the log changes nothing.
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

// onPlacementRecorded continues reconcileMembers once the index is committed, or after a delay if the proposal failed.
func (s *shard) onPlacementRecorded(_ any, err error) {
	s.mutex.Lock()
	s.recordingPlacement = false
	s.mutex.Unlock()
	if err != nil {
		s.afterFunc(recordRetryDelay, s.reconcileMembers)
		return
	}
	s.reconcileMembers()
}

// reportMembers calls done with the members of the group. They are confirmed if a linearizable read shows that this replica is still
// the leader in the same term, and that the members at the start of the read are committed and unchanged.
func (s *shard) reportMembers(done func(members wire.ShardMembers, confirmed bool)) {
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

// membersOfStatus lists the members in a status, and those that are voters and caught up.
func (s *shard) membersOfStatus(status replica.Status) wire.ShardMembers {
	members := wire.ShardMembers{Shard: s.number, Term: status.Term, Placement: s.machine.placement.Load()}
	for _, member := range status.Members {
		members.IDs = append(members.IDs, member.ID)
		if !member.Learner && status.CaughtUp[member.ID] {
			members.CaughtUp = append(members.CaughtUp, member.ID)
		}
	}
	return members
}
