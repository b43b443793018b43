// Package gossip spreads the sections of the view to all members. A member that gets a new piece tells a few others its
// stamp; they fetch it from there and tell others in turn. Now and then each member compares its whole digest with one
// other, so that what was lost is made up for.
//
// A Gossiper does no I/O, reads no clock and starts no goroutine: Step takes the time and what has arrived, and returns
// what must be sent and fetched. The same inputs and seed give the same effects.
package gossip
