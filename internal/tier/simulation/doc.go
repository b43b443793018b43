// Package simulation runs the tier's real roles in virtual time: controllers, stores, agents and proxies by the functions that
// their commands run (command.RunController and its like), over a network and disks in memory (memorynetwork, memorydisk), with
// an operator, clients and endpoints outside of the tier. It is test support: no command imports it, and everything in it must
// run inside a bubble of testing/synctest.
//
// It shows that the code that ships, with its goroutines, timers, socket deadlines and settings files, keeps its guarantees
// under faults: the configuration is a linearizable register, turns are neither lost nor run twice, no process ends by itself,
// no goroutine leaks, and the tier serves again once the faults are over. Package fleettest models the same system with
// adapters in place of the roles: it covers the state machines' logic only, but in one goroutine, so that it is faster and a
// seed gives the same run event by event. Package soak runs the same roles as real processes on real disks and sockets, in real
// time. Start here to look for a fault in a role's own code, or between roles.
//
// A day is the run of one Plan: 40 s of traffic, during which the plan's faults are injected; then all faults end, the fleet must
// recover, and all processes get SIGTERM and must end. An order is an operator's request to replace the configuration; it names
// its base, the number of the version that it replaces. A quorum machine is one that has replicas: a core or a store.
//
// A seed determines the plan, the delays of the network and the programs. It doesn't determine the sequence in which the
// runtime runs goroutines that are ready at the same instant, so two runs of the same day may differ.
//
// Concurrency: each process runs its own goroutines. Fleet.mutex guards the state of machines, disks, processes and the day, and
// must not be held while waiting. The history has its own mutex.
package simulation
