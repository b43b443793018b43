// Package testcluster runs fleets of real relay processes with fault injection. It records what their clients, partners and operators see
// in a history, which package checker verifies. Relays communicate through links that lose, delay, duplicate, corrupt and partition
// datagrams. Processes are paused, killed and restarted, also from older state, and in builds with the tag fleetrig their clocks and disks
// may be slow. The package is used by `relay-simulator fleet` and its own tests, not by the daemon.
//
// A Scenario configures a fleet and has a list of steps. It is read from a file in deploy/fleet or drawn from a seed. RunScenario runs it
// in a folder, MeasureCost measures a fleet without faults. A Fleet owns its processes, links and stand-ins from New until Close, which
// ends all of them. Fleet.mu guards the history and the counters of stand-ins and clients; Relay.mu guards the relay's process. Runs are
// not deterministic: the seed determines the faults of links and the load, but not the interleaving of processes.
package testcluster
