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

// Machine is a storage machine with the identity on its disk.
type Machine struct {
	Node string `json:"node"`
	ID   string `json:"id"`
}

// Order asks for a storage machine to be emptied. It carries what its owner saw, so that all replicas judge it alike.
type Order struct {
	Machine
	Running []Machine `json:"running"` // storage machines that ran when the order came
	Least   int       `json:"least"`   // how many of them must remain
	AtMs    int64     `json:"atMs"`    // time of day at which the owner took it

	// Settled is the index up to which orders taken are no longer repeated by anyone, as the owner knows by its clocks.
	Settled uint64 `json:"settled,omitempty"`
}

// Decision ends an order.
type Decision struct {
	Node      string   `json:"node"`
	IDs       []string `json:"ids"`       // all identities that the machine has had
	Placement uint64   `json:"placement"` // index of the placement under which it was found to be empty
}

// Verdict is the outcome of an order.
type Verdict string

// The verdicts.
const (
	Taken  Verdict = "taken"   // now, or before
	TooFew Verdict = "too_few" // too few machines would remain
)

// Retirement is the newest order about a machine.
type Retirement struct {
	Node  string   `json:"node"`
	IDs   []string `json:"ids"` // identities that never get replicas again, sorted
	State State    `json:"state"`
	Index uint64   `json:"index"` // of the order's entry
	AtMs  int64    `json:"atMs"`  // time of day at which the owner took it
}

// has tells whether the identity is one of the machine's.
func (r *Retirement) has(id string) bool { return slices.Contains(r.IDs, id) }

// add takes identities in.
func (r *Retirement) add(ids ...string) {
	known := slices.Clone(r.IDs)
	for _, id := range ids {
		if id != "" && !slices.Contains(known, id) {
			known = append(known, id)
		}
	}
	slices.Sort(known)
	r.IDs = known
}

// Register is the state machine.
type Register struct {
	retirements map[string]Retirement // by machine
}

// New returns a register without orders.
func New() *Register { return &Register{retirements: map[string]Retirement{}} }

// Order takes an order. The same one again changes nothing, also after its end; a machine that has come back with an
// identity that wasn't retired is retired anew. Where too few machines would remain for that, an order that may be the repeat
// of one that was taken is acknowledged all the same: that one has been carried out.
func (r *Register) Order(index uint64, order Order) Verdict {
	known, asked := r.retirements[order.Node]
	if asked && (known.State == InService || order.ID == "" || known.has(order.ID)) {
		return Taken
	}
	if r.Remaining(order) < order.Least {
		if asked && known.Index > order.Settled {
			return Taken
		}
		return TooFew
	}
	known.Node, known.State = order.Node, InService
	known.Index, known.AtMs = index, order.AtMs
	known.add(order.ID)
	r.retirements[order.Node] = known
	return Taken
}

// Remaining counts the machines that may hold replicas once the order is carried out.
func (r *Register) Remaining(order Order) int {
	count := 0
	for _, m := range order.Running {
		if m.Node != order.Node && !r.Excludes(m) {
			count++
		}
	}
	return count
}

// Decide ends an order that is in service; a later decision on it changes nothing.
func (r *Register) Decide(decision Decision) {
	known, asked := r.retirements[decision.Node]
	if !asked || known.State != InService {
		return
	}
	known.State = Finished
	known.add(decision.IDs...)
	r.retirements[decision.Node] = known
}

// Excludes tells whether the machine must not get replicas: it is being emptied, or its identity was retired.
func (r *Register) Excludes(m Machine) bool {
	if r.retirements[m.Node].State == InService {
		return true
	}
	for _, known := range r.retirements {
		if known.has(m.ID) {
			return true
		}
	}
	return false
}

// Retirement returns the newest order about a machine.
func (r *Register) Retirement(node string) (Retirement, bool) {
	known, asked := r.retirements[node]
	return known, asked
}

// All lists the newest order about each machine, by machine.
func (r *Register) All() []Retirement {
	list := slices.Collect(maps.Values(r.retirements))
	sortByNode(list)
	return list
}

// Open lists the orders in service, by machine.
func (r *Register) Open() []Retirement {
	var open []Retirement
	for _, known := range r.retirements {
		if known.State == InService {
			open = append(open, known)
		}
	}
	sortByNode(open)
	return open
}

func sortByNode(list []Retirement) {
	slices.SortFunc(list, func(a, b Retirement) int { return cmp.Compare(a.Node, b.Node) })
}

// Saved is the register as a snapshot holds it.
type Saved struct {
	Retirements []Retirement `json:"retirements,omitempty"` // by machine
}

// Saved returns the whole register.
func (r *Register) Saved() Saved { return Saved{Retirements: r.All()} }

// Restore returns the register that a snapshot holds.
func Restore(saved Saved) *Register {
	r := New()
	for _, known := range saved.Retirements {
		r.retirements[known.Node] = known
	}
	return r
}
