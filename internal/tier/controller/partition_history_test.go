package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/configuration"
)

// sentOrder is an order for a configuration, a roll-out or a decommissioning. base is used for configurations only.
type sentOrder struct {
	base, number uint64
	at           time.Time // when it was first sent; for a decommissioning: when the controllers have learned of the machine
	accepted     bool      // for a configuration: whether the group accepted it, by its final state
}

// callHistory holds the results of all calls, and verifies them at the end.
type callHistory struct {
	results    []*callResult
	orders     []*sentOrder
	chain      []*sentOrder // the accepted configurations, each based on the one before
	violations []string
}

func (h *callHistory) report(a *callResult, format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%s %s at core-%d from %v to %v: %d %s: %s", a.method, a.path, a.first+1,
		a.began.Format("05.000"), a.ended.Format("05.000"), a.code, strings.TrimSpace(a.body), fmt.Sprintf(format, args...)))
}

// verify checks that the responses about the configuration are linearizable as those of one register that is read and replaced as a
// whole, and that those about roll-outs and decommissioning never go back to an older state. It returns the violations.
func (h *callHistory) verify(register *configuration.StateMachine) []string {
	for _, order := range h.orders {
		order.accepted = register.WasAccepted(order.configuration())
	}
	slices.SortFunc(h.results, func(a, b *callResult) int { return a.ended.Compare(b.ended) })
	h.buildChain()
	h.verifyStatuses()
	h.verifyConfiguration()
	h.verifyRollouts()
	h.verifyDecommissions()
	return h.violations
}

// configuration returns the proposal that the controller makes of the order.
func (o *sentOrder) configuration() *configuration.Proposal {
	compact, _ := json.Marshal(json.RawMessage(document(int(o.number))))
	return &configuration.Proposal{Base: o.base, Number: o.number, Raw: compact}
}

// buildChain builds the chain of accepted configurations.
func (h *callHistory) buildChain() {
	next := map[uint64]*sentOrder{}
	count := 0
	for _, order := range h.orders {
		if !order.accepted {
			continue
		}
		count++
		if other := next[order.base]; other != nil {
			h.violations = append(h.violations, fmt.Sprintf("configurations %d and %d were both accepted on version %d", other.number, order.number, order.base))
		}
		next[order.base] = order
	}
	for order := next[0]; order != nil; order = next[order.number] {
		h.chain = append(h.chain, order)
	}
	if len(h.chain) != count {
		h.violations = append(h.violations, fmt.Sprintf("%d configurations were accepted, but only %d are based on each other", count, len(h.chain)))
	}
}

// position returns the position of a configuration in the chain, from 1 on: 0 if number is 0, -1 if it was never accepted.
func (h *callHistory) position(number uint64) int {
	if number == 0 {
		return 0
	}
	for i, order := range h.chain {
		if order.number == number {
			return i + 1
		}
	}
	return -1
}

// verifyStatuses checks that each status is a permitted one, and that no machine redirects to itself.
func (h *callHistory) verifyStatuses() {
	permitted := []int{0, http.StatusOK, http.StatusTemporaryRedirect, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusConflict,
		http.StatusPreconditionFailed}
	for _, a := range h.results {
		switch {
		case a.method != http.MethodGet && a.code == http.StatusGatewayTimeout: // the order may have been accepted or not
		case !slices.Contains(permitted, a.code):
			h.report(a, "the status is not permitted")
		}
		for _, hop := range a.redirects {
			if strings.Contains(hop.to, fmt.Sprintf("10.0.0.%d:", hop.from+1)) {
				h.report(a, "core-%d redirects to itself", hop.from+1)
			}
		}
	}
}

// verifyConfiguration checks that each response fits a position in the chain: at least the highest one that is certain from calls that
// ended before this call began, and at most the last one that was sent before it ended.
func (h *callHistory) verifyConfiguration() {
	var bounds lowerBounds
	for _, result := range h.results {
		if result.path != settingsPath {
			continue
		}
		low, high := bounds.at(result.began), h.upperBound(result.ended)
		switch {
		case result.method == http.MethodGet && result.code == http.StatusOK:
			var parsed struct{ Number uint64 }
			if err := json.Unmarshal([]byte(result.body), &parsed); err != nil {
				h.report(result, "%v", err)
				continue
			}
			reached := h.position(parsed.Number)
			if reached < low || reached > high {
				h.report(result, "its configuration is at position %d of the chain, want %d to %d", reached, low, high)
			}
			low = max(low, reached)
		case result.method == http.MethodPut && result.code == http.StatusOK:
			reached := h.position(result.order.number)
			if reached < 1 || reached > high {
				h.report(result, "its configuration is at position %d of the chain, want 1 to %d", reached, high)
			}
			low = max(low, reached)
		case result.code == http.StatusPreconditionFailed:
			if result.order.accepted {
				h.report(result, "the order was accepted")
			}
			if h.position(result.order.base) == low {
				low++
			}
			if low > high {
				h.report(result, "version %d was current during the whole call", result.order.base)
			}
		case result.code == http.StatusNotFound || result.code == http.StatusConflict:
			h.report(result, "the status is not permitted")
		}
		bounds.add(result.ended, low)
	}
}

// upperBound returns the highest position that the chain can have reached by that time.
func (h *callHistory) upperBound(at time.Time) int {
	for i, order := range h.chain {
		if order.at.After(at) {
			return i
		}
	}
	return len(h.chain)
}

// lowerBounds holds positions that are certainly reached from a time on.
type lowerBounds struct {
	times     []time.Time
	positions []int
}

func (b *lowerBounds) add(at time.Time, position int) {
	b.times, b.positions = append(b.times, at), append(b.positions, position)
}

// at returns the highest position that was certainly reached before a time.
func (b *lowerBounds) at(at time.Time) int {
	low := 0
	for i := range b.times {
		if b.times[i].Before(at) {
			low = max(low, b.positions[i])
		}
	}
	return low
}

// verifyRollouts checks the responses about one service. One caller orders its versions one after the other.
func (h *callHistory) verifyRollouts() {
	first := map[int]time.Time{} // when each version was first ordered
	var ordered, finished lowerBounds
	for _, result := range h.results {
		if result.method == http.MethodPost && result.path == rolloutsPath && (first[result.version()].IsZero() || result.began.Before(first[result.version()])) {
			first[result.version()] = result.began
		}
	}
	for _, result := range h.results {
		switch {
		case result.method == http.MethodPost && result.path == rolloutsPath:
			if result.code == http.StatusOK {
				ordered.add(result.ended, result.version())
			}
			if result.code == http.StatusConflict || result.code == http.StatusNotFound {
				h.report(result, "no other roll-out is in progress")
			}
		case result.path == rolloutsPath+"/lm" && result.code == http.StatusNotFound:
			if ordered.at(result.began) > 0 {
				h.report(result, "version %d had already been ordered", ordered.at(result.began))
			}
		case result.path == rolloutsPath+"/lm" && result.code == http.StatusOK:
			var parsed rolloutStatus
			if err := json.Unmarshal([]byte(result.body), &parsed); err != nil {
				h.report(result, "%v", err)
				continue
			}
			version, _ := strconv.Atoi(strings.TrimPrefix(parsed.Target, "v"))
			if low := ordered.at(result.began); version < low || first[version].IsZero() || first[version].After(result.ended) {
				h.report(result, "version %d had already been ordered, or the returned one had not", low)
			}
			if parsed.State == "in_service" && finished.at(result.began) >= version {
				h.report(result, "the roll-out had already been reported as finished")
			}
			ordered.add(result.ended, version)
			if parsed.State != "in_service" {
				finished.add(result.ended, version)
			}
		}
	}
}

// version returns the number of the version that an order rolls out.
func (a *callResult) version() int {
	version, _ := strconv.Atoi(strings.TrimPrefix(a.order.target(), "v"))
	return version
}

func (o *sentOrder) target() string { return fmt.Sprintf("v%d", o.number) }

// verifyDecommissions checks the responses to decommissioning requests. None may be rejected for lack of machines, since enough
// always remain.
func (h *callHistory) verifyDecommissions() {
	acknowledged := map[string]*lowerBounds{}
	for _, a := range h.results {
		if !strings.HasPrefix(a.path, retirePath) {
			continue
		}
		if acknowledged[a.path] == nil {
			acknowledged[a.path] = &lowerBounds{}
		}
		switch {
		case a.code == http.StatusConflict:
			h.report(a, "enough machines remain")
		case a.code == http.StatusNotFound && a.method == http.MethodPost && a.order != nil && a.order.at.Before(a.began):
			h.report(a, "the machine is known")
		case a.code == http.StatusNotFound && acknowledged[a.path].at(a.began) > 0:
			h.report(a, "its decommissioning had already been acknowledged")
		case a.code == http.StatusOK:
			acknowledged[a.path].add(a.ended, 1)
		}
	}
}

const (
	retirePath = "/mastusher/retire/"
)

// counts lists the number of responses by method, resource and status.
func (h *callHistory) counts() string {
	counts := map[string]int{}
	for _, a := range h.results {
		counts[fmt.Sprintf("%s %s %d", a.method, strings.Split(strings.TrimPrefix(a.path, "/mastusher/"), "/")[0], a.code)]++
	}
	var counted []string
	for kind, count := range counts {
		counted = append(counted, fmt.Sprintf("%s x%d", kind, count))
	}
	slices.SortFunc(counted, cmp.Compare)
	return strings.Join(counted, ", ")
}
