package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// goneCallEvery is how many probe intervals pass between two pings of members that are taken for dead. They let the parts
// of a healed network find one another.
const goneCallEvery = 5

// probeSteps is how many time-outs a probe takes: for the ping, for that of the helpers, and for their answers.
const probeSteps = 3

// maxVerifications bounds the pings of one Step to members about which nodes disagree.
const maxVerifications = 8

// prober holds the probes under way and whose turn it is.
type prober struct {
	next     time.Duration // when the next member is probed
	rotation []string      // names in random order; each is probed once in a round
	position int
	pending  []probe
	sequence uint64
	verified int // verifications in this Step

	gone     []*entry // those that are gone and not forgotten yet
	nextGone time.Duration
}

// probe is one ping that must be answered.
type probe struct {
	sequence    uint64
	target      *entry
	helpAt      time.Duration // when helpers are asked; never: they were, or will not be
	deadline    time.Duration
	nacks       []string // helpers that found it silent too
	nacksWanted int
}

// insert puts a new member at a random place among those that are still to come in this round.
func (p *prober) insert(name string, random *rand.Rand) {
	position := p.position + random.IntN(len(p.rotation)-p.position+1)
	p.rotation = slices.Insert(p.rotation, position, name)
}

// revive takes a member out of those that are gone.
func (p *prober) revive(back *entry) {
	p.gone = slices.DeleteFunc(p.gone, func(e *entry) bool { return e == back })
}

// probe pings the next member when it is time to.
func (n *Node) probe() {
	if n.now < n.prober.next {
		return
	}
	n.prober.next = n.now + n.jittered(n.widened(n.options.ProbeInterval))
	if target := n.nextTarget(); target != nil {
		n.startProbe(target)
	}
	n.probeReplicas()
	n.callGone()
	n.forget()
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
	if target := n.table.entries[name]; target != nil && !n.probing(target) {
		n.startProbe(target)
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

// nextTarget returns the next member of the round, and begins a new round when all have had their turn.
func (n *Node) nextTarget() *entry {
	if n.table.living == 0 {
		return nil
	}
	for {
		if n.prober.position >= len(n.prober.rotation) {
			n.newRound()
		}
		name := n.prober.rotation[n.prober.position]
		n.prober.position++
		if target := n.table.entries[name]; target != nil && !target.DeadOrLeft() {
			return target
		}
	}
}

func (n *Node) newRound() {
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

func (n *Node) startProbe(target *entry) {
	started := probe{
		sequence: n.nextSequence(),
		target:   target,
		helpAt:   n.now + n.widened(n.options.ProbeTimeout),
		deadline: n.now + n.widened(probeSteps*n.options.ProbeTimeout),
	}
	n.prober.pending = append(n.prober.pending, started)
	n.send(target.Address, Message{Kind: MsgPing, To: target.Name, Sequence: started.sequence})
}

// verify asks a member about which nodes disagree. The ping tells it that some take it for dead in that incarnation, so
// that it can refute this.
func (n *Node) verify(target *entry, incarnation uint64) {
	if n.prober.verified >= maxVerifications || n.probing(target) {
		return
	}
	n.prober.verified++
	accusation := Update{Member: Member{Name: target.Name, Incarnation: incarnation, State: StateDead}}
	ping := Message{Kind: MsgPing, To: target.Name, Updates: []Update{accusation}}
	if !target.DeadOrLeft() {
		ping.Sequence = n.nextSequence()
		n.prober.pending = append(n.prober.pending, probe{
			sequence: ping.Sequence,
			target:   target,
			helpAt:   never,
			deadline: n.now + n.widened(2*n.options.ProbeTimeout),
		})
	}
	n.send(target.Address, ping)
}

func (n *Node) probing(target *entry) bool {
	return slices.ContainsFunc(n.prober.pending, func(p probe) bool { return p.target == target })
}

func (n *Node) nextSequence() uint64 {
	n.prober.sequence++
	return n.prober.sequence
}

// expireProbes asks helpers about members that have not answered yet, and suspects those that nobody reached.
func (n *Node) expireProbes() {
	for i := 0; i < len(n.prober.pending); {
		pending := &n.prober.pending[i]
		if n.now >= pending.deadline {
			expired := *pending
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			n.probeFailed(expired)
			continue
		}
		if n.now >= pending.helpAt {
			n.askHelpers(pending)
		}
		i++
	}
}

func (n *Node) askHelpers(pending *probe) {
	pending.helpAt = never
	helpers := n.randomLiving(n.options.IndirectProbes, pending.target.Name)
	pending.nacksWanted = len(helpers)
	for _, helper := range helpers {
		n.send(helper.Address, Message{
			Kind:          MsgPingReq,
			To:            helper.Name,
			Sequence:      pending.sequence,
			Target:        pending.target.Name,
			TargetAddress: pending.target.Address,
		})
	}
}

// probeFailed suspects the target. When no helper has answered either, this node may be the one that is slow or cut off.
func (n *Node) probeFailed(failed probe) {
	if failed.nacksWanted > 0 && len(failed.nacks) == 0 {
		n.worsen()
	}
	if failed.target.State == StateAlive {
		n.suspect(failed.target, Update{From: n.self.Name})
		n.send(failed.target.Address, Message{Kind: MsgGossip, To: failed.target.Name}) // it may refute at once
	}
	news := failed.target.suspicion.confirm(n.self.Name)
	for _, helper := range failed.nacks {
		news = failed.target.suspicion.confirm(helper) || news
	}
	if news {
		n.broadcastSuspicion(failed.target, n.self.Name)
	}
}

// answered ends the probe with that sequence when it was of the member named.
func (n *Node) answered(sequence uint64, name string) bool {
	for i, pending := range n.prober.pending {
		if pending.sequence == sequence && pending.target.Name == name {
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			return true
		}
	}
	return false
}

func (n *Node) noteNack(sequence uint64, helper string) {
	for i := range n.prober.pending {
		if pending := &n.prober.pending[i]; pending.sequence == sequence {
			pending.nacks = append(pending.nacks, helper)
		}
	}
}

func (n *Node) dropProbes() { n.prober.pending = n.prober.pending[:0] }

func (n *Node) dropProbe(name string) {
	n.prober.pending = slices.DeleteFunc(n.prober.pending, func(p probe) bool { return p.target.Name == name })
}

func (n *Node) nextProbeExpiry() time.Duration {
	next := never
	for i := range n.prober.pending {
		next = min(next, n.prober.pending[i].helpAt, n.prober.pending[i].deadline)
	}
	return next
}

// callGone pings one member that is taken for dead, now and then, and tells it so.
func (n *Node) callGone() {
	if n.now < n.prober.nextGone || len(n.prober.gone) == 0 {
		return
	}
	n.prober.nextGone = n.now + n.jittered(goneCallEvery*n.options.ProbeInterval)
	called := n.prober.gone[n.random.IntN(len(n.prober.gone))]
	if called.State == StateDead {
		n.verify(called, called.Incarnation)
	}
}

// forget removes those that have been gone for long.
func (n *Node) forget() {
	n.prober.gone = slices.DeleteFunc(n.prober.gone, func(e *entry) bool {
		if n.now-e.since < n.options.TombstoneTimeout {
			return false
		}
		n.table.remove(e.Name)
		return true
	})
}

// randomLiving returns up to count different members that are alive, without the one named.
func (n *Node) randomLiving(count int, without string) []*entry {
	const drawsForEach = 4
	chosen := make([]*entry, 0, count)
	all := n.table.sorted
	if len(all) == 0 {
		return chosen
	}
	for range drawsForEach * count {
		if len(chosen) == count {
			return chosen
		}
		chosen = appendHelper(chosen, all[n.random.IntN(len(all))], without)
	}
	offset := n.random.IntN(len(all))
	for i := range all {
		if len(chosen) == count {
			return chosen
		}
		chosen = appendHelper(chosen, all[(offset+i)%len(all)], without)
	}
	return chosen
}

func appendHelper(chosen []*entry, candidate *entry, without string) []*entry {
	if candidate.State != StateAlive || candidate.Name == without || slices.Contains(chosen, candidate) {
		return chosen
	}
	return append(chosen, candidate)
}
