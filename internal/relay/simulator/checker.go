package simulator

import (
	"fmt"
	"time"

	"mastusher/control"
)

// Rule is an invariant that no policy may violate. Its text is printed and stored.
type Rule string

// The rules.
const (
	ruleOneEnd     Rule = "one end"      // each submission ends exactly once at its relay
	ruleOneCopy    Rule = "one copy"     // a message has at most one call in flight
	ruleRepeat     Rule = "repeats"      // only idempotent messages are retried, within their window
	ruleEffects    Rule = "effects"      // nothing but safe messages takes effect twice
	ruleDrain      Rule = "drains"       // no call to a draining or removed endpoint past the grace
	ruleWait       Rule = "waits"        // Retry-After is obeyed
	ruleColdReturn Rule = "cold returns" // no cold endpoint collapses under load
	ruleAttempts   Rule = "attempts"     // no submission has more than World.MaxAttempts calls
	ruleOrder      Rule = "orders"       // actions name known messages and endpoints
)

// Rules are all rules.
var Rules = []Rule{ruleOneEnd, ruleOneCopy, ruleRepeat, ruleEffects, ruleDrain, ruleWait, ruleColdReturn, ruleAttempts, ruleOrder}

// Violation is one case in which a rule was violated.
type Violation struct {
	Rule    Rule
	At      time.Duration // since the start
	Relay   int32         // -1: none alone
	Message int32         // -1: none
	Text    string
}

// String formats the violation as results store it.
func (b Violation) String() string {
	return fmt.Sprintf("%v: rule %q: relay %d, message %d %s", b.At, b.Rule, b.Relay, b.Message, b.Text)
}

// Checker reports violations, from what policies order and what they were notified of. It shares no state or code with any policy.
type Checker struct {
	Counts  map[Rule]int
	Samples []Violation // the first 50

	run             *Run
	retryAfterUntil map[[2]int32]time.Duration // end of Retry-After, by relay and endpoint
	drainingSince   map[[2]int32]time.Duration // when a relay was notified that an endpoint drains or is removed, by relay and endpoint
}

func (k *Checker) report(rule Rule, relay, msg int32, text string) {
	if k.Counts == nil {
		k.Counts = map[Rule]int{}
	}
	if k.Counts[rule]++; len(k.Samples) < 50 {
		k.Samples = append(k.Samples, Violation{rule, k.run.now - clockStart, relay, msg, text})
	}
}

// observeEvent records what a relay is notified of, in the turn in which it is.
func (k *Checker) observeEvent(relay int32, ev *control.Event) {
	switch {
	case ev.Kind == control.Resolved && ev.Result == control.Throttled && ev.RetryAfter > 0:
		if k.retryAfterUntil == nil {
			k.retryAfterUntil = map[[2]int32]time.Duration{}
		}
		at := [2]int32{relay, int32(ev.Endpoint)}
		k.retryAfterUntil[at] = max(k.retryAfterUntil[at], k.run.now+ev.RetryAfter)
	case ev.Kind == control.Listed:
		if k.drainingSince == nil {
			k.drainingSince = map[[2]int32]time.Duration{}
		}
		for _, e := range ev.Endpoints {
			at := [2]int32{relay, int32(e.ID)}
			if _, known := k.drainingSince[at]; e.State == control.Ready {
				delete(k.drainingSince, at)
			} else if !known {
				k.drainingSince[at] = k.run.now
			}
		}
	}
}

func (k *Checker) checkSend(relay int32, a *control.Action, t *submission, msg *message) {
	now, at := k.run.now, [2]int32{relay, int32(a.Endpoint)}
	if t.finished || t.relay != relay {
		k.report(ruleOneEnd, relay, t.message, "is sent though it has ended here, or was never here")
	}
	if msg.inFlight > 0 {
		k.report(ruleOneCopy, relay, t.message, "is sent while a copy is out")
	}
	if int(t.attempts) >= k.run.World.MaxAttempts {
		k.report(ruleAttempts, relay, t.message, "is sent once too often")
	}
	if c := &k.run.World.Classes[msg.class]; msg.mayHaveRun && (c.Effect == "unsafe" || c.Effect == "keyed" && now-msg.mayHaveRunAt > time.Duration(c.DedupWindow)) {
		k.report(ruleRepeat, relay, t.message, "is sent again though it may have run")
	}
	if until := k.retryAfterUntil[at]; until > now {
		k.report(ruleWait, relay, t.message, fmt.Sprintf("is sent %v before the end of a wait", until-now))
	}
	if since, ok := k.drainingSince[at]; ok && now-since > time.Duration(k.run.World.DrainGrace) {
		k.report(ruleDrain, relay, t.message, fmt.Sprintf("is sent %v after word that its endpoint goes", now-since))
	}
}

// checkFinish checks that a submission may finish now, and marks it as finished; false: it may not.
func (k *Checker) checkFinish(relay int32, a *control.Action, t *submission) bool {
	if t.finished || t.relay != relay {
		k.report(ruleOneEnd, relay, t.message, "has a second end")
		return false
	}
	if _, out := k.run.relays[relay].inFlight[a.ID]; out {
		k.report(ruleOneEnd, relay, t.message, "ends while its call is out")
	}
	t.finished = true
	return true
}

func (k *Checker) checkDelivered(t *submission) {
	if t.finished {
		k.report(ruleOneEnd, t.relay, t.message, "is delivered though it had ended")
	}
	t.finished = true
}

// checkAllFinished reports submissions that never finished, once the run is over.
func (k *Checker) checkAllFinished() {
	for i := range k.run.submissions {
		t := &k.run.submissions[i]
		if re := &k.run.relays[t.relay]; !t.finished && !re.down {
			k.report(ruleOneEnd, t.relay, t.message, "has no end")
		}
	}
}
