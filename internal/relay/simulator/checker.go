package simulator

import (
	"fmt"
	"time"

	"mastusher/control"
)

// Rule is an invariant that no policy may violate. Its text is printed and stored in results.
type Rule string

// The rules.
const (
	ruleFinishesOnce      Rule = "one end"      // each submission finishes exactly once at its relay
	ruleOneInFlight       Rule = "one copy"     // a message has at most one call in flight
	ruleIdempotentRetries Rule = "repeats"      // a message that may have run is retried only if idempotent, within its deduplication window
	ruleEffectOnce        Rule = "effects"      // only safe messages may take effect more than once
	ruleDrainGrace        Rule = "drains"       // no call to a draining or removed endpoint after World.DrainGrace
	ruleRetryAfter        Rule = "waits"        // no call to an endpoint before its Retry-After has expired
	ruleNoColdCollapse    Rule = "cold returns" // no cold endpoint collapses under load
	ruleMaxAttempts       Rule = "attempts"     // no submission has more than World.MaxAttempts calls
	ruleKnownTargets      Rule = "orders"       // Send actions name known messages and endpoints
)

// Rules lists all rules.
var Rules = []Rule{ruleFinishesOnce, ruleOneInFlight, ruleIdempotentRetries, ruleEffectOnce, ruleDrainGrace, ruleRetryAfter, ruleNoColdCollapse, ruleMaxAttempts, ruleKnownTargets}

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	At      time.Duration // since the start
	Relay   int32         // -1: no particular relay
	Message int32         // -1: no particular message
	Text    string
}

// String formats the violation as results store it.
func (v Violation) String() string {
	return fmt.Sprintf("%v: rule %q: relay %d, message %d: %s", v.At, v.Rule, v.Relay, v.Message, v.Text)
}

// Checker detects violations from the events that policies receive, the actions that they return and the effects of these in the model. It
// shares no state or code with any policy.
type Checker struct {
	Counts  map[Rule]int
	Samples []Violation // the first 50 violations

	run             *Run
	retryAfterUntil map[[2]int32]time.Duration // expiry of Retry-After, by relay and endpoint
	drainingSince   map[[2]int32]time.Duration // when a relay was notified that an endpoint is draining or removed, by relay and endpoint
}

// report records a violation.
func (c *Checker) report(rule Rule, relay, msg int32, text string) {
	if c.Counts == nil {
		c.Counts = map[Rule]int{}
	}
	if c.Counts[rule]++; len(c.Samples) < 50 {
		c.Samples = append(c.Samples, Violation{rule, c.run.now - clockStart, relay, msg, text})
	}
}

// observeEvent records an event for the checks, in the turn in which a relay receives it.
func (c *Checker) observeEvent(relay int32, ev *control.Event) {
	switch {
	case ev.Kind == control.Resolved && ev.Result == control.Throttled && ev.RetryAfter > 0:
		if c.retryAfterUntil == nil {
			c.retryAfterUntil = map[[2]int32]time.Duration{}
		}
		key := [2]int32{relay, int32(ev.Endpoint)}
		c.retryAfterUntil[key] = max(c.retryAfterUntil[key], c.run.now+ev.RetryAfter)
	case ev.Kind == control.Listed:
		if c.drainingSince == nil {
			c.drainingSince = map[[2]int32]time.Duration{}
		}
		for _, e := range ev.Endpoints {
			key := [2]int32{relay, int32(e.ID)}
			if _, known := c.drainingSince[key]; e.State == control.Ready {
				delete(c.drainingSince, key)
			} else if !known {
				c.drainingSince[key] = c.run.now
			}
		}
	}
}

// checkSend checks that a Send action obeys the rules.
func (c *Checker) checkSend(relay int32, a *control.Action, sub *submission, msg *message) {
	now, key := c.run.now, [2]int32{relay, int32(a.Endpoint)}
	if sub.finished || sub.relay != relay {
		c.report(ruleFinishesOnce, relay, sub.message, "sent by a relay that does not hold it")
	}
	if msg.inFlight > 0 {
		c.report(ruleOneInFlight, relay, sub.message, "sent while a call for it is in flight")
	}
	if int(sub.attempts) >= c.run.World.MaxAttempts {
		c.report(ruleMaxAttempts, relay, sub.message, "sent more often than max_attempts")
	}
	if msgClass := &c.run.World.Classes[msg.class]; msg.mayHaveRun && (msgClass.Effect == "unsafe" || msgClass.Effect == "keyed" && now-msg.mayHaveRunAt > time.Duration(msgClass.DedupWindow)) {
		c.report(ruleIdempotentRetries, relay, sub.message, "sent again although it may have run")
	}
	if until := c.retryAfterUntil[key]; until > now {
		c.report(ruleRetryAfter, relay, sub.message, fmt.Sprintf("sent %v before Retry-After expires", until-now))
	}
	if since, ok := c.drainingSince[key]; ok && now-since > time.Duration(c.run.World.DrainGrace) {
		c.report(ruleDrainGrace, relay, sub.message, fmt.Sprintf("sent %v after the relay was notified that the endpoint is draining or removed", now-since))
	}
}

// checkFinish marks a submission as finished; false: it may not finish, because it already has or belongs to another relay.
func (c *Checker) checkFinish(relay int32, a *control.Action, sub *submission) bool {
	if sub.finished || sub.relay != relay {
		c.report(ruleFinishesOnce, relay, sub.message, "finished again, or at a relay that does not hold it")
		return false
	}
	if _, active := c.run.relays[relay].inFlight[a.ID]; active {
		c.report(ruleFinishesOnce, relay, sub.message, "finished while its call is in flight")
	}
	sub.finished = true
	return true
}

// checkDelivered marks a delivered submission as finished, which it must not be before.
func (c *Checker) checkDelivered(sub *submission) {
	if sub.finished {
		c.report(ruleFinishesOnce, sub.relay, sub.message, "delivered after it had finished")
	}
	sub.finished = true
}

// checkAllFinished reports submissions that have not finished at the end of the run.
func (c *Checker) checkAllFinished() {
	for i := range c.run.submissions {
		sub := &c.run.submissions[i]
		if re := &c.run.relays[sub.relay]; !sub.finished && !re.down {
			c.report(ruleFinishesOnce, sub.relay, sub.message, "not finished at the end of the run")
		}
	}
}
