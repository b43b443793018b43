package node

import (
	"cmp"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
)

// disableVoting ends this relay's part in the voters' group until its next start, since what its engine must remember is not on disk.
func (n *Node) disableVoting(reason string) {
	if n.engine == nil {
		return
	}
	// What only the engine knew may not be committed: this relay learns the state from others.
	n.engine, n.votingDisabled, n.applied = nil, reason, &policy.State{}
	n.newest, n.leaseUntil, n.leaseIndex = &policy.State{}, 0, 0
	n.leadership.reset(n.now)
	n.log("voting disabled until restart", "err", reason)
}

// rejoinAsNewMember makes this relay a new member of the voters' group, as the old one may have forgotten votes and entries.
func (n *Node) rejoinAsNewMember(reason string) {
	id := n.random() | 1
	engine, err := consensus.New(id, n.random(), &consensus.Image{}, n.now)
	if err != nil {
		n.disableVoting(err.Error())
		return
	}
	n.log("rejoining fleet as new member", "err", reason)
	n.engine, n.applied, n.probation = engine, &policy.State{}, false
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
	for _, message := range out.Messages {
		if to := cmp.Or(n.applied.Members[message.To], n.memberRelays[message.To]); to != "" {
			n.send(to, &Message{Raft: &Raft{n.engine.ID, message.To, message.Data}})
		}
	}
	for _, number := range out.ConfirmedReads {
		n.leadership.confirmedRead = max(n.leadership.confirmedRead, number)
	}
	return nil
}

// encodeState encodes the applied state for a snapshot.
func (n *Node) encodeState() []byte {
	encoded, err := cbor.Marshal(n.applied)
	if err != nil {
		panic(err) // plain data can always be encoded
	}
	return encoded
}

// restoreState replaces the applied state by that of a snapshot. It panics where that can't be decoded: see consensus.Engine.Ready.
func (n *Node) restoreState(encoded []byte) {
	state := &policy.State{}
	if err := cbor.Unmarshal(encoded, state); err != nil {
		panic(fmt.Sprintf("node: a snapshot can't be read: %v", err)) // the engine turns it into an error
	}
	n.applied = state
}

// apply applies a committed entry to the state; one that can't be decoded changes nothing.
func (n *Node) apply(committed consensus.Committed) {
	state := n.applied.Clone()
	switch {
	case committed.Members != nil:
		state.Index = committed.Index
		members := map[uint64]string{}
		for _, id := range committed.Members {
			if members[id] = state.Members[id]; committed.Names[id] != "" {
				members[id] = committed.Names[id]
			}
		}
		state.Members = members
	case len(committed.Data) > 0:
		command := &policy.Command{}
		if err := cbor.Unmarshal(committed.Data, command); err == nil {
			before := state.Change
			state.Apply(committed.Index, command)
			n.logTransition(before, state)
		}
	default:
		state.Index = committed.Index
	}
	n.applied = state
}

// logTransition logs a change that has reached its next phase, or its end.
func (n *Node) logTransition(before *policy.Change, state *policy.State) {
	switch change := state.Change; {
	case change != nil && (before == nil || before.Phase != change.Phase):
		n.log("policy "+change.Phase.String(), "version", change.Version, "base", change.Base, "by", change.By, "excused", change.Excused)
	case change == nil && before != nil:
		if past := state.PastChanges[len(state.PastChanges)-1]; past.DropReason != "" {
			n.log("policy dropped", "version", past.Version, "why", past.DropReason)
		} else {
			n.log("policy in force", "version", past.Version)
		}
	}
}

// rememberPosition stores the newest log position that a member has shown; it is on disk with the next save.
func (n *Node) rememberPosition(member uint64, position consensus.LogPosition) {
	if !position.After(n.remembered[member]) {
		return
	}
	if n.remembered[member] = position; len(n.remembered) > maxRemembered {
		for id := range n.remembered {
			if n.applied.Members[id] == "" {
				delete(n.remembered, id)
			}
		}
	}
}

// queryPositions asks the other voters, before this one votes, which log position they remember of it: its folder may be an older copy.
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

// handlePositionQuery answers a query, or takes the answer to this relay's own.
func (n *Node) handlePositionQuery(from string, query *PositionQuery) {
	if !query.Answer {
		position := n.remembered[query.Member]
		n.send(from, &Message{PositionQuery: &PositionQuery{query.Member, true, position.Term, position.LastIndex}})
		return
	}
	if n.engine == nil || query.Member != n.engine.ID || !n.probation {
		return
	}
	if (consensus.LogPosition{Term: query.Term, LastIndex: query.LastIndex}).After(n.engine.Position()) {
		n.rejoinAsNewMember("others remember more of it than its folder does")
		return
	}
	n.positionAnswers[from] = true
}

// Voters returns the number of voters, as far as this relay's engine knows; 0: it has none.
func (n *Node) Voters() int {
	if n.engine == nil {
		return 0
	}
	return len(n.engine.Voters())
}

// IsLeader reports whether this relay takes itself for the leader.
func (n *Node) IsLeader() bool { return n.engine != nil && n.engine.IsLeader() }
