// Package simulation runs the tier's real roles (controllers, stores, agents and proxies, as their commands run them) over a
// network and disks in memory and in virtual time, with an operator, programs and endpoints around them, and checks what these
// have seen. It is for tests, and everything in it must run inside a bubble of testing/synctest.
//
// A day is 40 s of traffic, as in the operators' days, during which the faults of a plan strike; then all faults end, the fleet
// must become whole again, and all processes get SIGTERM and must end.
//
// A seed gives a plan, the delays of the network and the programs. It doesn't give the order in which the runtime runs
// goroutines that are ready at the same instant: a day that is played again may differ in that.
package simulation
