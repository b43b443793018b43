package node

import (
	"cmp"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
)

// disableVoting makes this relay no voter until its next start: what its engine must remember is not on disk.
func (n *Node) disableVoting(why string) {
	if n.engine == nil {
		return
	}
	// What only the engine knew may not be committed: it is learned anew.
	n.engine, n.votingDisabled, n.applied = nil, why, &policy.State{}
	n.newest, n.leaseUntil, n.leaseIndex = &policy.State{}, 0, 0
	n.leadership.reset(n.now)
	n.log("voting disabled until restart", "err", why)
}

// rejoinAsNewMember makes this relay a new member of the voters' group, as the old one may have forgotten votes and entries.
func (n *Node) rejoinAsNewMember(why string) {
	id := n.random() | 1
	e, err := consensus.New(id, n.random(), &consensus.Image{}, n.now)
	if err != nil {
		n.disableVoting(err.Error())
		return
	}
	n.log("rejoining fleet as new member", "err", why)
	n.engine, n.applied, n.probation = e, &policy.State{}, false
	n.leadership.reset(n.now)
	n.emit(Action{Save: &consensus.Image{Complete: true}, Member: id})
}

// stepVoter does a voter's work in a Step: it drives the engine, and leads the fleet where it is the leader.
func (n *Node) stepVoter() {
	if n.probation {
		n.queryPositions()
	}
	if n.engine == nil || n.probation {
		return
	}
	err := n.engine.Tick(n.now)
	if err == nil {
		err = n.processReady()
	}
	if err == nil && n.engine.IsLeader() {
		n.stepLeader()
		err = n.processReady()
	}
	if err != nil {
		n.disableVoting(err.Error())
		return
	}
	if !n.engine.IsLeader() {
		n.leadership.reset(n.now)
	}
	n.adoptState(n.applied)
}

// processReady turns the engine's Ready into actions.
func (n *Node) processReady() error {
	out, err := n.engine.Ready(n.now, n.apply, n.restoreState, n.encodeState)
	if err != nil {
		return err
	}
	if out.Save != nil {
		out.Save.Remembered = maps.Clone(n.remembered)
		n.emit(Action{Save: out.Save})
	}
	for _, m := range out.Messages {
		if to := cmp.Or(n.applied.Members[m.To], n.memberRelays[m.To]); to != "" {
			n.send(to, &Message{Raft: &Raft{n.engine.ID, m.To, m.Data}})
		}
	}
	for _, no := range out.ConfirmedReads {
		n.leadership.confirmedRead = max(n.leadership.confirmedRead, no)
	}
	return nil
}

func (n *Node) encodeState() []byte {
	b, err := cbor.Marshal(n.applied)
	if err != nil {
		panic(err) // plain data always can be
	}
	return b
}

func (n *Node) restoreState(b []byte) {
	s := &policy.State{}
	if err := cbor.Unmarshal(b, s); err != nil {
		panic(fmt.Sprintf("node: a snapshot can't be read: %v", err)) // the engine turns it into an error
	}
	n.applied = s
}

func (n *Node) apply(c consensus.Committed) {
	s := n.applied.Clone()
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
			n.logTransition(was, s)
		}
	default:
		s.Index = c.Index
	}
	n.applied = s
}

func (n *Node) logTransition(was *policy.Change, s *policy.State) {
	switch ch := s.Change; {
	case ch != nil && (was == nil || was.Phase != ch.Phase):
		n.log("policy "+ch.Phase.String(), "version", ch.Version, "base", ch.Base, "by", ch.By, "excused", ch.Excused)
	case ch == nil && was != nil:
		if p := s.PastChanges[len(s.PastChanges)-1]; p.DropReason != "" {
			n.log("policy dropped", "version", p.Version, "why", p.DropReason)
		} else {
			n.log("policy in force", "version", p.Version)
		}
	}
}

// rememberPosition keeps the newest log position that a member has shown; it is on disk with the next save.
func (n *Node) rememberPosition(member uint64, p consensus.LogPosition) {
	if !p.After(n.remembered[member]) {
		return
	}
	if n.remembered[member] = p; len(n.remembered) > maxRemembered {
		for id := range n.remembered {
			if n.applied.Members[id] == "" {
				delete(n.remembered, id)
			}
		}
	}
}

// queryPositions asks the other voters which log position they remember of this one before it votes: its folder may be an older
// copy.
func (n *Node) queryPositions() {
	others := 0
	for _, name := range n.config.Voters {
		if name == n.config.Name {
			continue
		}
		if others++; n.now >= n.nextPositionQueryAt && !n.positionAnswers[name] {
			n.send(name, &Message{PositionQuery: &PositionQuery{Member: n.engine.ID}})
		}
	}
	if n.now >= n.nextPositionQueryAt {
		n.nextPositionQueryAt = n.now + retryInterval
	}
	// Half of the others and itself are a majority. It waits for all others' answers, but only for recallLeases leases.
	if got := len(n.positionAnswers); got >= others || got >= (others+1)/2 && n.now-n.startedAt > recallLeases*n.config.Lease {
		n.probation = false
	}
}

func (n *Node) handlePositionQuery(from string, r *PositionQuery) {
	if !r.Answer {
		p := n.remembered[r.Member]
		n.send(from, &Message{PositionQuery: &PositionQuery{r.Member, true, p.Term, p.LastIndex}})
		return
	}
	if n.engine == nil || r.Member != n.engine.ID || !n.probation {
		return
	}
	if (consensus.LogPosition{Term: r.Term, LastIndex: r.LastIndex}).After(n.engine.Position()) {
		n.rejoinAsNewMember("others remember more of it than its folder does")
		return
	}
	n.positionAnswers[from] = true
}

// Voters is the number of voters, as far as this relay's engine knows.
func (n *Node) Voters() int {
	if n.engine == nil {
		return 0
	}
	return len(n.engine.Voters())
}

// IsLeader tells whether this relay takes itself for the leader.
func (n *Node) IsLeader() bool { return n.engine != nil && n.engine.IsLeader() }
