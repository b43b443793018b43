package linearizability

import (
	"cmp"
	"math"
	"slices"
)

// Check returns a *ViolationError if no sequence of the operations explains all responses. It searches depth first and
// visits each state once: a state is the set of linearized operations with a known outcome, and the sets of accepted and refused
// orders. Its time can grow exponentially with the number of concurrent operations.
func Check(operations []Operation) error {
	s := newSearch(operations)
	if s.explore(0) {
		return nil
	}
	return &ViolationError{Operations: operations, Linearized: s.longest, Candidates: s.candidatesAfter}
}

// search is the state of a depth-first search.
type search struct {
	operations      []Operation
	orders          []int   // by operation, the number of its order; -1: none
	byCall          []int   // indexes of operations, sorted by the time of their call
	contents        []Order // distinct orders, by number
	visited         map[string]bool
	linearized      bitset // operations with a known outcome
	state           register
	path            []int // linearized operations, in sequence
	longest         []int // the longest path so far
	candidatesAfter []int // candidates after the longest path, none of which could come next
	known           int   // number of operations with a known outcome
}

// newSearch numbers the orders and sorts the operations. A Get with an unknown outcome constrains nothing and is left out.
func newSearch(operations []Operation) *search {
	s := &search{operations: operations, visited: map[string]bool{}, linearized: newBitset(len(operations))}
	numbers := map[Order]int{}
	for i := range operations {
		order := -1
		if operations[i].Kind == Put {
			number, ok := numbers[operations[i].Order]
			if !ok {
				number = len(s.contents)
				numbers[operations[i].Order] = number
				s.contents = append(s.contents, operations[i].Order)
			}
			order = number
		}
		s.orders = append(s.orders, order)
		if operations[i].Outcome != Unknown {
			s.known++
		}
		if operations[i].Outcome != Unknown || operations[i].Kind == Put {
			s.byCall = append(s.byCall, i)
		}
	}
	slices.SortStableFunc(s.byCall, func(a, b int) int { return cmp.Compare(operations[a].Call, operations[b].Call) })
	s.state = register{accepted: newBitset(len(s.contents)), refused: newBitset(len(s.contents))}
	return s
}

// register is the state that the operations act on.
type register struct {
	current  Version
	accepted bitset
	refused  bitset // orders that came before their base version; they conflict for good
}

// apply applies an order and returns its outcome.
func (r *register) apply(number int, order *Order) Outcome {
	switch {
	case r.accepted.has(number):
		return Accepted
	case order.Base != r.current.Number:
		if order.Base > r.current.Number {
			r.refused.add(number)
		}
		return Conflict
	case order.Number <= r.current.Number:
		return StaleVersion
	case r.refused.has(number):
		return Conflict
	}
	r.accepted.add(number)
	r.current = Version{Number: order.Number, Content: order.Content}
	return Accepted
}

// explore linearizes the remaining operations and reports whether that succeeds; done is the number of linearized operations with
// a known outcome.
func (s *search) explore(done int) bool {
	if done == s.known {
		return true
	}
	key := string(s.linearized) + string(s.state.accepted) + string(s.state.refused)
	if s.visited[key] {
		return false
	}
	s.visited[key] = true
	next := s.candidates()
	if len(s.path) >= len(s.longest) {
		s.longest, s.candidatesAfter = slices.Clone(s.path), next
	}
	for _, i := range next {
		before := s.state
		s.state.accepted, s.state.refused = slices.Clone(before.accepted), slices.Clone(before.refused)
		if s.linearize(i) {
			s.path = append(s.path, i)
			nextDone := done
			if s.operations[i].Outcome != Unknown {
				s.linearized.add(i)
				nextDone++
			}
			if s.explore(nextDone) {
				return true
			}
			s.path = s.path[:len(s.path)-1]
			s.linearized.remove(i)
		}
		s.state = before
	}
	return false
}

// candidates lists the operations that may come next: those called before the first response among those not linearized yet.
func (s *search) candidates() []int {
	earliest := int64(math.MaxInt64)
	var list []int
	for _, i := range s.byCall {
		operation := &s.operations[i]
		if operation.Call > earliest {
			break
		}
		if s.linearized.has(i) {
			continue
		}
		if operation.Outcome != Unknown {
			earliest = min(earliest, operation.Return)
		}
		list = append(list, i)
	}
	return list
}

// linearize applies an operation and reports whether that explains its response. An operation with an unknown outcome is accepted
// only where it changes the state.
func (s *search) linearize(i int) bool {
	operation := &s.operations[i]
	if operation.Kind == Get {
		return operation.Version == s.state.current
	}
	number := s.orders[i]
	known := s.state.accepted.has(number) || s.state.refused.has(number)
	got := s.state.apply(number, &operation.Order)
	if operation.Outcome == Unknown {
		return !known && (s.state.accepted.has(number) || s.state.refused.has(number))
	}
	return got == operation.Outcome
}

// bitset is a set of small numbers.
type bitset []byte

const bitsPerByte = 8

// newBitset returns an empty set of numbers below size.
func newBitset(size int) bitset { return make(bitset, (size+bitsPerByte-1)/bitsPerByte) }

func (b bitset) has(i int) bool { return b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 }
func (b bitset) add(i int)      { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }
func (b bitset) remove(i int)   { b[i/bitsPerByte] &^= 1 << (i % bitsPerByte) }
