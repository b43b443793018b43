// Package membership maintains in each process which other processes of the system are running: SWIM (Das, Gupta, Motivala 2002)
// with the Lifeguard extensions (Dadgar, Phillips, Currey 2017), and push-pull reconciliation as in hashicorp/memberlist.
//
// Each member probes one other member per interval, directly and then indirectly through helpers (SWIM sections 3.1 and
// 4.3). A member that does not answer is suspected (section 4.2), and is declared dead unless it refutes the suspicion in
// time by raising its incarnation. Updates are piggybacked on the probes (section 4.1). Member tables that stay different
// are reconciled by a push-pull over a reliable connection.
//
// The package is called by package node, which owns the sockets and the clock. A Node does no I/O, reads no clock and
// starts no goroutine: Step takes the time and what has arrived, and returns what must be sent. The same inputs and seed
// give the same effects. A Node must be used by one goroutine at a time.
//
// A file holds one mechanism: probe.go the failure detector, target.go whom it probes, indirect.go the probes for others,
// state.go the transitions of a member, suspicion.go the timer between suspect and dead, awareness.go the node's own
// health, tombstone.go members that are dead or have left, queue.go and gossip.go the dissemination, pushpull.go and
// join.go the reconciliation, table.go and hash.go the member table.
package membership
