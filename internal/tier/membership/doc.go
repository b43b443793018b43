// Package membership tells each process which other processes of the system are running. Each member probes one other
// member an interval, directly and then through helpers; a member that does not answer is suspected, and is taken for dead
// unless it refutes the suspicion in time by raising its incarnation. News travels on the probes themselves; lists that
// differ all the same are reconciled over a reliable connection.
//
// A Node does no I/O, reads no clock and starts no goroutine: Step takes the time and what has arrived, and returns what
// must be sent. The same inputs and seed give the same effects.
package membership
