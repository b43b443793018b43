package node

import (
	"cmp"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
)

// disableVoting removes this relay from the voter group until its next start. It is called when the engine fails or its state can't be
// saved.
func (n *Node) disableVoting(reason string) {
	if n.engine == nil {
		return
	}
	// The state that only the engine knew may not be committed: this relay gets it from others again.
	n.engine, n.votingDisabled, n.applied = nil, reason, &policy.State{}
	n.newest, n.leaseUntil, n.leaseIndex = &policy.State{}, 0, 0
	n.leadership.reset(n.now)
	n.log("voting disabled until restart", "err", reason)
}

// rejoinAsNewMember makes this relay a new member of the voter group, since the old member may have lost votes and entries.
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

// stepVoter does a voter's work in a Step: it drives the engine and, on the leader, leads the fleet.
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
		panic(err) // a State can always be encoded
	}
	return encoded
}

// restoreState replaces the applied state by that of a snapshot. It panics if the snapshot can't be decoded; consensus.Engine.Ready returns
// that panic as an error.
func (n *Node) restoreState(encoded []byte) {
	state := &policy.State{}
	if err := cbor.Unmarshal(encoded, state); err != nil {
		panic(fmt.Sprintf("node: decoding a snapshot: %v", err)) // the engine turns it into an error
	}
	n.applied = state
}

// apply applies a committed entry to the state. An entry that can't be decoded is ignored.
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

// logTransition logs that a change has reached a new phase, or has ended.
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

// rememberPosition remembers a log position that a member has shown if it is the newest. The next save writes it to disk.
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

// queryPositions asks the other voters for the log position that they remember of this one, and ends the probation once enough have
// answered. This voter's folder may be an older copy, with which it must not vote.
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
	// Half of the other voters and this one are a majority. It waits for the others as well, but only for positionQueryLeases leases.
	if got := len(n.positionAnswers); got >= others || got >= (others+1)/2 && n.now-n.startedAt > positionQueryLeases*n.config.Lease {
		n.probation = false
	}
}

// handlePositionQuery answers a query, or handles an answer to this relay's query.
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
		n.rejoinAsNewMember("other voters remember entries that its log has lost")
		return
	}
	n.positionAnswers[from] = true
}

// Voters returns the number of voters that this relay's engine knows; 0: this relay has no engine.
func (n *Node) Voters() int {
	if n.engine == nil {
		return 0
	}
	return len(n.engine.Voters())
}

// IsLeader reports whether this relay considers itself the leader.
func (n *Node) IsLeader() bool { return n.engine != nil && n.engine.IsLeader() }
