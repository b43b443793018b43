// Package simulation runs a fleet's pure modules (package node with consensus and quota) in virtual time, over a simulated network that
// loses, delays, duplicates and partitions, with relays that crash between any two actions, restart from older disks or none, and
// clocks that drift as far as the settings allow. Package checker judges the history. Its callers are its own tests and
// `relay-simulator fleet scale`; the daemon links none of it.
//
// A World is deterministic and single-threaded: events run in the order of their times and of their insertion, and all randomness comes
// from Options.Seed. Random draws whole worlds from seeds, Explore tries every short sequence of deliveries, losses, crashes and time,
// Scale measures fleets of many relays.
//
// Files: world.go is the world and its virtual time, relay.go the simulated process around a node, network.go and disk.go its
// environment, sharing.go shared limits, random.go, explore.go and scale.go the three ways to use it.
package simulation
