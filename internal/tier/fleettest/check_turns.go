package fleettest

import (
	"bytes"
	"net/http"
	"time"
)

// turnCheck judges requests and turns by what clients and endpoints saw.
type turnCheck struct {
	history       *history
	report        func(rule, format string, arguments ...any)
	withoutFaults func(from, to time.Duration) bool // whether there was no fault in a span
	runsOf        map[string][]run
}

// commitDelay is how long the end of a turn may be unknown to the stores after its client has seen it rejected.
const commitDelay = time.Second

// checkRequests reports everything that must not have happened to requests.
func checkRequests(h *history, calm func(from, to time.Duration) bool, report func(rule, format string, arguments ...any)) {
	c := &turnCheck{history: h, report: report, withoutFaults: calm, runsOf: map[string][]run{}}
	for _, r := range h.runs {
		c.runsOf[r.ID] = append(c.runsOf[r.ID], r)
	}
	c.checkRuns()
	for _, sent := range h.requests {
		c.checkAnswer(sent)
	}
	c.checkBudgets()
}

// checkRuns reports what endpoints ran that they must not have run.
func (c *turnCheck) checkRuns() {
	for i := range c.history.runs {
		r := &c.history.runs[i]
		sent := c.history.byID[r.ID]
		if sent == nil {
			c.report("UNASKED", "%s ran, and no client sent it", r.ID)
			continue
		}
		if sent.Service != r.Service {
			c.report("ROUTE", "%s is for %s and ran at %s", r.ID, sent.Service, r.Service)
		}
		if body, known := c.expectedBody(sent); !known || !bytes.Equal(body, r.Body) {
			c.report("UNASKED", "%s ran with %q, and not with %q (previous %q)", r.ID, r.Body, body, sent.Previous)
		}
		if len(c.runsOf[r.ID]) > 1 && c.runsOf[r.ID][0].At == r.At {
			c.report("TWICE", "%s ran %d times", r.ID, len(c.runsOf[r.ID]))
		}
	}
}

// expectedBody is what the endpoint is to be sent for a request; known is false where it continues no complete turn.
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

// checkAnswer reports answers that must not have been given.
func (c *turnCheck) checkAnswer(sent *request) {
	c.checkEvents(sent)
	if sent.Outcome != outcomeRejected {
		return
	}
	ran := len(c.runsOf[sent.ID]) > 0
	switch sent.Status {
	case http.StatusServiceUnavailable, http.StatusPaymentRequired, http.StatusNotFound:
		if ran {
			c.report("REFUSED", "%s was answered %d, and it ran", sent.ID, sent.Status)
		}
	}
	if sent.Status == http.StatusNotFound {
		c.checkNotFound(sent)
	}
	if sent.Status == http.StatusPaymentRequired {
		c.checkBudgetExceeded(sent)
	}
}

// checkEvents reports answers that are not one run's, in order and from its beginning.
func (c *turnCheck) checkEvents(sent *request) {
	for i, event := range sent.Events {
		if sent.Runs[i] != sent.Runs[0] {
			c.report("ORDER", "%s joins events of two runs", sent.ID)
			return
		}
		if want := eventData(sent.ID, i+1); !bytes.Equal(event, want) {
			c.report("MIXED", "%s got %q in place of %q", sent.ID, event, want)
			return
		}
	}
	if sent.Outcome == outcomeComplete && len(sent.Events) != eventsOf(sent.ID, sent.MaxTokens) {
		c.report("MIXED", "%s ended complete after %d events", sent.ID, len(sent.Events))
	}
}

// checkNotFound reports a 404 to a turn that continues one that is retained.
func (c *turnCheck) checkNotFound(sent *request) {
	previous := c.history.byID[sent.Previous]
	if sent.Previous == "" || previous != nil && previous.Outcome == outcomeComplete && sent.Ended-previous.Ended < retention {
		c.report("LOST", "%s, which continues %q, was answered 404", sent.ID, sent.Previous)
	}
}

// checkBudgetExceeded reports a 402 where the budget holds one more turn.
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
		c.report("REFUSED", "%s was answered 402 with %d spent of %d", sent.ID, spent, sent.Budget)
	}
}

// maxCostOf is the maximum that a turn may have cost when another was judged.
func (c *turnCheck) maxCostOf(turn, judged *request) int64 {
	ended := turn.Outcome != outcomePending && turn.Ended < judged.Sent
	switch {
	case ended && turn.Outcome == outcomeComplete:
		return turn.tokens()
	case ended && turn.Outcome == outcomeRejected && turn.Ended < judged.Sent-commitDelay && (turn.Status/100 == 4 || turn.Status == http.StatusServiceUnavailable):
		return 0
	}
	return turn.MaxTokens
}

// checkBudgets reports programs whose turns handed on more than their budget.
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
			c.report("BUDGET", "%s received %d tokens of %d", program, delivered[program], budget)
		}
	}
}
