// Package replica implements one member of a replica group with the Raft consensus algorithm: leaders are elected by term,
// an entry is committed once a majority of the voters has it on disk, and the membership changes by one member at a time.
//
// The package is a pure state machine, without I/O, clock, goroutines or locks. Its caller, package group, passes all events
// to Replica.Step and carries out the Ready that Step returns: it saves and syncs, sends messages, applies committed entries
// and calls Step again no later than Ready.NextWake. The same inputs and seed give the same outputs, so that tests can
// replay a run and explore all orders of events.
//
// A Replica owns its log, its term and its vote, and while it leads the progress of its followers. Only one goroutine at a
// time may call it. Entries that it returns share memory with its log and must never be changed.
//
// Sources: "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014), cited as Raft, and Ongaro's
// dissertation "Consensus: Bridging Theory and Practice", cited as thesis. The package implements leader election and log
// replication (Raft section 5), single-server membership changes (thesis section 4.1, with the rule that a leader first
// commits an entry of its own term), learners (thesis section 4.2.1), PreVote (thesis section 9.6), check quorum (thesis
// section 6.2), leadership transfer (thesis section 3.10), reads by ReadIndex (thesis section 6.4) and snapshots in chunks
// (Raft section 7).
//
// Files: raft.go contains Step; election.go, follower.go and leader.go implement the roles; replication.go sends the log and
// progress.go tracks each follower; read_only.go confirms reads; transfer.go transfers leadership; confchange.go changes the
// membership, configuration.go tracks it, and exclusion.go handles members that missed their removal; snapshot_sender.go,
// snapshot_receiver.go and compaction.go handle snapshots, and chunk_window.go limits the chunks in flight; log.go holds the
// entries.
package replica
