// Package membership tracks in each process which other processes of the system are running. It implements SWIM (Das, Gupta, Motivala
// 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2017), and push-pull reconciliation as in hashicorp/memberlist.
//
// Each member probes one other member per interval, directly and then indirectly through helpers (SWIM sections 3.1 and 4.3). A
// member that does not answer is suspected (section 4.2), and is declared dead unless it refutes the suspicion in time by
// incrementing its incarnation. Updates are piggybacked on the probes (section 4.1). Member tables that keep differing are reconciled
// by a push-pull over a reliable connection.
//
// Package node calls this package and owns the sockets and the clock. A Node does no I/O, reads no clock and starts no goroutine:
// Step takes the time and the received input, and returns what to send. The same inputs and seed give the same effects. A Node is
// not safe for concurrent use.
//
// Each file contains one mechanism: probe.go the failure detector, target.go the selection of the members to probe, indirect.go
// probes at the request of others, state.go the state transitions of a member, suspicion.go the timer between suspect and dead,
// awareness.go the node's own health, tombstone.go members that are dead or have left, queue.go and gossip.go dissemination,
// pushpull.go and join.go reconciliation, table.go and hash.go the member table.
package membership
