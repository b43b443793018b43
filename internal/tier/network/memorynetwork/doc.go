// Package memorynetwork is an in-memory network for tests: machines with addresses, links with a delay in each direction, and
// processes whose sockets end with them. It injects partitions, refusals, resets, delays, freezes, power losses and loss of
// datagrams. A Process implements network.Network.
//
// All waiting is on conditions and timers, so that inside a bubble of testing/synctest a process that waits for its network is
// durably blocked and virtual time advances. One mutex of the Network guards the state of all machines, processes and sockets.
// No goroutine is started but those of timers, which end by themselves; that of an open connection with unacknowledged bytes runs
// again at each retransmission until the connection is closed.
//
// Not modelled: congestion, bandwidth, fragments and socket options, except for keep-alive, which stands for all ways in which
// a kernel detects a silent peer.
package memorynetwork
