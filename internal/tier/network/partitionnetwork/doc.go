// Package partitionnetwork is the system's network with partitions, for soak tests of real processes on loopback addresses. A BPF
// filter on each socket makes the kernel drop packets from partitioned addresses, so that retransmissions and timeouts are those of
// the system. A process reads the partitions from a file. Deployed programs must not import this package.
package partitionnetwork
