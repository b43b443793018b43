package node

import "mastusher/internal/tier/membership"

// peers lists the addresses of the other live members. If there are none, the result is empty and not nil, as the gossiper interprets
// nil as unchanged.
func (n *Node) peers() []string {
	peers := []string{}
	for _, m := range n.Members() {
		if !m.DeadOrLeft() && m.Name != n.options.Self.Name {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// nextControllers returns up to count addresses of controllers in rotation: of the other live controllers or, while none is known, the
// seeds. Only the goroutine of the gossip may call it.
func (n *Node) nextControllers(count int) []string {
	var known []string
	for _, m := range n.Members() {
		if m.Role == membership.Controller && !m.DeadOrLeft() && m.Name != n.options.Self.Name {
			known = append(known, m.Address)
		}
	}
	if len(known) == 0 {
		known = n.currentSeeds()
	}
	count = min(count, len(known))
	chosen := make([]string, 0, count)
	for range count {
		chosen = append(chosen, known[n.nextController%len(known)])
		n.nextController++
	}
	return chosen
}
