// Package overloadtest has tests only. They start a tier of real processes on loopback addresses with low limits of memory and file
// descriptors, and let a crowd of clients send what clients should not send: bodies that stop short of their end, bodies over the limit,
// heads that never end, answers that nobody reads, lines without an end at the ports between processes.
//
// A test checks what does not depend on the speed of the machine: no process ends, the memory of each stays within the memoryMb of its
// settings (resident memory and the bytes that arrived unread, as the platform counts), and after the crowd has gone each process has given
// back its file descriptors and one ordinary request on each kind of route is answered. The crowds and bounds are constants.
//
// The tests need the processor for themselves: .ci/test.sh runs this package after all others, one test at a time.
package overloadtest
