package simulation

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for an order of all calls, in real time.
const linearizabilityTimeout = 20 * time.Second

// registerModel is the configuration as a register with compare-and-set: the contents that were in force, one after the other.
// An order whose content was accepted is acknowledged whenever it is sent again.
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

func readStep(chain []content, call operation) []any {
	if len(chain) > 0 && chain[len(chain)-1] == call.Content {
		return []any{chain}
	}
	return nil
}

// orderStep returns the states that an order may leave, by its answer.
func orderStep(chain []content, call operation) []any {
	taken := slices.Contains(chain, call.Content)
	current := content{}
	if len(chain) > 0 {
		current = chain[len(chain)-1]
	}
	fits := !taken && call.Base == current.Number
	switch {
	case call.Status == http.StatusOK && taken:
		return []any{chain}
	case call.Status == http.StatusOK && fits:
		return []any{append(slices.Clone(chain), call.Content)}
	case call.Status == http.StatusOK:
		return nil
	case isRefusal(call.Status):
		if taken || fits {
			return nil
		}
		return []any{chain}
	case fits: // the outcome isn't known
		return []any{chain, append(slices.Clone(chain), call.Content)}
	}
	return []any{chain}
}

// isRefusal reports whether a status rejects an order for good.
func isRefusal(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// checkConfiguration reports what can't have happened to a register, and proxies that went back.
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
		violations = append(violations, fmt.Sprintf("CONFIG: no order of all calls explains their answers; the shortest beginning that has none: %s", describeCalls(operations)))
	}
	return append(violations, checkProxies(h)...)
}

// describeCalls names the last calls of the shortest beginning of a history, by the calls' ends, that has no order.
func describeCalls(operations []porcupine.Operation) string {
	slices.SortStableFunc(operations, func(a, b porcupine.Operation) int { return int(min(max(a.Return-b.Return, -1), 1)) })
	const shown = 4
	for count := range operations {
		beginning := slices.Clone(operations[:count+1])
		for _, other := range operations[count+1:] { // what had begun by then may have had its effect
			if other.Call < operations[count].Return && !other.Input.(operation).IsRead {
				input := other.Input.(operation)
				input.Status = 0
				other.Input, other.Return = input, math.MaxInt64
				beginning = append(beginning, other)
			}
		}
		if porcupine.CheckOperationsTimeout(registerModel, beginning, linearizabilityTimeout) == porcupine.Illegal {
			text := ""
			for _, operation := range operations[max(0, count+1-shown) : count+1] {
				text += fmt.Sprintf("%+v; ", operation.Input)
			}
			return text
		}
	}
	return "all of it"
}

// checkProxies reports proxies that went back in one incarnation.
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
