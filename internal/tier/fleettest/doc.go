// Package fleettest models the serving tier in memory and in virtual time. It drives the state machines that the daemons run
// (replica groups over their disks, membership, placement, configuration, programs' state) through adapters that stand in for
// the daemons' sockets, timers, files and goroutines. Machines can be killed, lose power, freeze, lose their disks, be replaced
// and be partitioned from one another. Operators, clients and endpoints stand outside of the tier, and checkers judge a run by
// nothing but what those have seen. It is test support: only its own tests use it.
//
// It shows that the state machines and the protocols between them keep the tier's guarantees: acknowledged configurations
// survive and are never read stale, a request runs at most once, a turn with its complete chain, a budget holds, and the tier serves
// again once the faults are over. What it alone has: a seed or scenario repeats event by event, and faults come at a chosen
// millisecond of a protocol. What it leaves out is the roles' own code: package simulation runs that, with goroutines, timers
// and sockets' deadlines, at more time a day; package soak runs processes. Start here for a fault of logic between machines.
//
// All events of a run happen in one goroutine, in the order of their times in a loop: the same plan and seed give the same run,
// event by event. A function that draws random numbers must draw them in the same order whatever is traced.
package fleettest
