package store

import (
	"context"
	"errors"
	"sync"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

func (s *Store) handleBeginTurn(ctx context.Context, _ string, request wire.BeginTurnRequest) (wire.BeginTurnResponse, error) {
	if s.rejectsNewPrograms(&request.Turn) {
		return wire.BeginTurnResponse{Result: program.Result{Verdict: program.StorageFull}}, nil
	}
	request.Turn.AtMs = s.options.Now().UnixMilli()
	result, err := s.propose(ctx, request.Shard, program.Command{Begin: &request.Turn})
	return wire.OmitCachedPrefix(result, request.CachedChains), err
}

// rejectsNewPrograms reports whether a turn is rejected because it begins a program whose contents would be kept and this store is
// short of memory or disk. Stored and running programs are not affected. A duplicate of a turn begun before is rejected too, so that
// its reservation stays until it expires.
func (s *Store) rejectsNewPrograms(turn *program.BeginTurn) bool {
	return turn.Remembered && turn.Previous == "" && s.options.IsNearLimit != nil && s.options.IsNearLimit()
}

func (s *Store) handleEndTurn(ctx context.Context, _ string, request wire.EndTurnRequest) (program.Result, error) {
	request.Turn.AtMs = s.options.Now().UnixMilli()
	return s.propose(ctx, request.Shard, program.Command{End: &request.Turn})
}

// handleChain answers with a turn's chain, by a linearizable read.
func (s *Store) handleChain(ctx context.Context, _ string, request wire.ChainRequest) (wire.ChainResponse, error) {
	running := s.shard(request.Shard)
	if running == nil {
		return wire.ChainResponse{}, &NotLeaderError{}
	}
	var response wire.ChainResponse
	err := running.group.Read(ctx, func() { response.Chain, response.Found = running.machine.programs.Chain(request.Turn) })
	if err != nil {
		return wire.ChainResponse{}, s.remoteError(err)
	}
	return response, nil
}

// handleShardMembers answers with the members of the groups that this store leads.
func (s *Store) handleShardMembers(ctx context.Context, _ string, _ wire.ShardMembersRequest) (wire.ShardMembersResponse, error) {
	responses := make(chan wire.ShardMembersResponse, 1)
	s.ReportMembers(func(response wire.ShardMembersResponse) { responses <- response })
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		return wire.ShardMembersResponse{}, ctx.Err()
	}
}

// propose commits a command in the shard's log and returns its result. After any error other than a NotLeaderError it is unknown
// whether the command is committed; commands are idempotent, so the caller may retry.
func (s *Store) propose(ctx context.Context, number int, command program.Command) (program.Result, error) {
	running := s.shard(number)
	if running == nil {
		return program.Result{}, &NotLeaderError{}
	}
	applied, err := running.group.Propose(ctx, command)
	if err != nil {
		return program.Result{}, s.remoteError(err)
	}
	result, ok := applied.(program.Result)
	if !ok {
		return program.Result{}, &noResultError{shard: number}
	}
	return result, nil
}

// remoteError converts a group's error to the error that is returned to callers. If it names this store as the leader, the address is
// left out, as this store is not the leader.
func (s *Store) remoteError(err error) error {
	var notLeader *group.NotLeaderError
	if !errors.As(err, &notLeader) {
		return err
	}
	leader := notLeader.Leader
	if leader == s.options.Address {
		leader = ""
	}
	return &NotLeaderError{Leader: leader}
}

// ReportMembers calls done with the members of all groups that this store leads, each confirmed by a majority. It does not block.
func (s *Store) ReportMembers(done func(response wire.ShardMembersResponse)) {
	shards := s.running()
	if len(shards) == 0 {
		done(wire.ShardMembersResponse{})
		return
	}
	var mutex sync.Mutex
	var response wire.ShardMembersResponse
	pending := len(shards)
	for _, running := range shards {
		running.reportMembers(func(members wire.ShardMembers, confirmed bool) {
			mutex.Lock()
			if confirmed {
				response.Shards = append(response.Shards, members)
			}
			pending--
			last := pending == 0
			mutex.Unlock()
			if last {
				done(response)
			}
		})
	}
}
