package plugin

import (
	"bytes"
	"time"

	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/plugin/rules"
)

// noSample is the result of SampleBytes if no plug-in handles the answer.
const noSample = -1

// OnArrival calls the plug-ins, in their order, for a message that is not accepted yet. It sets the message's ExtraHeaders, and its
// Body if a plug-in has rewritten it. The time limit for all plug-ins together is PluginBudget.
func (h *Host) OnArrival(front string, m *engine.Message) engine.Ruling {
	g := h.acquire()
	if g == nil {
		return engine.Ruling{}
	}
	defer h.release(g)
	var base *Call // nil until a plug-in applies
	var deadline time.Time
	for _, v := range g.chain {
		if !v.applies(Arrival, front, m.Partner, m.Class) {
			continue
		}
		now := time.Now()
		if base == nil {
			deadline = now.Add(h.limits.PluginBudget)
			base = h.arrivalCall(front, m)
		}
		// Each plug-in gets its own copy, because an abandoned call may still read the previous one.
		call := *base
		call.Now, call.TimeLeft = now, m.Deadline.Sub(now)
		outcome, err := v.attempt(&call, deadline)
		if ruling, final := v.arrivalRuling(&outcome, err); final {
			return ruling
		}
		if err == nil {
			applyChanges(base, m, &outcome)
		}
	}
	if base != nil {
		m.ExtraHeaders = base.ExtraHeaders
	}
	return engine.Ruling{}
}

// arrivalCall returns the input of the calls for a message on arrival. It copies the body, because an abandoned call may still read it
// while the engine uses the message.
func (h *Host) arrivalCall(front string, m *engine.Message) *Call {
	return &Call{Phase: Arrival, Front: front, ID: m.ID, Key: m.Key, Partner: m.Partner, Class: m.Class,
		ClassName: h.className(m.Class), Resubmitted: m.Resubmitted, In: m.Header, Body: bytes.Clone(m.Body), frontRules: h.frontRules(front)}
}

// arrivalRuling returns the ruling that follows from a call on arrival; final: no further plug-in is called.
func (v *version) arrivalRuling(outcome *Outcome, err error) (ruling engine.Ruling, final bool) {
	switch {
	case err != nil && v.cfg.Reject:
		ruling = engine.Ruling{Verdict: engine.Busy, Reason: "plug-in " + v.cfg.Name + " is out of order"}
	case err == nil && outcome.Reject:
		ruling = engine.Ruling{Verdict: engine.Rejected, Status: outcome.Status, Reason: outcome.Reason}
	default:
		return ruling, false
	}
	v.counts.Rejected.Add(1)
	return ruling, true
}

// applyChanges applies a plug-in's changes to the message, and to the input of the next plug-in's call.
func applyChanges(base *Call, m *engine.Message, outcome *Outcome) {
	base.ExtraHeaders = outcome.ExtraHeaders
	if outcome.Body != nil {
		base.Body = outcome.Body
		m.Body = outcome.Body
	}
}

// frontRules returns what plug-ins may change at a front. For an unknown front that is extra headers only.
func (h *Host) frontRules(front string) *rules.Front {
	if f := h.fronts[front]; f != nil {
		return f
	}
	return &rules.Front{Name: front}
}

// SampleBytes returns how many bytes of an answer's body the plug-ins need; below 0: no plug-in handles the answer.
func (h *Host) SampleBytes(front string, partner, class int) int {
	g := h.current.Load()
	if g == nil {
		return noSample
	}
	for _, v := range g.chain {
		if v.applies(Answer, front, partner, class) {
			return h.limits.PluginSample
		}
	}
	return noSample
}

// OnAnswer calls the plug-ins for an answer, and applies what they request to outcomes, of which there is one for each item of the
// attempt. Where the rules allow no change of an outcome, the call is deferred. The time limit for all calls together is PluginBudget.
func (h *Host) OnAnswer(front string, attempt *engine.Attempt, outcomes []engine.Outcome) {
	g := h.acquire()
	if g == nil {
		return
	}
	defer h.release(g)
	deadline := time.Now().Add(h.limits.PluginBudget)
	for i := range outcomes {
		item := &attempt.Items[i]
		for _, v := range g.chain {
			if v.applies(Answer, front, attempt.To.Partner, item.Class) {
				v.answer(h.answerCall(front, attempt, item, &outcomes[i]), &outcomes[i], deadline)
			}
		}
	}
}

// answerCall returns the input of a call for the answer to one message.
func (h *Host) answerCall(front string, attempt *engine.Attempt, item *engine.Item, outcome *engine.Outcome) *Call {
	to, seen := &attempt.To, attempt.SampledAnswer()
	return &Call{Phase: Answer, Front: front, ID: item.ID, Key: item.Key, Partner: to.Partner, Class: item.Class,
		ClassName: h.className(item.Class), In: seen.Header, Body: seen.Body, Destination: to.Name, Status: seen.Status,
		Answer: rules.Answer{Result: outcome.Result, RetryAfter: outcome.RetryAfter, Final: outcome.Final}, Now: time.Now()}
}

// answer calls the plug-in for the answer to one message, and applies a longer wait or a refusal that it requests to the outcome. A
// call that fails leaves the outcome as it is.
func (v *version) answer(c *Call, outcome *engine.Outcome, deadline time.Time) {
	limits := &v.host.rules
	// If the relay would refuse even the smallest longer wait, the plug-in can't change the outcome, so its call is not awaited.
	smallest := rules.Ask{RetryAfter: c.Answer.RetryAfter + 1}
	if _, why := rules.Tighten(c.Answer, smallest, limits); why != rules.None {
		v.deferCall(c)
		return
	}
	asked, err := v.attempt(c, deadline)
	if err != nil {
		return
	}
	tightened, _ := rules.Tighten(c.Answer, asked.Ask, limits)
	outcome.Result, outcome.RetryAfter = tightened.Result, tightened.RetryAfter
}

// OnEnd queues a call to each plug-in that handles the end of a message.
func (h *Host) OnEnd(front string, e engine.End) {
	g := h.acquire()
	if g == nil {
		return
	}
	defer h.release(g)
	for _, v := range g.chain {
		if v.applies(End, front, e.Partner, e.Class) {
			v.deferCall(&Call{Phase: End, Front: front, ID: e.ID, Key: e.Key, Partner: e.Partner, Class: e.Class,
				ClassName: h.className(e.Class), Result: e.Result})
		}
	}
}
