// Package engine is the relay's core. It owns the decision module (package control), the messages taken on, their attempts and the
// notices outstanding, and it is the only part that changes them. It knows no wire.
//
// Fronts (package platform, package activitypub) hand it messages by Submit and make its calls; they reach it by one queue only. One
// goroutine, Run's, takes what the queue holds in turns of Limits.Round: each event is applied, the module decides, the journal is
// written, and only then are clients answered and attempts begun. So an answer or a first byte that a kill can no longer take back is
// always in the journal.
//
// A turn reads no clock and walks no map in an order that counts, and its calls are made by a Shell, its records kept by a Journal:
// both can be replaced. CoreReplay drives a whole core with a capture (package capture) in their place and compares all that it does.
//
// Where relays form a fleet, Govern hands the core what the fleet lets it do (a Mandate), and GrantQuota what it may spend.
package engine
