package fleettest

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Timing of a shard's group, and the timeout of a call that a store handles.
const (
	storeHeartbeat       = 150 * time.Millisecond
	storeElectionTimeout = 600 * time.Millisecond
	storeCallTimeout     = 700 * time.Millisecond
)

// store holds the replicas of one storage machine.
type store struct {
	process *process
	id      string
	member  *member
	shards  map[int]*shard // by number
}

// openStore starts a store's process. Its shards open once the placement is known.
func openStore(p *process) (handler, error) {
	id, err := machineIdentity(p)
	if err != nil {
		return nil, err
	}
	s := &store{process: p, id: id, shards: map[int]*shard{}}
	s.member = newMember(p, id, p.machine.fleet.seeds(), s.receive)
	return s, nil
}

func (s *store) begin() { s.member.schedule() }

// receive applies a placement: it opens new shards of this store, and changes the members of the groups that the store leads.
func (s *store) receive(update view.Update) {
	if update.Section != view.PlacementSection {
		return
	}
	var placed view.Placement
	if err := json.Unmarshal(update.Body, &placed); err != nil {
		s.process.machine.fleet.report("HARNESS", "placement cannot be decoded: %v", err)
		return
	}
	for number, wanted := range placed.Shards {
		if s.isReplica(wanted) && s.shards[number] == nil {
			opened, err := openShard(s, number, wanted)
			if err != nil {
				s.process.fail(err)
				return
			}
			s.shards[number] = opened
			opened.replica.schedule()
		}
		if running := s.shards[number]; running != nil {
			running.setPlacement(update.Stamp.Sequence, membersOf(wanted.Replicas))
		}
	}
}

func (s *store) isReplica(placed view.ShardPlacement) bool {
	return containsReplica(placed.Replicas, s.id) || containsReplica(placed.Initial, s.id)
}

func containsReplica(replicas []view.Replica, id string) bool {
	for _, r := range replicas {
		if r.ID == id {
			return true
		}
	}
	return false
}

func membersOf(replicas []view.Replica) []replica.Member {
	members := make([]replica.Member, len(replicas))
	for i, r := range replicas {
		members[i] = replica.Member{ID: r.ID, Address: r.Address}
	}
	return members
}

// handleMessage implements handler.
func (s *store) handleMessage(_ string, message any) {
	envelope, ok := message.(group.Envelope)
	if !ok {
		return
	}
	number, err := strconv.Atoi(strings.TrimPrefix(envelope.Group, shardPrefix))
	if err != nil {
		return
	}
	if running := s.shards[number]; running != nil {
		running.replica.deliver(envelope.Message)
	}
}

// handleDatagram implements handler.
func (s *store) handleDatagram(from string, message any) { s.member.handleDatagram(from, message) }

// notLeader is the answer to a call for a shard that this store doesn't lead; leader is the leader's address, if known.
type notLeader struct{ leader string }

// serve implements handler.
func (s *store) serve(call *exchange, request any) {
	if s.member.serve(call, request) {
		return
	}
	switch asked := request.(type) {
	case wire.BeginTurnRequest:
		asked.Turn.AtMs = s.process.machine.nowMs()
		s.propose(call, asked.Shard, program.Command{Begin: &asked.Turn})
	case wire.EndTurnRequest:
		asked.Turn.AtMs = s.process.machine.nowMs()
		s.propose(call, asked.Shard, program.Command{End: &asked.Turn})
	case wire.ChainRequest:
		s.chain(call, asked)
	case wire.ShardMembersRequest:
		s.reportShards(call)
	}
}

func (s *store) propose(call *exchange, number int, command program.Command) {
	running := s.shards[number]
	if running == nil {
		call.finish(notLeader{})
		return
	}
	running.replica.propose(command, storeCallTimeout, func(result any, err error) {
		if err != nil {
			call.finish(s.leaderFrom(err))
			return
		}
		call.finish(result.(program.Result))
	})
}

// leaderFrom returns the answer that names the leader, if the error contains it.
func (s *store) leaderFrom(err error) notLeader {
	var not *group.NotLeaderError
	if !errors.As(err, &not) || not.Leader == s.process.address {
		return notLeader{}
	}
	return notLeader{leader: not.Leader}
}

// chain answers with the chain of a turn, if a majority confirms that this store leads the shard.
func (s *store) chain(call *exchange, asked wire.ChainRequest) {
	running := s.shards[asked.Shard]
	if running == nil {
		call.finish(notLeader{})
		return
	}
	var answer wire.ChainResponse
	running.replica.read(func() { answer.Chain, answer.Found = running.programs.Chain(asked.Turn) }, storeCallTimeout, func(err error) {
		if err != nil {
			call.finish(s.leaderFrom(err))
			return
		}
		call.finish(answer)
	})
}
