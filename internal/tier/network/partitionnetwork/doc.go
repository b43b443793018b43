// Package partitionnetwork is the system's network with partitions, for soaks of real processes on loopback addresses. The
// kernel drops what comes from a partitioned address, by a BPF filter on each socket: connections stay those of the system, with
// its retransmissions and time-outs. A process learns of partitions by a file. Nothing that is deployed may import it.
package partitionnetwork
