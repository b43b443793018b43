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

// sentOrder is what was ordered: a configuration, a version, or a machine to be drained.
type sentOrder struct {
	base, number uint64
	at           time.Time // sent first; of a machine: since when it is known
	accepted     bool      // of a configuration, as the group has it at the end
}

// callHistory is all that callers got, and judges it when all is over.
type callHistory struct {
	answers []*callResult
	orders  []*sentOrder
	chain   []*sentOrder // the orders that were taken, each on top of the one before
	faults  []string
}

func (h *callHistory) fault(a *callResult, format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf("%s %s at core-%d from %v to %v: %d %s: %s", a.method, a.path, a.first+1,
		a.began.Format("05.000"), a.ended.Format("05.000"), a.code, strings.TrimSpace(a.body), fmt.Sprintf(format, args...)))
}

// verify checks that all answers about the configuration are those of one register that is read and replaced as a whole, in
// an order that agrees with real time, and those about other orders likewise.
func (h *callHistory) verify(register *configuration.StateMachine) []string {
	for _, order := range h.orders {
		order.accepted = register.WasAccepted(order.configuration())
	}
	slices.SortFunc(h.answers, func(a, b *callResult) int { return a.ended.Compare(b.ended) })
	h.buildChain()
	h.verifyStatuses()
	h.verifyConfiguration()
	h.verifyRollouts()
	h.verifyDecommissions()
	return h.faults
}

// configuration is the order as the controller takes it.
func (o *sentOrder) configuration() *configuration.Proposal {
	compact, _ := json.Marshal(json.RawMessage(document(int(o.number))))
	return &configuration.Proposal{Base: o.base, Number: o.number, Raw: compact}
}

// buildChain finds the chain of the orders taken.
func (h *callHistory) buildChain() {
	next := map[uint64]*sentOrder{}
	taken := 0
	for _, order := range h.orders {
		if !order.accepted {
			continue
		}
		taken++
		if other := next[order.base]; other != nil {
			h.faults = append(h.faults, fmt.Sprintf("configurations %d and %d were both taken on %d", other.number, order.number, order.base))
		}
		next[order.base] = order
	}
	for order := next[0]; order != nil; order = next[order.number] {
		h.chain = append(h.chain, order)
	}
	if len(h.chain) != taken {
		h.faults = append(h.faults, fmt.Sprintf("%d configurations were taken, %d of them on top of each other", taken, len(h.chain)))
	}
}

// position is the number of configurations taken up to one: 0 for none at all, -1 for one that was never taken.
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

// verifyStatuses checks that no answer is of a kind that may not be.
func (h *callHistory) verifyStatuses() {
	may := []int{0, http.StatusOK, http.StatusTemporaryRedirect, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusConflict,
		http.StatusPreconditionFailed}
	for _, a := range h.answers {
		switch {
		case a.method != http.MethodGet && a.code == http.StatusGatewayTimeout: // may or may not have been taken
		case !slices.Contains(may, a.code):
			h.fault(a, "no such answer may be given")
		}
		for _, hop := range a.redirects {
			if strings.Contains(hop.to, fmt.Sprintf("10.0.0.%d:", hop.from+1)) {
				h.fault(a, "core-%d sends to itself", hop.from+1)
			}
		}
	}
}

// verifyConfiguration follows the lowest place in the chain that each answer allows, given all that had ended before it began.
func (h *callHistory) verifyConfiguration() {
	var floors lowerBounds
	for _, answer := range h.answers {
		if answer.path != settingsPath {
			continue
		}
		low, high := floors.at(answer.began), h.upperBound(answer.ended)
		switch {
		case answer.method == http.MethodGet && answer.code == http.StatusOK:
			var parsed struct{ Number uint64 }
			if err := json.Unmarshal([]byte(answer.body), &parsed); err != nil {
				h.fault(answer, "%v", err)
				continue
			}
			place := h.position(parsed.Number)
			if place < low || place > high {
				h.fault(answer, "it is at place %d, and must be from %d to %d", place, low, high)
			}
			low = max(low, place)
		case answer.method == http.MethodPut && answer.code == http.StatusOK:
			place := h.position(answer.order.number)
			if place < 1 || place > high {
				h.fault(answer, "it is at place %d, and must be from 1 to %d", place, high)
			}
			low = max(low, place)
		case answer.code == http.StatusPreconditionFailed:
			if answer.order.accepted {
				h.fault(answer, "the order was taken")
			}
			if h.position(answer.order.base) == low {
				low++
			}
			if low > high {
				h.fault(answer, "%d was current all the time", answer.order.base)
			}
		case answer.code == http.StatusNotFound || answer.code == http.StatusConflict:
			h.fault(answer, "no such answer may be given")
		}
		floors.add(answer.ended, low)
	}
}

// upperBound is the highest place that the chain can have reached by then.
func (h *callHistory) upperBound(at time.Time) int {
	for i, order := range h.chain {
		if order.at.After(at) {
			return i
		}
	}
	return len(h.chain)
}

// lowerBounds holds the lowest places that are certain, by the time from which on they are.
type lowerBounds struct {
	times  []time.Time
	places []int
}

func (f *lowerBounds) add(at time.Time, place int) {
	f.times, f.places = append(f.times, at), append(f.places, place)
}

// at is the lowest place that was certain before a time.
func (f *lowerBounds) at(at time.Time) int {
	low := 0
	for i := range f.times {
		if f.times[i].Before(at) {
			low = max(low, f.places[i])
		}
	}
	return low
}

// verifyRollouts checks the answers about one service, of which one caller orders version after version.
func (h *callHistory) verifyRollouts() {
	first := map[int]time.Time{} // when each version was ordered
	var ordered, finished lowerBounds
	for _, answer := range h.answers {
		if answer.method == http.MethodPost && answer.path == rolloutsPath && (first[answer.version()].IsZero() || answer.began.Before(first[answer.version()])) {
			first[answer.version()] = answer.began
		}
	}
	for _, answer := range h.answers {
		switch {
		case answer.method == http.MethodPost && answer.path == rolloutsPath:
			if answer.code == http.StatusOK {
				ordered.add(answer.ended, answer.version())
			}
			if answer.code == http.StatusConflict || answer.code == http.StatusNotFound {
				h.fault(answer, "nothing else is under way")
			}
		case answer.path == rolloutsPath+"/lm" && answer.code == http.StatusNotFound:
			if ordered.at(answer.began) > 0 {
				h.fault(answer, "version %d had been ordered", ordered.at(answer.began))
			}
		case answer.path == rolloutsPath+"/lm" && answer.code == http.StatusOK:
			var parsed rolloutStatus
			if err := json.Unmarshal([]byte(answer.body), &parsed); err != nil {
				h.fault(answer, "%v", err)
				continue
			}
			version, _ := strconv.Atoi(strings.TrimPrefix(parsed.Target, "v"))
			if low := ordered.at(answer.began); version < low || first[version].IsZero() || first[version].After(answer.ended) {
				h.fault(answer, "version %d had been ordered", low)
			}
			if parsed.State == "in_service" && finished.at(answer.began) >= version {
				h.fault(answer, "it was finished before")
			}
			ordered.add(answer.ended, version)
			if parsed.State != "in_service" {
				finished.add(answer.ended, version)
			}
		}
	}
}

// version is the number of the version that an order names.
func (a *callResult) version() int {
	version, _ := strconv.Atoi(strings.TrimPrefix(a.order.target(), "v"))
	return version
}

func (o *sentOrder) target() string { return fmt.Sprintf("v%d", o.number) }

// verifyDecommissions checks the answers about machines of which enough always remain.
func (h *callHistory) verifyDecommissions() {
	asked := map[string]*lowerBounds{}
	for _, a := range h.answers {
		if !strings.HasPrefix(a.path, retirePath) {
			continue
		}
		if asked[a.path] == nil {
			asked[a.path] = &lowerBounds{}
		}
		switch {
		case a.code == http.StatusConflict:
			h.fault(a, "enough remain")
		case a.code == http.StatusNotFound && a.method == http.MethodPost && a.order != nil && a.order.at.Before(a.began):
			h.fault(a, "the machine is known")
		case a.code == http.StatusNotFound && asked[a.path].at(a.began) > 0:
			h.fault(a, "it had been asked to be emptied")
		case a.code == http.StatusOK:
			asked[a.path].add(a.ended, 1)
		}
	}
}

const (
	retirePath = "/mastusher/retire/"
)

// counts lists how many answers of each kind there were.
func (h *callHistory) counts() string {
	counts := map[string]int{}
	for _, a := range h.answers {
		counts[fmt.Sprintf("%s %s %d", a.method, strings.Split(strings.TrimPrefix(a.path, "/mastusher/"), "/")[0], a.code)]++
	}
	var counted []string
	for kind, count := range counts {
		counted = append(counted, fmt.Sprintf("%s x%d", kind, count))
	}
	slices.SortFunc(counted, cmp.Compare)
	return strings.Join(counted, ", ")
}
