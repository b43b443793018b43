// Package gossip disseminates the sections of the view to all members by an epidemic protocol: rumour mongering, repaired by
// anti-entropy (Demers et al. 1987). A member that receives a new update announces its stamp to a few others, which fetch the update
// from that member and announce it in turn. Periodically each member sends its complete digest to another one, which repairs lost
// announcements.
//
// Package node calls this package and owns the sockets and the clock. A Gossiper does no I/O, reads no clock and starts no
// goroutine: Step takes the time and the received input, and returns what to send and fetch. The same inputs and seed give the same
// effects. Neither Gossiper nor Store is safe for concurrent use.
package gossip
