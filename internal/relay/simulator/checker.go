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
	ruleEnd      Rule = "one end"      // each message that a relay takes ends there once
	ruleCopy     Rule = "one copy"     // never are two copies of a message out
	ruleRepeat   Rule = "repeats"      // only what may be repeated is, and within its window
	ruleTwice    Rule = "effects"      // nothing takes effect twice that must not
	ruleDrain    Rule = "drains"       // nothing goes to what drains or is gone, past the grace
	ruleWait     Rule = "waits"        // a wait told is heeded
	ruleCold     Rule = "cold returns" // what has come back is not pushed over
	ruleAttempts Rule = "attempts"     // no message has more than are allowed
	ruleOrder    Rule = "orders"       // what a relay orders makes sense
)

// Rules are all of them.
var Rules = []Rule{ruleEnd, ruleCopy, ruleRepeat, ruleTwice, ruleDrain, ruleWait, ruleCold, ruleAttempts, ruleOrder}

// Breach is where a rule was broken.
type Breach struct {
	Rule    Rule
	At      time.Duration // since the start
	Relay   int32         // -1: none alone
	Message int32         // -1: none
	Text    string
}

func (b Breach) String() string {
	return fmt.Sprintf("%v: rule %q: relay %d, message %d %s", b.At, b.Rule, b.Relay, b.Message, b.Text)
}

// Checker holds a policy to the rules, from what it orders and what it was told: it shares nothing with any policy.
type Checker struct {
	Count   map[Rule]int
	Samples []Breach // the first ones

	run   *Run
	until map[[2]int32]time.Duration // waits told, by relay and endpoint
	left  map[[2]int32]time.Duration // when a relay heard that an endpoint drains or is gone
}

func (k *Checker) breach(rule Rule, relay, msg int32, text string) {
	if k.Count == nil {
		k.Count = map[Rule]int{}
	}
	if k.Count[rule]++; len(k.Samples) < 50 {
		k.Samples = append(k.Samples, Breach{rule, k.run.now - start, relay, msg, text})
	}
}

// Broken tells whether any rule was.
func (k *Checker) Broken() bool { return len(k.Samples) > 0 }

// hears is what a relay is told, in the turn in which it is.
func (k *Checker) hears(relay int32, ev *control.Event) {
	switch {
	case ev.Kind == control.Resolved && ev.Result == control.Throttled && ev.RetryAfter > 0:
		if k.until == nil {
			k.until = map[[2]int32]time.Duration{}
		}
		at := [2]int32{relay, int32(ev.Endpoint)}
		k.until[at] = max(k.until[at], k.run.now+ev.RetryAfter)
	case ev.Kind == control.Listed:
		if k.left == nil {
			k.left = map[[2]int32]time.Duration{}
		}
		for _, e := range ev.Endpoints {
			at := [2]int32{relay, int32(e.ID)}
			if _, known := k.left[at]; e.State == control.Ready {
				delete(k.left, at)
			} else if !known {
				k.left[at] = k.run.now
			}
		}
	}
}

func (k *Checker) sends(relay int32, a *control.Action, t *ticket, msg *message) {
	now, at := k.run.now, [2]int32{relay, int32(a.Endpoint)}
	if t.ended || t.relay != relay {
		k.breach(ruleEnd, relay, t.msg, "is sent though it has ended here, or was never here")
	}
	if msg.out > 0 {
		k.breach(ruleCopy, relay, t.msg, "is sent while a copy is out")
	}
	if int(t.tries) >= k.run.W.MaxAttempts {
		k.breach(ruleAttempts, relay, t.msg, "is sent once too often")
	}
	if c := &k.run.W.Classes[msg.class]; msg.mayRan && (c.Effect == "unsafe" || c.Effect == "keyed" && now-msg.ranAt > time.Duration(c.Window)) {
		k.breach(ruleRepeat, relay, t.msg, "is sent again though it may have run")
	}
	if until := k.until[at]; until > now {
		k.breach(ruleWait, relay, t.msg, fmt.Sprintf("is sent %v before the end of a wait", until-now))
	}
	if since, ok := k.left[at]; ok && now-since > time.Duration(k.run.W.DrainGrace) {
		k.breach(ruleDrain, relay, t.msg, fmt.Sprintf("is sent %v after word that its endpoint goes", now-since))
	}
}

// ends is a relay's end of a message; false: it was none.
func (k *Checker) ends(relay int32, a *control.Action, t *ticket) bool {
	if t.ended || t.relay != relay {
		k.breach(ruleEnd, relay, t.msg, "has a second end")
		return false
	}
	if _, out := k.run.relays[relay].calls[a.ID]; out {
		k.breach(ruleEnd, relay, t.msg, "ends while its call is out")
	}
	t.ended = true
	return true
}

func (k *Checker) delivered(t *ticket) {
	if t.ended {
		k.breach(ruleEnd, t.relay, t.msg, "is delivered though it had ended")
	}
	t.ended = true
}

// end looks for messages without an end, where all should be over.
func (k *Checker) end() {
	for i := range k.run.ticks {
		t := &k.run.ticks[i]
		if re := &k.run.relays[t.relay]; !t.ended && !re.down {
			k.breach(ruleEnd, t.relay, t.msg, "has no end")
		}
	}
}
