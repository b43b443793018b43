package fleettest

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Times of a shard's group, and how long a store works on one call.
const (
	storeHeartbeat  = 150 * time.Millisecond
	storeElection   = 600 * time.Millisecond
	storeCallBounds = 700 * time.Millisecond
)

// store holds the replicas of one storage machine.
type store struct {
	process *process
	id      string
	member  *member
	shards  map[int]*shard
}

// openStore starts a store's process. Its shards open once the placement is known.
func openStore(p *process) (handler, error) {
	id, err := machineIdentity(p)
	if err != nil {
		return nil, err
	}
	s := &store{process: p, id: id, shards: map[int]*shard{}}
	s.member = newMember(p, id, p.machine.fleet.seeds(), s.take)
	return s, nil
}

func (s *store) begin() { s.member.wake() }

// take takes over a placement: shards that are this store's open, and every owner moves its group to its members.
func (s *store) take(piece view.Update) {
	if piece.Section != view.PlacementSection {
		return
	}
	var placed view.Placement
	if err := json.Unmarshal(piece.Body, &placed); err != nil {
		s.process.machine.fleet.report("HARNESS", "placement cannot be read: %v", err)
		return
	}
	for number, wanted := range placed.Shards {
		if s.holds(wanted) && s.shards[number] == nil {
			opened, err := openShard(s, number, wanted)
			if err != nil {
				s.process.failed(err)
				return
			}
			s.shards[number] = opened
			opened.replica.wake()
		}
		if running := s.shards[number]; running != nil {
			running.place(piece.Stamp.Sequence, membersOf(wanted.Replicas))
		}
	}
}

func (s *store) holds(placed view.ShardPlacement) bool {
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

// notice implements handler.
func (s *store) notice(_ string, message any) {
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

// datagram implements handler.
func (s *store) datagram(from string, message any) { s.member.datagram(from, message) }

// notOwner answers a call for a shard that another store owns.
type notOwner struct{ owner string }

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
		s.report(call)
	}
}

func (s *store) propose(call *exchange, number int, command program.Command) {
	running := s.shards[number]
	if running == nil {
		call.finish(notOwner{})
		return
	}
	running.replica.propose(command, storeCallBounds, func(result any, err error) {
		if err != nil {
			call.finish(s.elsewhere(err))
			return
		}
		call.finish(result.(program.Result))
	})
}

// elsewhere names the owner to the caller, where the error does.
func (s *store) elsewhere(err error) notOwner {
	not, ok := err.(*group.NotLeaderError)
	if !ok || not.Leader == s.process.address {
		return notOwner{}
	}
	return notOwner{owner: not.Leader}
}

func (s *store) chain(call *exchange, asked wire.ChainRequest) {
	running := s.shards[asked.Shard]
	if running == nil {
		call.finish(notOwner{})
		return
	}
	var answer wire.ChainResponse
	running.replica.read(func() { answer.Chain, answer.Found = running.programs.Chain(asked.Turn) }, storeCallBounds, func(err error) {
		if err != nil {
			call.finish(s.elsewhere(err))
			return
		}
		call.finish(answer)
	})
}
