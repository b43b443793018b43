// Package simulation runs the state machines of a fleet (package node with consensus and quota) in virtual time. The simulated network
// loses, delays, duplicates and partitions messages, relays crash between any two actions and restart from older or empty disks, and clocks
// drift as far as the settings allow. Package checker checks the history. The package is used by its own tests and `relay-simulator fleet
// scale`, not by the daemon.
//
// A World is deterministic and single-threaded: events run in order of their times and, at the same time, of their insertion. All
// randomness comes from Options.Seed. Random runs a world that is drawn from a seed, Explore tries all short sequences of deliveries,
// losses, crashes and passing time, Scale measures fleets of many relays.
//
// The tests check that relays of a fleet never act under two policies at once and never spend more than a shared limit, in spite of message
// loss, older disks and clock drift. Only Explore covers all sequences up to a length. Package simulator simulates the calls of a fleet's
// relays, and assumes that the fleet's consensus works.
//
// Files: world.go has the world, which uses a virtualtime.Loop, relay.go the simulated process of a node, network.go and disk.go its
// environment, sharing.go shared limits, random.go, explore.go and scale.go the entry points.
package simulation
