// Package configuration is the state machine of the operator's configuration: a register that is replaced as a whole, with
// exactly one winner for each version that it builds on.
package configuration

import (
	"encoding/json"
	"slices"
)

// maxRejections is the number of refused orders on versions still to come that are remembered.
const maxRejections = 64

// Proposal asks for a configuration to be taken.
type Proposal struct {
	Base   uint64          `json:"base"`   // number of the version that it builds on
	Number uint64          `json:"number"` // its own
	Raw    json.RawMessage `json:"raw"`    // as the operator sent it
}

// Result is the outcome of an order.
type Result string

// The verdicts.
const (
	Accepted Result = "taken"    // now, or before: exactly this order
	Conflict Result = "conflict" // another version is current
	NotNewer Result = "not_newer"
	// HistoryTruncated says that the order builds on a version so old that nobody knows any more whether it was taken.
	HistoryTruncated Result = "forgotten"
)

// Current is the configuration in force.
type Current struct {
	Number uint64          `json:"number"` // 0: none yet
	Index  uint64          `json:"index"`  // of the entry that brought it
	Raw    json.RawMessage `json:"raw,omitempty"`
}

// StateMachine holds the current configuration, which orders have been taken, and which were refused though they may still
// become fit to be taken.
type StateMachine struct {
	current  Current
	history  history
	rejected []rejection // the oldest first
}

// rejection is an order that was refused.
type rejection struct {
	base   uint64
	digest fingerprint
}

// New returns an empty register.
func New() *StateMachine { return &StateMachine{} }

// Current returns the configuration in force.
func (r *StateMachine) Current() Current { return r.current }

// Apply judges an order. An order that is the very same as one taken before is acknowledged again, whatever came since; one
// that is the same as one refused before stays refused, also where a version has come since that it fits.
func (r *StateMachine) Apply(index uint64, order *Proposal) Result {
	sum := fingerprintOf(order)
	switch r.history.find(order.Base, sum) {
	case found:
		return Accepted
	case truncated:
		return HistoryTruncated
	}
	if order.Base != r.current.Number {
		r.rememberRejection(order.Base, sum)
		return Conflict
	}
	if order.Number <= r.current.Number {
		return NotNewer
	}
	if slices.Contains(r.rejected, rejection{order.Base, sum}) {
		return Conflict
	}
	r.current = Current{Number: order.Number, Index: index, Raw: order.Raw}
	r.history.append(order.Number, sum)
	r.dropObsoleteRejections()
	return Accepted
}

// WasAccepted tells whether exactly this order has been taken, now or before. Once it was, it stays so.
func (r *StateMachine) WasAccepted(order *Proposal) bool {
	return r.history.find(order.Base, fingerprintOf(order)) == found
}

// rememberRejection remembers that an order was refused if it could still be taken later: a copy of it may be on its way.
func (r *StateMachine) rememberRejection(base uint64, sum fingerprint) {
	if base < r.current.Number || slices.Contains(r.rejected, rejection{base, sum}) {
		return
	}
	r.rejected = append(r.rejected, rejection{base, sum})
	if len(r.rejected) > maxRejections {
		r.rejected = slices.Delete(r.rejected, 0, 1)
	}
}

// dropObsoleteRejections drops the orders that can't be taken any more, since their version has been replaced.
func (r *StateMachine) dropObsoleteRejections() {
	r.rejected = slices.DeleteFunc(r.rejected, func(refused rejection) bool { return refused.base < r.current.Number })
}

// Snapshot is the register as a snapshot holds it.
type Snapshot struct {
	Current     Current     `json:"current"`
	HistoryBase uint64      `json:"oldest,omitempty"` // number on which the first order of History builds
	History     []byte      `json:"history"`          // the orders taken, the oldest first, as records of a number and a fingerprint
	Rejected    []Rejection `json:"refused,omitempty"`
}

// Rejection is a refused order as a snapshot holds it.
type Rejection struct {
	Base        uint64 `json:"base"`
	Fingerprint []byte `json:"fingerprint"`
}

// Snapshot returns the whole register.
func (r *StateMachine) Snapshot() Snapshot {
	state := Snapshot{Current: r.current, HistoryBase: r.history.base, History: r.history.encode()}
	for _, refused := range r.rejected {
		state.Rejected = append(state.Rejected, Rejection{Base: refused.base, Fingerprint: refused.digest[:]})
	}
	return state
}

// Restore returns the register that a snapshot holds.
func Restore(state Snapshot) (*StateMachine, error) {
	r := &StateMachine{current: state.Current}
	var err error
	if r.history, err = decodeHistory(state.HistoryBase, state.History); err != nil {
		return nil, err
	}
	for _, refused := range state.Rejected {
		restored := rejection{base: refused.Base}
		copy(restored.digest[:], refused.Fingerprint)
		r.rejected = append(r.rejected, restored)
	}
	return r, nil
}
