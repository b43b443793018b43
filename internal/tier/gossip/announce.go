package gossip

import (
	"slices"

	"mastusher/internal/tier/view"
)

// announce sends the stamps that are new in this Step to a few random members, except members that have announced them all.
func (g *Gossiper) announce() {
	if len(g.changedSections) == 0 {
		return
	}
	digest := make(view.Digest, len(g.changedSections))
	for _, section := range g.changedSections {
		digest[section] = g.store.Stamp(section)
	}
	for _, peer := range g.randomPeers(g.options.Fanout) {
		g.send(peer, Message{Digest: digest})
	}
}

// randomPeers returns up to count distinct random members that have not announced the stamps of all changed sections.
func (g *Gossiper) randomPeers(count int) []string {
	const drawsPerPeer = 4
	chosen := make([]string, 0, count)
	for range drawsPerPeer * count {
		if len(chosen) == count || len(g.peers) == 0 {
			break
		}
		peer := g.peers[g.random.IntN(len(g.peers))]
		if !slices.Contains(chosen, peer) && !g.hasAnnouncedChanges(peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// hasAnnouncedChanges reports whether a member has announced all stamps that are new in this Step, or newer ones.
func (g *Gossiper) hasAnnouncedChanges(peer string) bool {
	for _, section := range g.changedSections {
		if !g.fetcher.hasAnnounced(section, g.store.Stamp(section), peer) {
			return false
		}
	}
	return true
}
