// Package testcluster runs fleets of real relay processes with fault injection, and judges one history of what their clients, partners
// and operators saw (package checker). Between every two relays that talk stands a link that loses, delays, duplicates, corrupts and
// partitions datagrams; processes are paused, killed and restarted, from older state too, and their clocks and disks may be slow in
// builds with the tag fleetrig. `relay-simulator fleet` and the package's own tests call it; the daemon never links it.
//
// A Scenario is a list of steps, read from a file under deploy/fleet or drawn from a seed; RunScenario runs it in a folder, MeasureCost measures
// without faults. A Fleet owns its processes, links and stand-ins from New until Close, which ends all of them. Fleet.mu guards the
// history and everything that stand-ins and clients count; Relay.mu guards its process. Runs are not deterministic: the seed fixes the
// faults of links and the load, not the interleaving of processes.
package testcluster
