// Package soak injects random faults, drawn from a seed, into a tier of real processes and real sockets on one machine, and
// counts violations of what the tier guarantees. Faults overlap in time: kills of one process, of several and of all, pauses,
// restarts, lost disks, network partitions and lost responses. Client programs, an operator and a reader are active all the
// time. A run ends with a closing fault that kills everything, after which the tier must recover within bounds.
//
// RandomPlan draws a plan from a seed; Run executes it and returns a Result with the violations. cmd/tier-soak calls both for a
// range of seeds, and tests execute two short plans. A plan follows from its seed alone, but the times at which processes
// react do not, so that a run cannot be replayed exactly.
//
// It shows what a simulation can't: that processes survive SIGKILL, SIGSTOP and SIGTERM with files, sockets and a scheduler of the
// operating system, and recover within bounds of real time. Packages simulation and fleettest run the same guarantees in virtual
// time, which is where to look for the cause of what a soak finds.
//
// The processes run the roles of package command. Where a plan has network partitions, they run in the soak's own binary, over
// package partitionnetwork (RunRole); else they are those of the binary that is deployed.
//
// Concurrency: Run owns all its goroutines and processes, and all have ended when it returns. A service's mutex guards the
// state of its process, run.mutex the result and the random numbers.
package soak
