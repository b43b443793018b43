package simulation

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for a sequence of calls that explains all answers, in real time.
const linearizabilityTimeout = 20 * time.Second

// registerModel models the configuration as a compare-and-set register. Its state is the chain of contents that have been in force.
// An order whose content was accepted is acknowledged again whenever a duplicate of it is sent.
var registerModel = (&porcupine.NondeterministicModel{
	Init:  func() []any { return []any{[]content(nil)} },
	Equal: func(a, b any) bool { return slices.Equal(a.([]content), b.([]content)) },
	Step: func(state, input, _ any) []any {
		chain, call := state.([]content), input.(operation)
		if call.IsRead {
			return readStep(chain, call)
		}
		return orderStep(chain, call)
	},
	DescribeState: func(state any) string { return fmt.Sprint(state) },
}).ToModel()

// readStep returns the states that a read may leave: the same one if it read the newest content, else none.
func readStep(chain []content, call operation) []any {
	if len(chain) > 0 && chain[len(chain)-1] == call.Content {
		return []any{chain}
	}
	return nil
}

// orderStep returns the states that an order with this answer may leave.
func orderStep(chain []content, call operation) []any {
	accepted := slices.Contains(chain, call.Content)
	current := content{}
	if len(chain) > 0 {
		current = chain[len(chain)-1]
	}
	applicable := !accepted && call.Base == current.Number
	switch {
	case call.Status == http.StatusOK && accepted:
		return []any{chain}
	case call.Status == http.StatusOK && applicable:
		return []any{append(slices.Clone(chain), call.Content)}
	case call.Status == http.StatusOK:
		return nil
	case isRefusal(call.Status):
		if accepted || applicable {
			return nil
		}
		return []any{chain}
	case applicable: // the outcome is unknown
		return []any{chain, append(slices.Clone(chain), call.Content)}
	}
	return []any{chain}
}

// isRefusal reports whether a status rejects an order for good: any 4xx except 408 and 429, which invite a retry.
func isRefusal(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// checkConfiguration returns the violations of a history: calls that no register explains, and proxies that went back to an older
// version.
func checkConfiguration(h *history) (violations []string) {
	var operations []porcupine.Operation
	for i, call := range h.operations {
		if call.IsRead && call.Status != http.StatusOK {
			if call.Status == http.StatusNotFound {
				violations = append(violations, fmt.Sprintf("CONFIG: a read at %v was answered 404", call.Ended))
			}
			continue
		}
		returned := int64(call.Ended)
		if !call.IsRead && call.Status != http.StatusOK && !isRefusal(call.Status) {
			returned = math.MaxInt64 // it may still take effect
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: call, Call: int64(call.Started), Return: returned})
	}
	if porcupine.CheckOperationsTimeout(registerModel, operations, linearizabilityTimeout) == porcupine.Illegal {
		violations = append(violations, fmt.Sprintf("CONFIG: no sequence of all calls explains their answers; the shortest prefix that none explains ends with: %s", describeCalls(operations)))
	}
	return append(violations, checkProxies(h)...)
}

// describeCalls describes the last calls of the shortest prefix of a history, sorted by the calls' ends, that no sequence explains.
func describeCalls(operations []porcupine.Operation) string {
	slices.SortStableFunc(operations, func(a, b porcupine.Operation) int { return int(min(max(a.Return-b.Return, -1), 1)) })
	const shown = 4
	for count := range operations {
		prefix := slices.Clone(operations[:count+1])
		for _, other := range operations[count+1:] { // calls that had started by then may have taken effect
			if other.Call < operations[count].Return && !other.Input.(operation).IsRead {
				input := other.Input.(operation)
				input.Status = 0
				other.Input, other.Return = input, math.MaxInt64
				prefix = append(prefix, other)
			}
		}
		if porcupine.CheckOperationsTimeout(registerModel, prefix, linearizabilityTimeout) == porcupine.Illegal {
			text := ""
			for _, operation := range operations[max(0, count+1-shown) : count+1] {
				text += fmt.Sprintf("%+v; ", operation.Input)
			}
			return text
		}
	}
	return "the entire history"
}

// checkProxies returns violations for proxies that went back to an older version within one incarnation.
func checkProxies(h *history) (violations []string) {
	type incarnation struct {
		proxy  string
		number int
	}
	newest := map[incarnation]uint64{}
	for _, seen := range h.versions {
		key := incarnation{seen.Proxy, seen.Incarnation}
		if seen.Number < newest[key] {
			violations = append(violations, fmt.Sprintf("CONFIG: proxy %s went back from %d to %d at %v", seen.Proxy, newest[key], seen.Number, seen.At))
		}
		newest[key] = max(newest[key], seen.Number)
	}
	return violations
}
