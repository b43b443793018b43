package membership

import (
	"math/rand/v2"
	"slices"
)

// insert puts a new member at a random place among those that are still to come in this round.
func (p *prober) insert(name string, random *rand.Rand) {
	position := p.position + random.IntN(len(p.rotation)-p.position+1)
	p.rotation = slices.Insert(p.rotation, position, name)
}

// nextTarget returns the next member of the round, and begins a new round when all have had their turn.
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

// probeReplicas has the controllers share out, and ping once an interval, all members that hold replicas of groups, since their
// loss is to be made good before the next one: in the usual round some of them would be probed only after seconds.
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
		if proberOf(members[i].Name, number, controllers) == n.self.Name {
			n.probeOnce(members[i].Name)
		}
	}
}

// probeOnce pings a member, unless a probe of it is under way.
func (n *Node) probeOnce(name string) {
	if target := n.table.entries[name]; target != nil && !n.isProbing(target) {
		n.probeNode(target)
	}
}

// proberOf is the controller that pings the member with that number: none pings itself.
func proberOf(name string, number int, controllers []string) string {
	prober := controllers[number%len(controllers)]
	if prober == name {
		prober = controllers[(number+1)%len(controllers)]
	}
	return prober
}

// runningControllers are the names of the controllers that run, in their order. The node itself is one of them.
func runningControllers(members []Member) []string {
	var names []string
	for i := range members {
		if members[i].Role == Controller && members[i].State == StateAlive {
			names = append(names, members[i].Name)
		}
	}
	return names
}
