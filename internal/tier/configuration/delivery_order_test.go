package configuration_test

import (
	"slices"
	"testing"

	"mastusher/internal/tier/configuration"
)

// arrivals explores every sequence in which copies of some orders can be agreed on: each copy at any place or never, with a
// snapshot before any of them.
type deliveryOrders struct {
	t          *testing.T
	orders     []*configuration.Proposal
	copiesLeft []int // copies of each order that may still arrive
	answers    []answer
	states     int
	paths      int
}

// sight is what one copy was answered.
type answer struct {
	order  int
	result configuration.Result
}

func (a *deliveryOrders) explore(state configuration.Snapshot, index uint64) {
	a.paths++
	for order := range a.orders {
		if a.copiesLeft[order] == 0 {
			continue
		}
		a.copiesLeft[order]--
		register, err := configuration.Restore(state)
		if err != nil {
			a.t.Fatal(err)
		}
		a.answers = append(a.answers, answer{order, register.Apply(index, a.orders[order])})
		a.check(register)
		a.states++
		a.explore(register.Snapshot(), index+1)
		a.answers = a.answers[:len(a.answers)-1]
		a.copiesLeft[order]++
	}
}

// check tells what must not be after any of the copies.
func (a *deliveryOrders) check(register *configuration.StateMachine) {
	last := a.answers[len(a.answers)-1]
	byBase, byNumber := map[uint64]int{}, map[uint64]int{}
	for _, s := range a.answers {
		if s.order == last.order && s.result == configuration.Accepted != (last.result == configuration.Accepted) {
			a.t.Fatalf("copies of one proposal were answered in both ways: %v", a.answers)
		}
		if s.result != configuration.Accepted {
			continue
		}
		order := a.orders[s.order]
		for key, by := range map[uint64]map[uint64]int{order.Base: byBase, order.Number: byNumber} {
			if other, known := by[key]; known && other != s.order {
				a.t.Fatalf("two orders were confirmed: %v", a.answers)
			}
			by[key] = s.order
		}
	}
	taken := slices.Contains(a.answers, answer{last.order, configuration.Accepted})
	if taken != register.WasAccepted(a.orders[last.order]) {
		a.t.Fatalf("what was accepted isn't known, or what wasn't is: %v", a.answers)
	}
}

// TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion has two operators send different orders under one number and on one version, another one that builds
// on them, and the same content on another version; each copy arrives at any time, also before the version on which it builds.
func TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion(t *testing.T) {
	a := &deliveryOrders{t: t, copiesLeft: []int{2, 2, 2, 2, 1}, orders: []*configuration.Proposal{
		proposal(0, 3, "first"), proposal(0, 3, "other"), proposal(3, 5, "next"), proposal(3, 5, "rival"), proposal(0, 5, "next")}}
	a.explore(configuration.New().Snapshot(), 1)
	t.Logf("%d sequences, %d results", a.paths, a.states)
}
