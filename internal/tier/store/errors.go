package store

import (
	"fmt"

	"mastusher/internal/tier/wire"
)

// NotLeaderError rejects a call for a shard that another store leads. The caller should retry at Leader, or at the other
// replicas if that is empty.
type NotLeaderError struct{ Leader string } // address; empty: not known

// Error returns the leader's address, which is the message of the remote error.
func (e *NotLeaderError) Error() string { return e.Leader }

// ErrorKind returns the kind of the remote error.
func (e *NotLeaderError) ErrorKind() string { return wire.KindNotLeader }

// noResultError says that the group of a shard committed a command and its machine returned no result, which must not happen.
type noResultError struct{ shard int }

func (e *noResultError) Error() string { return fmt.Sprintf("shard %d: no result", e.shard) }
