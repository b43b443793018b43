package gossip

import (
	"slices"

	"mastusher/internal/tier/view"
)

// handleDigest compares a received digest with the store. For sections with newer stamps in the digest the sender becomes a source
// to fetch from; newer stamps in the store are sent back.
func (g *Gossiper) handleDigest(received Datagram) {
	for _, section := range sortedSections(received.Message.Digest) {
		stamp := received.Message.Digest[section]
		if g.store.Stamp(section).Less(stamp) {
			g.fetcher.addSource(section, stamp, received.Address)
		}
	}
	if newer := g.store.newerThan(received.Message.Digest, received.Message.Complete); newer != nil {
		g.send(received.Address, Message{Digest: newer})
	}
}

// sendDigest sends the complete digest to one random member if one is due.
func (g *Gossiper) sendDigest() {
	if g.options.DigestInterval < 0 || len(g.peers) == 0 || g.now < g.nextDigest {
		return
	}
	g.nextDigest = g.now + g.jittered(g.options.DigestInterval)
	g.send(g.peers[g.random.IntN(len(g.peers))], g.CompleteDigest())
}

// CompleteDigest returns a message with all stamps of the store. Callers may send it by other means, such as on probes.
func (g *Gossiper) CompleteDigest() Message { return Message{Digest: g.store.Digest(), Complete: true} }

// sortedSections returns the sections of a digest in a fixed order, so that effects do not depend on map order.
func sortedSections(digest view.Digest) []view.Section {
	sections := make([]view.Section, 0, len(digest))
	for section := range digest {
		sections = append(sections, section)
	}
	slices.Sort(sections)
	return sections
}
