package plugin

import (
	"bytes"
	"time"

	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/plugin/rules"
)

// wantsNoAnswer is what SampleBytes returns where no plug-in wants to see an answer.
const wantsNoAnswer = -1

// OnArrival lets the plug-ins see a message before it is taken on, in their order, and fixes what it is sent as: it
// sets the message's ExtraHeaders and perhaps its Body. All plug-ins together have the configuration's PluginBudget.
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
		// A call of its own for each: one that was left to itself may still read the last.
		call := *base
		call.Now, call.TimeLeft = now, m.Deadline.Sub(now)
		outcome, err := v.attempt(&call, deadline)
		if ruling, final := v.ruleArrival(&outcome, err); final {
			return ruling
		}
		if err == nil {
			takeOver(base, m, &outcome)
		}
	}
	if base != nil {
		m.ExtraHeaders = base.Shape
	}
	return engine.Ruling{}
}

// arrivalCall is what plug-ins are told of a message that arrives. The body is copied, since a call that was left to itself may
// read it when the engine has long gone on.
func (h *Host) arrivalCall(front string, m *engine.Message) *Call {
	return &Call{Phase: Arrival, Front: front, ID: m.ID, Key: m.Key, Partner: m.Partner, Class: m.Class,
		ClassName: h.className(m.Class), Resubmitted: m.Resubmitted, In: m.Header, Body: bytes.Clone(m.Body), guard: h.guard(front)}
}

// ruleArrival is what a call on arrival decides for the message; final: no further plug-in is asked.
func (v *version) ruleArrival(outcome *Outcome, err error) (ruling engine.Ruling, final bool) {
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

// takeOver makes what one plug-in has done to a message what the next is shown.
func takeOver(base *Call, m *engine.Message, outcome *Outcome) {
	base.Shape = outcome.Shape
	if outcome.Body != nil {
		base.Body = outcome.Body
		m.Body = outcome.Body
	}
}

// guard is what plug-ins may change at a front.
func (h *Host) guard(front string) *rules.Front {
	if f := h.fronts[front]; f != nil {
		return f
	}
	return &rules.Front{Name: front}
}

// SampleBytes is how many bytes of an answer's body some plug-in wants to see; below 0: none wants to see the answer.
func (h *Host) SampleBytes(front string, partner, class int) int {
	g := h.current.Load()
	if g == nil {
		return wantsNoAnswer
	}
	for _, v := range g.chain {
		if v.applies(Answer, front, partner, class) {
			return h.limits.PluginSample
		}
	}
	return wantsNoAnswer
}

// OnAnswer shows the plug-ins an answer and makes of its outcomes, one for each item of the attempt, what they may.
// Answers of which nothing may be made they are shown later. All of it together has the configuration's PluginBudget.
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

// answerCall is what plug-ins are told of the answer for one message.
func (h *Host) answerCall(front string, attempt *engine.Attempt, item *engine.Item, outcome *engine.Outcome) *Call {
	to, seen := &attempt.To, attempt.SampledAnswer()
	return &Call{Phase: Answer, Front: front, ID: item.ID, Key: item.Key, Partner: to.Partner, Class: item.Class,
		ClassName: h.className(item.Class), In: seen.Header, Body: seen.Body, Destination: to.Name, Status: seen.Status,
		Answer: rules.Answer{Result: outcome.Result, RetryAfter: outcome.RetryAfter, Final: outcome.Final}, Now: time.Now()}
}

// answer shows the plug-in the answer for one message, and makes its outcome more careful where it asks for that. An
// answer is never worse for a plug-in that fails.
func (v *version) answer(c *Call, outcome *engine.Outcome, deadline time.Time) {
	limits := &v.host.rules
	// The smallest that could be asked for: where that is refused there is nothing to wait for.
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

// OnEnd tells the plug-ins, later, that a message has ended.
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
