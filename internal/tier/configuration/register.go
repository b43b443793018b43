// Package configuration is the state machine of the operator's configuration: a register that is replaced as a whole, with
// exactly one winner for each version that it builds on.
package configuration

import (
	"encoding/json"
	"slices"
)

// refusalBound is the number of refused orders on versions still to come that are remembered.
const refusalBound = 64

// Order asks for a configuration to be taken.
type Order struct {
	Base   uint64          `json:"base"`   // number of the version that it builds on
	Number uint64          `json:"number"` // its own
	Raw    json.RawMessage `json:"raw"`    // as the operator sent it
}

// Verdict is the outcome of an order.
type Verdict string

// The verdicts.
const (
	Taken    Verdict = "taken"    // now, or before: exactly this order
	Conflict Verdict = "conflict" // another version is current
	NotNewer Verdict = "not_newer"
	// Forgotten says that the order builds on a version so old that nobody knows any more whether it was taken.
	Forgotten Verdict = "forgotten"
)

// Current is the configuration in force.
type Current struct {
	Number uint64          `json:"number"` // 0: none yet
	Index  uint64          `json:"index"`  // of the entry that brought it
	Raw    json.RawMessage `json:"raw,omitempty"`
}

// Register holds the current configuration, which orders have been taken, and which were refused though they may still
// become fit to be taken.
type Register struct {
	current Current
	taken   chain
	refused []refusal // the oldest first
}

// refusal is an order that was refused.
type refusal struct {
	base uint64
	sum  fingerprint
}

// New returns an empty register.
func New() *Register { return &Register{} }

// Current returns the configuration in force.
func (r *Register) Current() Current { return r.current }

// Apply judges an order. An order that is the very same as one taken before is acknowledged again, whatever came since; one
// that is the same as one refused before stays refused, also where a version has come since that it fits.
func (r *Register) Apply(index uint64, order *Order) Verdict {
	sum := fingerprintOf(order)
	switch r.taken.find(order.Base, sum) {
	case same:
		return Taken
	case tooOld:
		return Forgotten
	}
	if order.Base != r.current.Number {
		r.refuse(order.Base, sum)
		return Conflict
	}
	if order.Number <= r.current.Number {
		return NotNewer
	}
	if slices.Contains(r.refused, refusal{order.Base, sum}) {
		return Conflict
	}
	r.current = Current{Number: order.Number, Index: index, Raw: order.Raw}
	r.taken.add(order.Number, sum)
	r.forgetRefusals()
	return Taken
}

// WasTaken tells whether exactly this order has been taken, now or before. Once it was, it stays so.
func (r *Register) WasTaken(order *Order) bool {
	return r.taken.find(order.Base, fingerprintOf(order)) == same
}

// refuse remembers that an order was refused if it could still be taken later: a copy of it may be on its way.
func (r *Register) refuse(base uint64, sum fingerprint) {
	if base < r.current.Number || slices.Contains(r.refused, refusal{base, sum}) {
		return
	}
	r.refused = append(r.refused, refusal{base, sum})
	if len(r.refused) > refusalBound {
		r.refused = slices.Delete(r.refused, 0, 1)
	}
}

// forgetRefusals drops the orders that can't be taken any more, since their version has been replaced.
func (r *Register) forgetRefusals() {
	r.refused = slices.DeleteFunc(r.refused, func(refused refusal) bool { return refused.base < r.current.Number })
}

// State is the register as a snapshot holds it.
type State struct {
	Current Current   `json:"current"`
	Oldest  uint64    `json:"oldest,omitempty"` // number on which the first order of History builds
	History []byte    `json:"history"`          // the orders taken, the oldest first, as records of a number and a fingerprint
	Refused []Refusal `json:"refused,omitempty"`
}

// Refusal is a refused order as a snapshot holds it.
type Refusal struct {
	Base        uint64 `json:"base"`
	Fingerprint []byte `json:"fingerprint"`
}

// State returns the whole register.
func (r *Register) State() State {
	state := State{Current: r.current, Oldest: r.taken.oldest, History: r.taken.encode()}
	for _, refused := range r.refused {
		state.Refused = append(state.Refused, Refusal{Base: refused.base, Fingerprint: refused.sum[:]})
	}
	return state
}

// Restore returns the register that a snapshot holds.
func Restore(state State) (*Register, error) {
	r := &Register{current: state.Current}
	var err error
	if r.taken, err = decodeChain(state.Oldest, state.History); err != nil {
		return nil, err
	}
	for _, refused := range state.Refused {
		restored := refusal{base: refused.Base}
		copy(restored.sum[:], refused.Fingerprint)
		r.refused = append(r.refused, restored)
	}
	return r, nil
}
