// Package fleettest models the serving tier in memory and in virtual time. It drives the state machines that the daemons run
// (replica groups over their disks, membership, placement, configuration, programs' state) through adapters that stand in for
// the daemons' sockets, timers, files and goroutines. Machines can be killed, lose power, freeze, lose their disks, be replaced
// and be partitioned from one another. Operators, clients and endpoints are outside the tier, and checkers judge a run only by
// what these have observed. It is test support: only its own tests use it.
//
// It shows that the state machines and the protocols between them keep the tier's guarantees: acknowledged configurations
// survive and are never read stale, a request runs at most once, a turn runs with its complete chain, a program never exceeds its
// budget, and the tier serves again once the faults are over. Only here does a seed or scenario repeat event by event, and can a
// fault come at a chosen millisecond of a protocol. The roles' own code is left out: package simulation runs it, with goroutines,
// timers and socket deadlines, but takes longer for a day; package soak runs processes. Start here to look for a fault of logic
// between machines.
//
// An order is an operator's request to replace the configuration. The core is the group of controllers that agrees on it. A turn
// is one request of a program to a model; its chain is the input and output of all turns that it continues. A day is the run of
// one Plan.
//
// All events of a run happen in one goroutine, in the order of their times in a loop: the same plan and seed give the same run,
// event by event. A function that draws random numbers must draw the same ones in the same sequence, whether events are traced or not.
package fleettest
