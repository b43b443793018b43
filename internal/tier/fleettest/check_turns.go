package fleettest

import (
	"bytes"
	"net/http"
	"time"
)

// turnCheck checks requests and turns against what clients and endpoints observed.
type turnCheck struct {
	history       *history
	report        func(rule, format string, arguments ...any)
	withoutFaults func(from, to time.Duration) bool // reports whether no fault began or ended in a span
	runsOf        map[string][]run                  // by request id
}

// commitDelay is how long after the rejection of a turn the stores may still hold its reservation.
const commitDelay = time.Second

// checkRequests reports every violation of the guarantees for requests.
func checkRequests(h *history, withoutFaults func(from, to time.Duration) bool, report func(rule, format string, arguments ...any)) {
	c := &turnCheck{history: h, report: report, withoutFaults: withoutFaults, runsOf: map[string][]run{}}
	for _, r := range h.runs {
		c.runsOf[r.ID] = append(c.runsOf[r.ID], r)
	}
	c.checkRuns()
	for _, sent := range h.requests {
		c.checkAnswer(sent)
	}
	c.checkBudgets()
}

// checkRuns reports runs at endpoints that must not have happened.
func (c *turnCheck) checkRuns() {
	for i := range c.history.runs {
		r := &c.history.runs[i]
		sent := c.history.byID[r.ID]
		if sent == nil {
			c.report("UNASKED", "%s ran, but no client sent it", r.ID)
			continue
		}
		if sent.Service != r.Service {
			c.report("ROUTE", "%s is for service %s, but ran at %s", r.ID, sent.Service, r.Service)
		}
		if body, known := c.expectedBody(sent); !known || !bytes.Equal(body, r.Body) {
			c.report("UNASKED", "%s ran with body %q, want %q (previous turn %q)", r.ID, r.Body, body, sent.Previous)
		}
		if len(c.runsOf[r.ID]) > 1 && c.runsOf[r.ID][0].At == r.At {
			c.report("TWICE", "%s ran %d times, want at most once", r.ID, len(c.runsOf[r.ID]))
		}
	}
}

// expectedBody returns the body that an endpoint must receive for a request; known is false if the request continues a turn that isn't
// complete.
func (c *turnCheck) expectedBody(sent *request) (body []byte, known bool) {
	if !sent.IsTurn || sent.Previous == "" {
		return sent.Input, true
	}
	previous := c.history.byID[sent.Previous]
	if previous == nil || previous.Outcome != outcomeComplete {
		return nil, false
	}
	chain, known := c.expectedBody(previous)
	return append(append(bytes.Clone(chain), previous.output()...), sent.Input...), known
}

// checkAnswer reports wrong answers to a request.
func (c *turnCheck) checkAnswer(sent *request) {
	c.checkEvents(sent)
	if sent.Outcome != outcomeRejected {
		return
	}
	ran := len(c.runsOf[sent.ID]) > 0
	switch sent.Status {
	case http.StatusServiceUnavailable, http.StatusPaymentRequired, http.StatusNotFound:
		if ran {
			c.report("REFUSED", "%s got status %d, but it ran", sent.ID, sent.Status)
		}
	}
	if sent.Status == http.StatusNotFound {
		c.checkNotFound(sent)
	}
	if sent.Status == http.StatusPaymentRequired {
		c.checkBudgetExceeded(sent)
	}
}

// checkEvents reports an answer that isn't the beginning of one run's events, and a complete answer that lacks some of them.
func (c *turnCheck) checkEvents(sent *request) {
	for i, event := range sent.Events {
		if sent.Runs[i] != sent.Runs[0] {
			c.report("ORDER", "%s got events of two runs", sent.ID)
			return
		}
		if want := eventData(sent.ID, i+1); !bytes.Equal(event, want) {
			c.report("MIXED", "%s got event %q, want %q", sent.ID, event, want)
			return
		}
	}
	if sent.Outcome == outcomeComplete && len(sent.Events) != eventsOf(sent.ID, sent.MaxTokens) {
		c.report("MIXED", "%s ended as complete after %d events, but its answer has another number of events", sent.ID, len(sent.Events))
	}
}

// checkNotFound reports a 404 to a first turn, or to one that continues a retained turn.
func (c *turnCheck) checkNotFound(sent *request) {
	previous := c.history.byID[sent.Previous]
	if sent.Previous == "" || previous != nil && previous.Outcome == outcomeComplete && sent.Ended-previous.Ended < retention {
		c.report("LOST", "%s, which continues %q, got status 404", sent.ID, sent.Previous)
	}
}

// checkBudgetExceeded reports a 402 although the budget has room for one more turn.
func (c *turnCheck) checkBudgetExceeded(sent *request) {
	if !c.withoutFaults(sent.Sent-commitTimeout, sent.Ended) {
		return
	}
	var spent int64
	for _, other := range c.history.requests {
		if other.Program == sent.Program && other.IsTurn && other != sent && other.Sent < sent.Ended {
			spent += c.maxCostOf(other, sent)
		}
	}
	if spent+sent.MaxTokens <= sent.Budget {
		c.report("REFUSED", "%s got status 402 with at most %d of %d tokens spent", sent.ID, spent, sent.Budget)
	}
}

// maxCostOf returns the maximum number of tokens that the stores may have counted for a turn when they decided whether to accept
// another one.
func (c *turnCheck) maxCostOf(turn, decided *request) int64 {
	ended := turn.Outcome != outcomePending && turn.Ended < decided.Sent
	switch {
	case ended && turn.Outcome == outcomeComplete:
		return turn.tokens()
	case ended && turn.Outcome == outcomeRejected && turn.Ended < decided.Sent-commitDelay && (turn.Status/100 == 4 || turn.Status == http.StatusServiceUnavailable):
		return 0
	}
	return turn.MaxTokens
}

// checkBudgets reports programs whose clients received more tokens than the budget.
func (c *turnCheck) checkBudgets() {
	delivered := map[string]int64{}
	budgets := map[string]int64{}
	for _, sent := range c.history.requests {
		if sent.IsTurn && sent.Budget > 0 {
			delivered[sent.Program] += sent.tokens()
			budgets[sent.Program] = sent.Budget
		}
	}
	for program, budget := range budgets {
		if delivered[program] > budget {
			c.report("BUDGET", "%s received %d tokens, but has a budget of %d", program, delivered[program], budget)
		}
	}
}
