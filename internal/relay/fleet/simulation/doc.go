// Package simulation runs a fleet's pure modules (package node with consensus and quota) in virtual time, over a simulated network that
// loses, delays, duplicates and partitions, with relays that crash between any two actions, restart from older disks or none, and
// clocks that drift as far as the settings allow. Package checker judges the history. Its callers are its own tests and
// `relay-simulator fleet scale`; the daemon links none of it.
//
// A World is deterministic and single-threaded: events run in the order of their times and of their insertion, and all randomness comes
// from Options.Seed. Random draws complete worlds from seeds, Explore tries every short sequence of deliveries, losses, crashes and time,
// Scale measures fleets of many relays.
//
// It shows that relays of a fleet never act on two policies at once nor spend more than a shared limit, whatever is lost, restored
// from an older disk, or run by a clock that drifts; and for short sequences it shows that for all of them, which no other engine does.
// Package simulator runs the calls that such a fleet balances, and takes its agreement for granted.
//
// Files: world.go is the world, on a virtualtime.Loop, relay.go the simulated process around a node, network.go and disk.go its
// environment, sharing.go shared limits, random.go, explore.go and scale.go the three ways to use it.
package simulation
