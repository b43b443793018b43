// Package program is the replicated state machine of one shard of agent programs. Its state consists of their turns, the chains
// that turns form by continuing earlier ones, and the token budgets of the programs.
//
// Package store runs one Machine in each replica of a shard's group. The group's log holds Commands. Every replica applies
// the committed ones in the same order and must reach the same state, the same results and the same snapshot bytes. Therefore
// the package does no I/O, reads no clock and draws no random numbers: a command carries the wall-clock time at which the leader
// proposed it (see clock), and no result or snapshot depends on the iteration order of a map.
//
// A turn is begun by BeginTurn, which reserves its budget and stores its input, and committed by EndTurn, which releases the
// reservation, charges the tokens sent to the client and stores the output. Both are idempotent, so that a caller may retry them
// at the next leader. Turns and budgets expire by the machine's clock (see retention.go).
//
// Snapshots are written as a series of chunks of bounded size (WriteChunks, Restorer), or as a single chunk (Snapshot,
// Restore). Their JSON is encoded by hand, since encoding/json needs several times the time and memory.
//
// A Machine is used by one goroutine only, that of its group. A Chunk that Capture returned may be encoded by another goroutine
// meanwhile.
package program
