package membership

import (
	"math/rand/v2"
	"slices"
)

// insert adds a new member at a random position among the members still to be probed in this round (SWIM section 4.3).
func (p *prober) insert(name string, random *rand.Rand) {
	position := p.position + random.IntN(len(p.rotation)-p.position+1)
	p.rotation = slices.Insert(p.rotation, position, name)
}

// nextTarget returns the next live member of the round, and starts a new round at the end; nil if there is no live member.
func (n *Node) nextTarget() *entry {
	if n.table.liveCount == 0 {
		return nil
	}
	for {
		if n.prober.position >= len(n.prober.rotation) {
			n.shuffleRotation()
		}
		name := n.prober.rotation[n.prober.position]
		n.prober.position++
		if target := n.table.entries[name]; target != nil && !target.DeadOrLeft() {
			return target
		}
	}
}

// shuffleRotation starts a new round over all live members in random order.
func (n *Node) shuffleRotation() {
	n.prober.position = 0
	n.prober.rotation = n.prober.rotation[:0]
	for _, e := range n.table.sorted {
		if !e.DeadOrLeft() {
			n.prober.rotation = append(n.prober.rotation, e.Name)
		}
	}
	rotation := n.prober.rotation
	n.random.Shuffle(len(rotation), func(i, j int) { rotation[i], rotation[j] = rotation[j], rotation[i] })
}

// probeReplicas makes the controllers together probe every member with replicas of groups once per interval, in addition to the
// round. A lost replica must be repaired before the next one is lost, and the round alone would reach some members only after many
// intervals.
func (n *Node) probeReplicas() {
	if n.self.Role != Controller {
		return
	}
	members := n.Members()
	controllers := runningControllers(members)
	number := 0
	for i := range members {
		if members[i].Role == Agent || members[i].DeadOrLeft() {
			continue
		}
		number++
		if proberFor(members[i].Name, number, controllers) == n.self.Name {
			n.probeOnce(members[i].Name)
		}
	}
}

// probeOnce probes a member unless a probe of the member is pending.
func (n *Node) probeOnce(name string) {
	if target := n.table.entries[name]; target != nil && !n.isProbing(target) {
		n.probeNode(target)
	}
}

// proberFor returns the controller that probes the member with the given name and number. No controller probes itself.
func proberFor(name string, number int, controllers []string) string {
	prober := controllers[number%len(controllers)]
	if prober == name {
		prober = controllers[(number+1)%len(controllers)]
	}
	return prober
}

// runningControllers returns the sorted names of the controllers that are alive, of which this node must be one.
func runningControllers(members []Member) []string {
	var names []string
	for i := range members {
		if members[i].Role == Controller && members[i].State == StateAlive {
			names = append(names, members[i].Name)
		}
	}
	return names
}
