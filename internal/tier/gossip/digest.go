package gossip

import (
	"slices"

	"mastusher/internal/tier/view"
)

// handleDigest compares a digest with the store: newer stamps there make the sender a source to fetch from, newer stamps
// here are sent back.
func (s *Gossiper) handleDigest(received Datagram) {
	for _, section := range sortedSections(received.Message.Digest) {
		stamp := received.Message.Digest[section]
		if s.store.Stamp(section).Less(stamp) {
			s.fetcher.addSource(section, stamp, received.Address)
		}
	}
	if newer := s.store.newerThan(received.Message.Digest, received.Message.Complete); newer != nil {
		s.send(received.Address, Message{Digest: newer})
	}
}

// sendDigest sends the complete digest to one random member when it is due.
func (s *Gossiper) sendDigest() {
	if s.options.DigestInterval < 0 || len(s.peers) == 0 || s.now < s.nextDigest {
		return
	}
	s.nextDigest = s.now + s.jittered(s.options.DigestInterval)
	s.send(s.peers[s.random.IntN(len(s.peers))], s.CompleteDigest())
}

// CompleteDigest returns the message with all stamps of the store. Callers may send it by other means, as on probes.
func (s *Gossiper) CompleteDigest() Message { return Message{Digest: s.store.Digest(), Complete: true} }

// sortedSections returns the sections of a digest in a fixed order, so that effects do not depend on that of a map.
func sortedSections(digest view.Digest) []view.Section {
	sections := make([]view.Section, 0, len(digest))
	for section := range digest {
		sections = append(sections, section)
	}
	slices.Sort(sections)
	return sections
}
