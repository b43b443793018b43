package node

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/policy"
)

// The operations of an AdminRequest, as the command line sends them.
const (
	opCounts    = "counts" // returns the sums of all relays' counters
	opStatus    = "status"
	opPropose   = "propose" // proposes a policy
	opRoster    = "roster"  // replaces the roster by that of this relay's configuration
	opBootstrap = "found"   // bootstraps a fleet
	opForce     = "force"   // bootstraps a new voter group after the loss of a majority
)

// handleAdminRequest executes an operator's request and answers it.
func (n *Node) handleAdminRequest(request *AdminRequest) {
	refusal := ""
	switch request.Op {
	case opCounts:
		n.requestTotals(request.Number)
		return
	case opStatus:
	case opPropose:
		n.propose(&policy.Command{Kind: policy.Propose, Version: request.Version, Doc: request.Doc, By: request.By, Ticket: request.Ticket}, true)
	case opRoster:
		n.propose(&policy.Command{Kind: policy.SetRoster, Roster: n.config.Roster}, true)
	case opBootstrap:
		switch {
		case n.engine == nil:
			refusal = "this relay is not one of peers.voters"
		case n.newest.Epoch != 0 || len(n.engine.Voters()) > 0:
			refusal = "this relay belongs to a fleet already"
		default:
			refusal = n.bootstrap(&policy.State{Epoch: 1, Roster: slices.Sorted(slices.Values(n.config.Roster))}, 1, 1)
		}
	case opForce:
		switch {
		case n.engine == nil || n.applied.Epoch == 0:
			refusal = "this relay is not a voter of a fleet"
		default:
			state := n.applied.Clone()
			state.Epoch++
			position := n.engine.Position()
			refusal = n.bootstrap(state, position.LastIndex+1, position.Term+1)
		}
	default:
		refusal = fmt.Sprintf("operation %q is unknown, want counts, status, propose, roster, found or force", request.Op)
	}
	status := n.Status()
	status.Error = refusal
	n.emit(Action{Answer: status, RequestNumber: request.Number})
}

// bootstrap creates a new voter group with this relay as its only member. It returns the reason of a failure; empty: success.
func (n *Node) bootstrap(state *policy.State, index, term uint64) string {
	id := n.random() | 1
	state.Index, state.Members = index, map[uint64]string{id: n.config.Name}
	n.applied = state
	engine, err := consensus.Bootstrap(id, n.random(), index, term, n.encodeState(), n.now)
	if err != nil {
		return err.Error()
	}
	n.engine, n.probation = engine, false
	n.leadership.reset(n.now)
	n.emit(Action{Save: &consensus.Image{Complete: true}, Member: id})
	n.log("bootstrapped voter group", "epoch", state.Epoch, "roster", len(state.Roster))
	return ""
}

// Status returns this relay's view of the fleet. The caller owns the result except for its State, which must not be changed.
func (n *Node) Status() *Status {
	status := &Status{Relay: n.config.Name, Generation: n.config.Generation, Leader: n.leader, State: n.newest, Progress: n.progress,
		MayAct: n.mandate.Until > n.now && n.mandate.Halted == 0, LeaseLeft: max(n.leaseUntil-n.now, 0), WhyNot: n.mandate.WhyNot}
	switch {
	case n.engine == nil && n.votingDisabled != "":
		status.Voter = "not until it is started again: " + n.votingDisabled
	case n.engine == nil:
	case n.probation:
		status.Voter = "asks the other voters for its last log position"
	case n.engine.IsLeader():
		status.Voter, status.Leader = "leads", n.config.Name
	case slices.Contains(n.engine.Voters(), n.engine.ID):
		status.Voter = "votes"
	case slices.Contains(n.engine.Learners(), n.engine.ID):
		status.Voter = "learns"
	default:
		status.Voter = "waits to be taken in"
	}
	if !status.MayAct && status.WhyNot == "" {
		if status.WhyNot = "its lease has expired"; n.mandate.Halted != 0 {
			status.WhyNot = "a decided change is about to take effect"
		}
	}
	if n.leadership.allocator != nil {
		status.Contradictions, status.Shared = n.leadership.allocator.Contradictions, n.leadership.allocator.Usage()
	}
	for _, name := range n.newest.Members {
		status.Voters = append(status.Voters, name)
	}
	slices.Sort(status.Voters)
	return status
}

// propose proposes a command through this relay's engine. If that is impossible, a command from an operator at this relay (own) is sent to
// a voter, and any other is dropped.
func (n *Node) propose(command *policy.Command, own bool) {
	switch {
	case n.engine != nil && !n.probation && n.engine.Leader() != 0:
		encoded, err := cbor.Marshal(command)
		if err == nil {
			err = n.engine.Propose(encoded)
		}
		if err != nil {
			n.log("proposing policy change failed", "err", err)
		}
	case own && len(n.config.Voters) > 0:
		n.send(n.config.Voters[n.voterIndex], &Message{Propose: command})
	}
}
