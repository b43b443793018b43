package node

import (
	"cmp"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
)

// retire ends this relay's say for this life: what it promised is not on disk.
func (n *Node) retire(why string) {
	if n.engine == nil {
		return
	}
	// What only the engine knew may not have been agreed on: it is learned anew.
	n.engine, n.broken, n.agreed = nil, why, &policy.State{}
	n.known, n.until, n.index = &policy.State{}, 0, 0
	n.lead.reset(n.now)
	n.log("this relay has no say in its fleet until it is started again", "error", why)
}

// reborn has this relay come back as a new member: what the old one promised, it may have forgotten.
func (n *Node) reborn(why string) {
	id := n.draw() | 1
	e, err := consensus.New(id, n.draw(), &consensus.Image{}, n.now)
	if err != nil {
		n.retire(err.Error())
		return
	}
	n.log("this relay comes back as a new member of its fleet", "why", why)
	n.engine, n.agreed, n.probation = e, &policy.State{}, false
	n.lead.reset(n.now)
	n.do(Action{Save: &consensus.Image{Whole: true}, Member: id})
}

// vote does a voter's work: it keeps the engine going, and the fleet too where it leads.
func (n *Node) vote() {
	if n.probation {
		n.probe()
	}
	if n.engine == nil || n.probation {
		return
	}
	err := n.engine.Tick(n.now)
	if err == nil {
		err = n.run()
	}
	if err == nil && n.engine.Leads() {
		n.govern()
		err = n.run()
	}
	if err != nil {
		n.retire(err.Error())
		return
	}
	if !n.engine.Leads() {
		n.lead.reset(n.now)
	}
	n.learn(n.agreed)
}

// run takes what the engine has ready.
func (n *Node) run() error {
	out, err := n.engine.Output(n.now, n.apply, n.restore, n.pack)
	if err != nil {
		return err
	}
	if out.Save != nil {
		out.Save.Memory = maps.Clone(n.memory)
		n.do(Action{Save: out.Save})
	}
	for _, m := range out.Messages {
		if to := cmp.Or(n.agreed.Members[m.To], n.routes[m.To]); to != "" {
			n.send(to, &Message{Raft: &Raft{n.engine.ID, m.To, m.Data}})
		}
	}
	for _, no := range out.Reads {
		n.lead.confirmed = max(n.lead.confirmed, no)
	}
	return nil
}

func (n *Node) pack() []byte {
	b, err := cbor.Marshal(n.agreed)
	if err != nil {
		panic(err) // plain data always can be
	}
	return b
}

func (n *Node) restore(b []byte) {
	s := &policy.State{}
	if err := cbor.Unmarshal(b, s); err != nil {
		panic(fmt.Sprintf("node: a snapshot can't be read: %v", err)) // the engine turns it into an error
	}
	n.agreed = s
}

func (n *Node) apply(c consensus.Committed) {
	s := n.agreed.Clone()
	switch {
	case c.Members != nil:
		s.Index = c.Index
		members := map[uint64]string{}
		for _, id := range c.Members {
			if members[id] = s.Members[id]; c.Names[id] != "" {
				members[id] = c.Names[id]
			}
		}
		s.Members = members
	case len(c.Data) > 0:
		cmd := &policy.Command{}
		if err := cbor.Unmarshal(c.Data, cmd); err == nil {
			was := s.Change
			s.Apply(c.Index, cmd)
			n.logStep(was, s)
		}
	default:
		s.Index = c.Index
	}
	n.agreed = s
}

func (n *Node) logStep(was *policy.Change, s *policy.State) {
	switch ch := s.Change; {
	case ch != nil && (was == nil || was.Phase != ch.Phase):
		n.log("policy "+ch.Phase.String(), "version", ch.Version, "base", ch.Base, "by", ch.By, "excused", ch.Excused)
	case ch == nil && was != nil:
		if p := s.Past[len(s.Past)-1]; p.Why != "" {
			n.log("policy dropped", "version", p.Version, "why", p.Why)
		} else {
			n.log("policy in force", "version", p.Version)
		}
	}
}

// remember keeps what a member has shown to hold, on disk with the next save.
func (n *Node) remember(member uint64, p consensus.Position) {
	if !p.Beyond(n.memory[member]) {
		return
	}
	if n.memory[member] = p; len(n.memory) > mostMemory {
		for id := range n.memory {
			if n.agreed.Members[id] == "" {
				delete(n.memory, id)
			}
		}
	}
}

// probe asks the other voters what they remember of this one, before it has a say: its folder may be an older copy.
func (n *Node) probe() {
	others := 0
	for _, name := range n.cfg.Voters {
		if name == n.cfg.Name {
			continue
		}
		if others++; n.now >= n.recallAt && !n.answers[name] {
			n.send(name, &Message{Recall: &Recall{Member: n.engine.ID}})
		}
	}
	if n.now >= n.recallAt {
		n.recallAt = n.now + askAgain
	}
	// Half of the others, and itself, are a majority; all are asked for, but nobody waits for ever for the silent.
	if got := len(n.answers); got >= others || got >= (others+1)/2 && n.now-n.since > recallLeases*n.cfg.Lease {
		n.probation = false
	}
}

func (n *Node) recall(from string, r *Recall) {
	if !r.Answer {
		p := n.memory[r.Member]
		n.send(from, &Message{Recall: &Recall{r.Member, true, p.Term, p.Last}})
		return
	}
	if n.engine == nil || r.Member != n.engine.ID || !n.probation {
		return
	}
	if (consensus.Position{Term: r.Term, Last: r.Last}).Beyond(n.engine.Position()) {
		n.reborn("others remember more of it than its folder does")
		return
	}
	n.answers[from] = true
}

// Voters is how many members have a say, as far as this relay's engine knows.
func (n *Node) Voters() int {
	if n.engine == nil {
		return 0
	}
	return len(n.engine.Voters())
}

// Leads tells whether this relay takes itself for the leader.
func (n *Node) Leads() bool { return n.engine != nil && n.engine.Leads() }
