// Package fleettest is the serving tier in memory and in virtual time. It drives the state machines that the daemons run
// (replica groups over their disks, membership, placement, configuration, programs' state) through adapters that stand for
// the daemons' sockets, timers and files, and lets machines be killed, lose power, freeze, lose their disks, move, and be
// cut off from one another. Operators, clients and endpoints stand at its edge, and checkers judge a run by nothing but
// what those have seen. The same plan and seed give the same run.
package fleettest
