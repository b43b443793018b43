package configuration_test

import (
	"slices"
	"testing"

	"mastusher/internal/tier/configuration"
)

// arrivals explores every sequence in which copies of some orders can be agreed on: each copy at any place or never, with a
// snapshot before any of them.
type arrivals struct {
	t      *testing.T
	orders []*configuration.Proposal
	left   []int // copies of each order that may still arrive
	seen   []sight
	states int
	paths  int
}

// sight is what one copy was answered.
type sight struct {
	order   int
	verdict configuration.Result
}

func (a *arrivals) explore(state configuration.Snapshot, index uint64) {
	a.paths++
	for order := range a.orders {
		if a.left[order] == 0 {
			continue
		}
		a.left[order]--
		register, err := configuration.Restore(state)
		if err != nil {
			a.t.Fatal(err)
		}
		a.seen = append(a.seen, sight{order, register.Apply(index, a.orders[order])})
		a.check(register)
		a.states++
		a.explore(register.Snapshot(), index+1)
		a.seen = a.seen[:len(a.seen)-1]
		a.left[order]++
	}
}

// check tells what must not be after any of the copies.
func (a *arrivals) check(register *configuration.StateMachine) {
	last := a.seen[len(a.seen)-1]
	byBase, byNumber := map[uint64]int{}, map[uint64]int{}
	for _, s := range a.seen {
		if s.order == last.order && s.verdict == configuration.Accepted != (last.verdict == configuration.Accepted) {
			a.t.Fatalf("copies of one order were answered in both ways: %v", a.seen)
		}
		if s.verdict != configuration.Accepted {
			continue
		}
		order := a.orders[s.order]
		for key, by := range map[uint64]map[uint64]int{order.Base: byBase, order.Number: byNumber} {
			if other, known := by[key]; known && other != s.order {
				a.t.Fatalf("two orders were confirmed: %v", a.seen)
			}
			by[key] = s.order
		}
	}
	taken := slices.Contains(a.seen, sight{last.order, configuration.Accepted})
	if taken != register.WasAccepted(a.orders[last.order]) {
		a.t.Fatalf("what was taken isn't known, or what wasn't is: %v", a.seen)
	}
}

// TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion has two operators send different orders under one number and on one version, another one that builds
// on them, and the same content on another version; each copy arrives at any time, also before the version on which it builds.
func TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion(t *testing.T) {
	a := &arrivals{t: t, left: []int{2, 2, 2, 2, 1}, orders: []*configuration.Proposal{
		order(0, 3, "first"), order(0, 3, "other"), order(3, 5, "next"), order(3, 5, "rival"), order(0, 5, "next")}}
	a.explore(configuration.New().Snapshot(), 1)
	t.Logf("%d sequences, %d verdicts", a.paths, a.states)
}
