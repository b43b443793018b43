// Package program is the replicated state machine of one shard of agent programs: their turns, the chains in which a turn
// continues an earlier one, and the token budgets of programs.
//
// Package store runs one Machine in each replica of a shard's group. The group's log holds Commands; every replica applies
// the committed ones in the same order and must reach the same state, the same results and the same snapshot bytes. For that
// the package does no I/O, reads no clock and draws no random numbers: a command carries the time of day at which the leader
// proposed it (see clock), and no result or snapshot depends on the order of a map.
//
// A turn is begun by BeginTurn, which reserves its budget and stores its input, and committed by EndTurn, which releases the
// reservation, charges the tokens generated and stores the output. Both are idempotent, so that a caller may retry them at
// the next leader. Contents expire by the machine's clock (see retention.go).
//
// Snapshots are written as a series of chunks of bounded size (WriteChunks, Restorer), or as a single one (Snapshot,
// Restore). Their JSON is written by hand, since encoding/json needs several times the time and memory.
//
// A Machine belongs to one goroutine, the group's. A Chunk taken by Capture may be encoded by another one meanwhile.
package program
