// Package gossip spreads the sections of the view to all members, in the manner of an epidemic (push by rumour, repaired by
// anti-entropy: Demers et al. 1987). A member that gets a new update announces its stamp to a few others; they fetch it from
// there and announce it in turn. Now and then each member compares its complete digest with one other, which repairs what
// was lost.
//
// The package is called by package node, which owns the sockets and the clock. A Gossiper does no I/O, reads no clock and
// starts no goroutine: Step takes the time and what has arrived, and returns what must be sent and fetched. The same inputs
// and seed give the same effects. Neither Gossiper nor Store is safe for concurrent use.
package gossip
