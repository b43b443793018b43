// Package decommission keeps which storage machines are to be emptied, and tells when nothing depends on one any more. It is pure.
package decommission

import (
	"cmp"
	"maps"
	"slices"
)

// State is how far an order has come.
type State string

// The states, as the operator reads them.
const (
	InService State = "in_service" // replicas are still leaving the machine
	Finished  State = "finished"   // nothing depends on the machine: it may go with its disk
)

// Store is a storage machine with the identity on its disk.
type Store struct {
	Node string `json:"node"`
	ID   string `json:"id"`
}

// Proposal asks for a storage machine to be emptied. It carries what its owner saw, so that all replicas judge it alike.
type Proposal struct {
	Store
	RunningStores []Store `json:"running"` // storage machines that ran when the order came
	MinRemaining  int     `json:"least"`   // how many of them must remain
	AtMs          int64   `json:"atMs"`    // time of day at which the owner took it

	// DedupExpiredIndex is the index up to which orders taken are no longer repeated by anyone, as the owner knows by its clocks.
	DedupExpiredIndex uint64 `json:"settled,omitempty"`
}

// Decision ends an order.
type Decision struct {
	Node           string   `json:"node"`
	IDs            []string `json:"ids"`       // all identities that the machine has had
	PlacementIndex uint64   `json:"placement"` // index of the placement under which it was found to be empty
}

// Result is the outcome of an order.
type Result string

// The verdicts.
const (
	Accepted     Result = "taken"   // now, or before
	TooFewStores Result = "too_few" // too few machines would remain
)

// Operation is the newest order about a machine.
type Operation struct {
	Node  string   `json:"node"`
	IDs   []string `json:"ids"` // identities that never get replicas again, sorted
	State State    `json:"state"`
	Index uint64   `json:"index"` // of the order's entry
	AtMs  int64    `json:"atMs"`  // time of day at which the owner took it
}

// has tells whether the identity is one of the machine's.
func (r *Operation) has(id string) bool { return slices.Contains(r.IDs, id) }

// add takes identities in.
func (r *Operation) add(ids ...string) {
	known := slices.Clone(r.IDs)
	for _, id := range ids {
		if id != "" && !slices.Contains(known, id) {
			known = append(known, id)
		}
	}
	slices.Sort(known)
	r.IDs = known
}

// StateMachine is the state machine.
type StateMachine struct {
	operations map[string]Operation // by machine
}

// New returns a register without orders.
func New() *StateMachine { return &StateMachine{operations: map[string]Operation{}} }

// Proposal takes an order. The same one again changes nothing, also after its end; a machine that has come back with an
// identity that wasn't retired is retired anew. Where too few machines would remain for that, an order that may be the repeat
// of one that was taken is acknowledged all the same: that one has been carried out.
func (r *StateMachine) ApplyProposal(index uint64, order Proposal) Result {
	known, asked := r.operations[order.Node]
	if asked && (known.State == InService || order.ID == "" || known.has(order.ID)) {
		return Accepted
	}
	if r.Remaining(order) < order.MinRemaining {
		if asked && known.Index > order.DedupExpiredIndex {
			return Accepted
		}
		return TooFewStores
	}
	known.Node, known.State = order.Node, InService
	known.Index, known.AtMs = index, order.AtMs
	known.add(order.ID)
	r.operations[order.Node] = known
	return Accepted
}

// Remaining counts the machines that may hold replicas once the order is carried out.
func (r *StateMachine) Remaining(order Proposal) int {
	count := 0
	for _, m := range order.RunningStores {
		if m.Node != order.Node && !r.Excludes(m) {
			count++
		}
	}
	return count
}

// ApplyDecision ends an order that is in service; a later decision on it changes nothing.
func (r *StateMachine) ApplyDecision(decision Decision) {
	known, asked := r.operations[decision.Node]
	if !asked || known.State != InService {
		return
	}
	known.State = Finished
	known.add(decision.IDs...)
	r.operations[decision.Node] = known
}

// Excludes tells whether the machine must not get replicas: it is being emptied, or its identity was retired.
func (r *StateMachine) Excludes(m Store) bool {
	if r.operations[m.Node].State == InService {
		return true
	}
	for _, known := range r.operations {
		if known.has(m.ID) {
			return true
		}
	}
	return false
}

// Operation returns the newest order about a machine.
func (r *StateMachine) Operation(node string) (Operation, bool) {
	known, asked := r.operations[node]
	return known, asked
}

// Operations lists the newest order about each machine, by machine.
func (r *StateMachine) Operations() []Operation {
	list := slices.Collect(maps.Values(r.operations))
	sortByNode(list)
	return list
}

// Active lists the orders in service, by machine.
func (r *StateMachine) Active() []Operation {
	var open []Operation
	for _, known := range r.operations {
		if known.State == InService {
			open = append(open, known)
		}
	}
	sortByNode(open)
	return open
}

func sortByNode(list []Operation) {
	slices.SortFunc(list, func(a, b Operation) int { return cmp.Compare(a.Node, b.Node) })
}

// Snapshot is the register as a snapshot holds it.
type Snapshot struct {
	Operations []Operation `json:"retirements,omitempty"` // by machine
}

// Snapshot returns the whole register.
func (r *StateMachine) Snapshot() Snapshot { return Snapshot{Operations: r.Operations()} }

// Restore returns the register that a snapshot holds.
func Restore(saved Snapshot) *StateMachine {
	r := New()
	for _, known := range saved.Operations {
		r.operations[known.Node] = known
	}
	return r
}
