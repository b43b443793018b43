package decommission

import (
	"cmp"
	"maps"
	"slices"
)

// Operation is the newest decommissioning of a machine.
type Operation struct {
	Node  string   `json:"node"`
	IDs   []string `json:"ids"` // identities that never get replicas again, sorted
	State State    `json:"state"`
	Index uint64   `json:"index"` // log index of the proposal
	AtMs  int64    `json:"atMs"`  // the leader's time of day when it made the proposal, ms since 1970
}

// has reports whether the identity is one of the machine's.
func (o *Operation) has(id string) bool { return slices.Contains(o.IDs, id) }

// add adds identities, without duplicates and empty ones.
func (o *Operation) add(ids ...string) {
	all := slices.Clone(o.IDs)
	for _, id := range ids {
		if id != "" && !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	o.IDs = all
}

// StateMachine holds the newest operation of each machine.
type StateMachine struct {
	operations map[string]Operation // by node
}

// New returns a state machine without operations.
func New() *StateMachine { return &StateMachine{operations: map[string]Operation{}} }

// ApplyProposal decides a proposal that was committed at that log index. A duplicate changes nothing, also after the operation's
// end; a machine that has returned with a new identity is drained again. If too few stores would remain, a proposal that may be a
// late duplicate of an accepted one is acknowledged nevertheless, since the accepted one has been carried out.
func (s *StateMachine) ApplyProposal(index uint64, proposal Proposal) Result {
	operation, exists := s.operations[proposal.Node]
	if exists && (operation.State == InService || proposal.ID == "" || operation.has(proposal.ID)) {
		return Accepted
	}
	if s.Remaining(proposal) < proposal.MinRemaining {
		if exists && operation.Index > proposal.DedupExpiredIndex {
			return Accepted
		}
		return TooFewStores
	}
	operation.Node, operation.State = proposal.Node, InService
	operation.Index, operation.AtMs = index, proposal.AtMs
	operation.add(proposal.ID)
	s.operations[proposal.Node] = operation
	return Accepted
}

// Remaining counts the running stores that may have replicas once the proposal is carried out.
func (s *StateMachine) Remaining(proposal Proposal) int {
	count := 0
	for _, store := range proposal.RunningStores {
		if store.Node != proposal.Node && !s.Excludes(store) {
			count++
		}
	}
	return count
}

// ApplyDecision finishes an operation that is in service; a later decision on it changes nothing.
func (s *StateMachine) ApplyDecision(decision Decision) {
	operation, exists := s.operations[decision.Node]
	if !exists || operation.State != InService {
		return
	}
	operation.State = Finished
	operation.add(decision.IDs...)
	s.operations[decision.Node] = operation
}

// Excludes reports whether a store must not get replicas: it is being drained, or its identity was decommissioned.
func (s *StateMachine) Excludes(store Store) bool {
	if s.operations[store.Node].State == InService {
		return true
	}
	for _, operation := range s.operations {
		if operation.has(store.ID) {
			return true
		}
	}
	return false
}

// Operation returns the newest operation of a machine.
func (s *StateMachine) Operation(node string) (Operation, bool) {
	operation, exists := s.operations[node]
	return operation, exists
}

// Operations lists the newest operation of each machine, by node.
func (s *StateMachine) Operations() []Operation {
	list := slices.Collect(maps.Values(s.operations))
	sortByNode(list)
	return list
}

// Active lists the operations in service, by node.
func (s *StateMachine) Active() []Operation {
	var active []Operation
	for _, operation := range s.operations {
		if operation.State == InService {
			active = append(active, operation)
		}
	}
	sortByNode(active)
	return active
}

func sortByNode(list []Operation) {
	slices.SortFunc(list, func(a, b Operation) int { return cmp.Compare(a.Node, b.Node) })
}

// Snapshot is the complete state as it is stored.
type Snapshot struct {
	Operations []Operation `json:"retirements,omitempty"` // by node
}

// Snapshot returns the complete state.
func (s *StateMachine) Snapshot() Snapshot { return Snapshot{Operations: s.Operations()} }

// Restore returns the state machine of a snapshot.
func Restore(snapshot Snapshot) *StateMachine {
	s := New()
	for _, operation := range snapshot.Operations {
		s.operations[operation.Node] = operation
	}
	return s
}
