// Package replica implements one member of a replica group by the Raft consensus algorithm: leaders are elected by term,
// an entry is committed once a majority of the voters has it on disk, and the membership changes by one member at a time.
//
// The package is the pure state machine, without I/O, clock, goroutine or lock. Its caller, package group, hands everything
// that has happened to Replica.Step, and carries out the Ready that Step returns: it saves and syncs, sends messages, applies
// committed entries and calls Step again at Ready.NextWake at the latest. The same inputs and seed give the same outputs,
// so that a run can be replayed and all orders of events explored.
//
// A Replica owns its log, its term and vote, and while it leads the progress of its followers. It must be driven by one
// goroutine at a time. Entries that it hands out are shared with its log and must never be changed.
//
// Source: "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014) and Ongaro's thesis. Taken are
// leader election and log replication (Raft section 5), membership changes by single servers (thesis section 4.1, with the
// rule that a leader commits an entry of its own term first), learners (thesis section 4.2.1), PreVote (thesis section
// 9.6), check quorum (thesis section 6.2), leadership transfer (thesis section 3.10), reads by ReadIndex (thesis section
// 6.4) and snapshots in chunks (Raft section 7).
//
// Files: raft.go drives a step; election.go, follower.go and leader.go are the roles; replication.go sends the log and
// progress.go follows how far each follower is; read_only.go confirms reads; transfer.go moves leadership; confchange.go
// changes the membership and configuration.go remembers it; snapshot_sender.go, snapshot_receiver.go and compaction.go are
// the snapshots; log.go holds the entries.
package replica
