// Package engine is the relay's core. It owns the decision module (package control), the accepted messages, their attempts and the outstanding
// notices, and it is the only part that changes them. It knows no wire.
//
// Fronts (package platform, package activitypub) submit messages and make the core's calls; they reach it through one queue only. One
// goroutine, that of Run, takes the queued events in turns of Limits.Round: each event is applied, the module decides, the journal is
// written, and only then are clients answered and attempts started. So an answer or a first byte that a kill can no longer take back is
// always in the journal.
//
// A turn reads no clock and walks no map in an order that matters, and its calls are made by a Shell, its records kept by a Journal: both can
// be replaced. CoreReplay drives a complete core with a capture (package capture) in their place and compares all that it does.
//
// Where relays form a fleet, Govern gives the core what the fleet lets it do (a Mandate), and GrantQuota what it may spend.
package engine
