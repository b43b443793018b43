package simulator

import (
	"fmt"
	"time"

	"mastusher/control"
)

// Rule is one that no policy may break.
type Rule string

// The rules.
const (
	ruleOneEnd     Rule = "one end"      // each message that a relay takes ends there once
	ruleOneCopy    Rule = "one copy"     // never are two copies of a message out
	ruleRepeat     Rule = "repeats"      // only what may be repeated is, and within its window
	ruleEffects    Rule = "effects"      // nothing takes effect twice that must not
	ruleDrain      Rule = "drains"       // nothing goes to what drains or is gone, past the grace
	ruleWait       Rule = "waits"        // a wait told is heeded
	ruleColdReturn Rule = "cold returns" // what has come back is not pushed over
	ruleAttempts   Rule = "attempts"     // no message has more than are allowed
	ruleOrder      Rule = "orders"       // what a relay orders makes sense
)

// Rules are all of them.
var Rules = []Rule{ruleOneEnd, ruleOneCopy, ruleRepeat, ruleEffects, ruleDrain, ruleWait, ruleColdReturn, ruleAttempts, ruleOrder}

// Violation is where a rule was broken.
type Violation struct {
	Rule    Rule
	At      time.Duration // since the start
	Relay   int32         // -1: none alone
	Message int32         // -1: none
	Text    string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: rule %q: relay %d, message %d %s", b.At, b.Rule, b.Relay, b.Message, b.Text)
}

// Checker holds a policy to the rules, from what it orders and what it was told: it shares nothing with any policy.
type Checker struct {
	Counts  map[Rule]int
	Samples []Violation // the first ones

	run             *Run
	retryAfterUntil map[[2]int32]time.Duration // waits told, by relay and endpoint
	drainingSince   map[[2]int32]time.Duration // when a relay heard that an endpoint drains or is gone
}

func (k *Checker) report(rule Rule, relay, msg int32, text string) {
	if k.Counts == nil {
		k.Counts = map[Rule]int{}
	}
	if k.Counts[rule]++; len(k.Samples) < 50 {
		k.Samples = append(k.Samples, Violation{rule, k.run.now - clockStart, relay, msg, text})
	}
}

// Broken tells whether any rule was.
func (k *Checker) Broken() bool { return len(k.Samples) > 0 }

// observeEvent is what a relay is told, in the turn in which it is.
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

// checkFinish is a relay's end of a message; false: it was none.
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

// checkAllFinished looks for messages without an end, where all should be over.
func (k *Checker) checkAllFinished() {
	for i := range k.run.submissions {
		t := &k.run.submissions[i]
		if re := &k.run.relays[t.relay]; !t.finished && !re.down {
			k.report(ruleOneEnd, t.relay, t.message, "has no end")
		}
	}
}
