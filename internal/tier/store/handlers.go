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
	full := wire.BeginTurnResponse{Result: program.Result{Verdict: program.StorageFull}}
	if !s.fullness().admitsBegin(&request.Turn) {
		return full, nil
	}
	release, ok := s.admitContents(ctx, len(request.Turn.Input)+len(request.Turn.Imported), s.options.MaxInputContents)
	if !ok {
		return full, nil
	}
	defer release()
	request.Turn.AtMs = s.options.Now().UnixMilli()
	applied, err := s.propose(ctx, request.Shard, program.Command{Begin: &request.Turn})
	if err != nil {
		return wire.BeginTurnResponse{}, err
	}
	if err := s.reserveChain(ctx, applied.Chain); err != nil {
		return wire.BeginTurnResponse{}, err
	}
	result := applied.Join()
	return wire.OmitCachedPrefix(result, request.CachedChains), nil
}

func (s *Store) handleEndTurn(ctx context.Context, _ string, request wire.EndTurnRequest) (program.Result, error) {
	if !s.fullness().admitsEnd(&request.Turn) {
		return program.Result{Verdict: program.StorageFull}, nil
	}
	release, ok := s.admitContents(ctx, len(request.Turn.Output), s.options.MaxOutputContents)
	if !ok {
		return program.Result{Verdict: program.StorageFull}, nil
	}
	defer release()
	request.Turn.AtMs = s.options.Now().UnixMilli()
	applied, err := s.propose(ctx, request.Shard, program.Command{End: &request.Turn})
	return program.Result{Verdict: applied.Verdict}, err
}

// handleChain answers with a turn's chain, by a linearizable read.
func (s *Store) handleChain(ctx context.Context, _ string, request wire.ChainRequest) (wire.ChainResponse, error) {
	running := s.shard(request.Shard)
	if running == nil {
		return wire.ChainResponse{}, &NotLeaderError{}
	}
	var chain program.Chain
	var found bool
	err := running.group.Read(ctx, func() { chain, found = running.machine.programs.UnjoinedChain(request.Turn) })
	if err != nil {
		return wire.ChainResponse{}, s.remoteError(err)
	}
	if err := s.reserveChain(ctx, chain); err != nil {
		return wire.ChainResponse{}, err
	}
	return wire.ChainResponse{Found: found, Chain: chain.Join()}, nil
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
func (s *Store) propose(ctx context.Context, number int, turn program.Command) (program.UnjoinedResult, error) {
	running := s.shard(number)
	if running == nil {
		return program.UnjoinedResult{}, &NotLeaderError{}
	}
	applied, err := running.group.Propose(ctx, command{Command: turn})
	if err != nil {
		return program.UnjoinedResult{}, s.remoteError(err)
	}
	result, ok := applied.(program.UnjoinedResult)
	if !ok {
		return program.UnjoinedResult{}, &noResultError{shard: number}
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
