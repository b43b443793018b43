package gossip

import (
	"slices"

	"mastusher/internal/tier/view"
)

// announce sends the stamps that are new in this Step to a few random members, except those that have announced them all.
func (s *Gossiper) announce() {
	if len(s.changedSections) == 0 {
		return
	}
	digest := make(view.Digest, len(s.changedSections))
	for _, section := range s.changedSections {
		digest[section] = s.store.Stamp(section)
	}
	for _, peer := range s.randomPeers(s.options.Fanout) {
		s.send(peer, Message{Digest: digest})
	}
}

// randomPeers returns up to count different random members that have not announced all changed sections.
func (s *Gossiper) randomPeers(count int) []string {
	const drawsPerPeer = 4
	chosen := make([]string, 0, count)
	for range drawsPerPeer * count {
		if len(chosen) == count || len(s.peers) == 0 {
			break
		}
		peer := s.peers[s.random.IntN(len(s.peers))]
		if !slices.Contains(chosen, peer) && !s.hasAnnouncedChanges(peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// hasAnnouncedChanges reports whether a member has announced everything that is new in this Step.
func (s *Gossiper) hasAnnouncedChanges(peer string) bool {
	for _, section := range s.changedSections {
		if !s.fetcher.hasAnnounced(section, s.store.Stamp(section), peer) {
			return false
		}
	}
	return true
}
