package linearizability

import (
	"cmp"
	"math"
	"slices"
)

// Check returns a *ViolationError if no sequence of the operations explains all answers. It searches by depth, and visits
// no state twice: which operations with a clear answer are placed, and which orders were taken or refused.
func Check(operations []Operation) error {
	s := newSearch(operations)
	if s.explore(0) {
		return nil
	}
	return &ViolationError{Operations: operations, Linearized: s.best, Candidates: s.stuckAt}
}

// search is the state of a search by depth.
type search struct {
	operations []Operation
	orders     []int // of each operation, the number of its order; -1: none
	byCall     []int // operations, by the time of their call
	contents   []Order
	visited    map[string]bool
	linearized bitset
	state      register
	path       []int
	best       []int
	stuckAt    []int
	known      int // operations with a clear answer
}

func newSearch(operations []Operation) *search {
	s := &search{operations: operations, visited: map[string]bool{}, linearized: newBitset(len(operations))}
	known := map[Order]int{}
	for i := range operations {
		order := -1
		if operations[i].Kind == Put {
			number, ok := known[operations[i].Order]
			if !ok {
				number = len(s.contents)
				known[operations[i].Order] = number
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
	s.state = register{taken: newBitset(len(s.contents)), refused: newBitset(len(s.contents))}
	return s
}

// register is the state that the operations act on.
type register struct {
	current Version
	taken   bitset
	refused bitset // orders that were refused while their version had not come
}

// apply lets an order take effect and returns its outcome.
func (r *register) apply(number int, order *Order) Outcome {
	switch {
	case r.taken.has(number):
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
	r.taken.add(number)
	r.current = Version{Number: order.Number, Content: order.Content}
	return Accepted
}

// explore places the operations that remain, given how many with a clear answer are placed.
func (s *search) explore(clear int) bool {
	if clear == s.known {
		return true
	}
	key := string(s.linearized) + string(s.state.taken) + string(s.state.refused)
	if s.visited[key] {
		return false
	}
	s.visited[key] = true
	next := s.candidates()
	if len(s.path) >= len(s.best) {
		s.best, s.stuckAt = slices.Clone(s.path), next
	}
	for _, i := range next {
		before := s.state
		s.state.taken, s.state.refused = slices.Clone(before.taken), slices.Clone(before.refused)
		if s.linearize(i) {
			s.path = append(s.path, i)
			placed := clear
			if s.operations[i].Outcome != Unknown {
				s.linearized.add(i)
				placed++
			}
			if s.explore(placed) {
				return true
			}
			s.path = s.path[:len(s.path)-1]
			s.linearized.remove(i)
		}
		s.state = before
	}
	return false
}

// candidates lists the operations that may come next: those called before any that isn't placed yet was answered.
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

// linearize lets an operation take effect and tells whether that explains its answer. One without a clear answer is worth placing
// only where it changes something.
func (s *search) linearize(i int) bool {
	operation := &s.operations[i]
	if operation.Kind == Get {
		return operation.Version == s.state.current
	}
	number := s.orders[i]
	known := s.state.taken.has(number) || s.state.refused.has(number)
	got := s.state.apply(number, &operation.Order)
	if operation.Outcome == Unknown {
		return !known && (s.state.taken.has(number) || s.state.refused.has(number))
	}
	return got == operation.Outcome
}

// bitset is a set of small numbers.
type bitset []byte

const bitsPerByte = 8

func newBitset(size int) bitset { return make(bitset, (size+bitsPerByte-1)/bitsPerByte) }

func (b bitset) has(i int) bool { return b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 }
func (b bitset) add(i int)      { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }
func (b bitset) remove(i int)   { b[i/bitsPerByte] &^= 1 << (i % bitsPerByte) }
