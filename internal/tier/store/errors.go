package store

import (
	"fmt"

	"mastusher/internal/tier/wire"
)

// NotLeaderError rejects a call for a shard that this store does not lead. The caller should retry at Leader or, if Leader is empty,
// at the other replicas.
type NotLeaderError struct{ Leader string } // address; empty if unknown

// Error returns the leader's address, which is the message of the remote error.
func (e *NotLeaderError) Error() string { return e.Leader }

// ErrorKind returns the kind of the remote error.
func (e *NotLeaderError) ErrorKind() string { return wire.KindNotLeader }

// noResultError means that a shard's state machine returned no program.Result for a committed command, which must not happen.
type noResultError struct{ shard int }

func (e *noResultError) Error() string {
	return fmt.Sprintf("shard %d: state machine returned no result for a committed command", e.shard)
}
