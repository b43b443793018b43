// Package memorynetwork is an in-memory network for tests: machines with addresses, links with a delay in each direction, and
// processes whose sockets are closed when they are killed. It injects partitions, refused connections, resets, delays, freezes, power
// losses and loss of datagrams. A Process implements network.Network.
//
// Calls only block on conditions, channels and timers, so that inside a bubble of testing/synctest a goroutine that waits for the
// network is durably blocked and virtual time advances. One mutex of the Network guards the state of all machines, processes and
// sockets. The only goroutines are those of timers, which end by themselves; the timer of an open connection with bytes in flight is
// restarted at each retransmission until the connection is closed.
//
// Congestion, bandwidth, fragmentation and socket options are not modelled, except for keep-alive, which represents all ways in which
// a kernel detects a silent peer.
package memorynetwork
