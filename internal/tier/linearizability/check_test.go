package linearizability_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"mastusher/internal/tier/linearizability"
)

// put returns a Put of an order, with its outcome.
func put(call, answer int64, base, number uint64, content string, outcome linearizability.Outcome) linearizability.Operation {
	return linearizability.Operation{Kind: linearizability.Put, Order: linearizability.Order{Base: base, Number: number, Content: content}, Outcome: outcome, Call: call, Return: answer}
}

// get returns a Get with the version that it read.
func get(call, answer int64, number uint64, content string) linearizability.Operation {
	return linearizability.Operation{Kind: linearizability.Get, Outcome: linearizability.Read, Version: linearizability.Version{Number: number, Content: content}, Call: call, Return: answer}
}

func TestCheck_SingleHistories_ViolationOrNot(t *testing.T) {
	const accepted, conflict, stale, unknown = linearizability.Accepted, linearizability.Conflict, linearizability.StaleVersion, linearizability.Unknown
	tests := []struct {
		name       string
		operations []linearizability.Operation
		want       bool
	}{
		{"no operations", nil, true},
		{"orders and reads one after the other", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), get(2, 3, 3, "a"), put(4, 5, 3, 4, "b", accepted), get(6, 7, 4, "b")}, true},
		{"a read before the first configuration", []linearizability.Operation{get(0, 1, 0, ""), put(0, 1, 0, 3, "a", accepted)}, true},
		{"a lost update", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 3, 4, "b", accepted), get(4, 5, 3, "a")}, false},
		{"a stale read", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 9, 3, 4, "b", accepted), get(3, 4, 4, "b"), get(5, 6, 3, "a")}, false},
		{"reads before and after a concurrent change", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 9, 3, 4, "b", accepted), get(3, 4, 3, "a"), get(5, 6, 4, "b")}, true},
		{"two orders accepted under one number", []linearizability.Operation{put(0, 9, 0, 3, "a", accepted), put(0, 9, 0, 3, "b", accepted)}, false},
		{"two orders accepted on one version", []linearizability.Operation{put(0, 9, 0, 3, "a", accepted), put(0, 9, 0, 4, "b", accepted)}, false},
		{"one of two concurrent orders accepted", []linearizability.Operation{put(0, 9, 0, 3, "a", conflict), put(0, 9, 0, 3, "b", accepted), get(10, 11, 3, "b")}, true},
		{"neither of two concurrent orders accepted", []linearizability.Operation{put(0, 9, 0, 3, "a", conflict), put(0, 9, 0, 3, "b", conflict)}, false},
		{"two operators send the same order", []linearizability.Operation{put(0, 9, 0, 3, "a", accepted), put(0, 9, 0, 3, "a", accepted)}, true},
		{"a duplicate of an accepted order", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 3, 4, "b", accepted), put(4, 5, 0, 3, "a", accepted), get(6, 7, 4, "b")}, true},
		{"a refused duplicate", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 0, 3, "a", conflict)}, false},
		{"a refused duplicate after another change", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 3, 4, "b", accepted), put(4, 5, 0, 3, "a", conflict)}, false},
		{"a duplicate takes effect again", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 3, 4, "b", accepted), put(4, 5, 0, 3, "a", accepted), get(6, 7, 3, "a")}, false},
		{"a refused duplicate of an order that was read with an unknown outcome", []linearizability.Operation{put(0, 0, 0, 3, "a", unknown), get(2, 3, 3, "a"), put(4, 5, 0, 3, "a", conflict)}, false},
		{"an order with an unknown outcome never takes effect", []linearizability.Operation{put(0, 0, 0, 3, "a", unknown), put(2, 3, 0, 4, "b", accepted), get(4, 5, 4, "b")}, true},
		{"an order with an unknown outcome takes effect late", []linearizability.Operation{put(0, 0, 0, 3, "a", unknown), get(2, 3, 0, ""), get(50, 51, 3, "a")}, true},
		{"an order with an unknown outcome takes effect twice", []linearizability.Operation{put(0, 0, 0, 3, "a", unknown), get(2, 3, 3, "a"), put(4, 5, 3, 4, "b", accepted), get(50, 51, 3, "a")}, false},
		{"an effect before the call", []linearizability.Operation{get(0, 1, 3, "a"), put(2, 3, 0, 3, "a", accepted)}, false},
		{"a number that isn't higher", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 3, 3, "b", stale), put(4, 5, 3, 4, "b", accepted)}, true},
		{"a number that isn't higher is accepted", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 3, 3, 3, "b", accepted)}, false},
		{"refused before its base was current, then in force", []linearizability.Operation{put(0, 1, 3, 4, "b", conflict), put(2, 3, 0, 3, "a", accepted), get(4, 5, 4, "b"), put(0, 0, 3, 4, "b", unknown)}, false},
		{"sent with an unknown outcome before its base was current, then refused", []linearizability.Operation{put(0, 0, 3, 4, "b", unknown), put(2, 3, 0, 3, "a", accepted), put(4, 5, 3, 4, "b", conflict)}, true},
		{"sent with an unknown outcome while its base was current, then refused", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), put(2, 2, 3, 4, "b", unknown), put(4, 5, 3, 4, "b", conflict)}, false},
		{"refused, then accepted", []linearizability.Operation{put(0, 1, 3, 4, "b", conflict), put(2, 3, 0, 3, "a", accepted), put(4, 5, 3, 4, "b", accepted)}, false},
		{"a read with content that nobody sent", []linearizability.Operation{put(0, 1, 0, 3, "a", accepted), get(2, 3, 3, "b")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := linearizability.Check(test.operations)
			var violation *linearizability.ViolationError
			if errors.As(err, &violation) == test.want {
				t.Errorf("linearizable: %v, want %v: %v", err == nil, test.want, err)
			}
			if err != nil && !strings.Contains(err.Error(), "operator 0") {
				t.Errorf("the error doesn't list the history: %v", err)
			}
		})
	}
}

// service is a configuration register that answers at once; fault names the mistake that it makes, if any.
type service struct {
	number   uint64
	content  string
	accepted map[linearizability.Order]bool
	before   linearizability.Version
	fault    string
	random   *rand.Rand
}

// The mistakes of a service.
const (
	forgetsOrders     = "forgets accepted orders"
	losesUpdates      = "loses some updates"
	readsStale        = "sometimes reads the previous version"
	ignoresBase       = "accepts an order on any version"
	comparesNumber    = "acknowledges a number whatever the content"
	repeatsDuplicates = "lets a duplicate take effect again"
)

func (s *service) put(o linearizability.Order) linearizability.Outcome {
	switch {
	case s.fault == comparesNumber && o.Number == s.number:
		return linearizability.Accepted
	case s.accepted[o] && s.fault == repeatsDuplicates:
		s.number, s.content = o.Number, o.Content
		return linearizability.Accepted
	case s.accepted[o] && s.fault != forgetsOrders:
		return linearizability.Accepted
	case o.Base != s.number && s.fault != ignoresBase:
		return linearizability.Conflict
	case o.Number <= s.number:
		return linearizability.StaleVersion
	}
	s.accepted[o] = true
	if s.fault == losesUpdates && s.random.IntN(8) == 0 {
		return linearizability.Accepted
	}
	s.before = linearizability.Version{Number: s.number, Content: s.content}
	s.number, s.content = o.Number, o.Content
	return linearizability.Accepted
}

func (s *service) get() linearizability.Version {
	if s.fault == readsStale && s.random.IntN(8) == 0 {
		return s.before
	}
	return linearizability.Version{Number: s.number, Content: s.content}
}

// record returns the history of operators that call a service concurrently. Each call takes effect at a random time between its
// start and its response.
func record(seed uint64, fault string) []linearizability.Operation {
	const calls, operators = 60, 4
	random := rand.New(rand.NewPCG(seed, 1))
	target := &service{accepted: map[linearizability.Order]bool{}, fault: fault, random: random}
	var list []linearizability.Operation
	var sent []linearizability.Order
	free := make([]int64, operators) // when each operator has its last response
	now := int64(0)
	for range calls {
		now += int64(random.IntN(4))
		operator := random.IntN(operators)
		operation := linearizability.Operation{Operator: operator, Call: max(free[operator]+1, now-int64(random.IntN(20)))}
		now = max(now, operation.Call) // the calls take effect in the sequence of this loop
		operation.Return = now + int64(random.IntN(20))
		free[operator] = operation.Return
		switch random.IntN(4) {
		case 0:
			operation.Kind, operation.Outcome, operation.Version = linearizability.Get, linearizability.Read, target.get()
		case 1:
			if len(sent) > 0 {
				operation.Order = sent[random.IntN(len(sent))]
				operation.Outcome = target.put(operation.Order)
				break
			}
			fallthrough
		default:
			operation.Order = linearizability.Order{Base: target.number, Number: target.number + 1 + uint64(random.IntN(2)), Content: fmt.Sprint(random.IntN(2))}
			if random.IntN(4) == 0 && target.number > 0 {
				operation.Order.Base--
			}
			sent = append(sent, operation.Order)
			if random.IntN(6) == 0 {
				operation.Outcome = linearizability.Unknown
				if random.IntN(2) == 0 {
					target.put(operation.Order)
				}
				break
			}
			operation.Outcome = target.put(operation.Order)
		}
		list = append(list, operation)
	}
	return list
}

// TestCheck_RecordedHistories_FindsEachFaultyService checks that histories of a correct service pass and those of each faulty one fail.
func TestCheck_RecordedHistories_FindsEachFaultyService(t *testing.T) {
	const histories = 300
	for seed := range uint64(histories) {
		if err := linearizability.Check(record(seed, "")); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	const maxSeeds = 10
	for _, fault := range []string{forgetsOrders, losesUpdates, readsStale, ignoresBase, comparesNumber, repeatsDuplicates} {
		t.Run(fault, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if linearizability.Check(record(seed, fault)) != nil {
					t.Logf("violation found with seed %d", seed)
					return
				}
			}
			t.Errorf("no violation found with %d seeds", maxSeeds)
		})
	}
}
