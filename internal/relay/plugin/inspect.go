package plugin

import (
	"bytes"
	"time"

	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/plugin/rules"
)

// OnArrival lets the plug-ins see a message before it is taken on, in their order, and fixes what it is sent as.
func (h *Host) OnArrival(front string, m *engine.Message) engine.Ruling {
	g := h.use()
	if g == nil {
		return engine.Ruling{}
	}
	defer h.release(g)
	var call *Call
	by := time.Time{}
	for _, v := range g.chain {
		if !v.applies(Arrival, front, m.Partner, m.Class) {
			continue
		}
		now := time.Now()
		if call == nil {
			by = now.Add(h.limits.PluginBudget)
			call = &Call{Phase: Arrival, Front: front, ID: m.ID, Key: m.Key, Partner: m.Partner, Class: m.Class,
				ClassName: h.class(m.Class), Resubmitted: m.Resubmitted, In: m.Header, Body: bytes.Clone(m.Body), guard: h.guard(front)}
		}
		// A call of its own for each: one that was left to itself may still read the last.
		mine := *call
		mine.Now, mine.TimeLeft = now, m.Deadline.Sub(now)
		out, err := v.attempt(&mine, by)
		switch {
		case err != nil && v.cfg.Reject:
			v.counts.Rejected.Add(1)
			return engine.Ruling{Verdict: engine.Busy, Reason: "plug-in " + v.cfg.Name + " is out of order"}
		case err != nil:
			continue
		case out.Reject:
			v.counts.Rejected.Add(1)
			return engine.Ruling{Verdict: engine.Rejected, Status: out.Status, Reason: out.Reason}
		}
		call.Shape = out.Shape
		if out.Body != nil {
			call.Body = out.Body
			m.Body = out.Body
		}
	}
	if call != nil {
		m.ExtraHeaders = call.Shape
	}
	return engine.Ruling{}
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
		return -1
	}
	for _, v := range g.chain {
		if v.applies(Answer, front, partner, class) {
			return h.limits.PluginSample
		}
	}
	return -1
}

// OnAnswer shows the plug-ins an answer and makes of its outcomes what they may. Answers of which nothing
// may be made they are shown later.
func (h *Host) OnAnswer(front string, attempt *engine.Attempt, outs []engine.Outcome) {
	g := h.use()
	if g == nil {
		return
	}
	defer h.release(g)
	by := time.Now().Add(h.limits.PluginBudget)
	for i := range outs {
		h.answered(g, front, &attempt.To, &attempt.Items[i], attempt.SampledAnswer(), &outs[i], by)
	}
}

// answered shows the plug-ins the answer for one message, and makes its outcome more careful where they ask for that.
func (h *Host) answered(g *generation, front string, to *engine.Destination, it *engine.Item, seen *engine.AnswerSample,
	o *engine.Outcome, by time.Time) {
	for _, v := range g.chain {
		if !v.applies(Answer, front, to.Partner, it.Class) {
			continue
		}
		now := time.Now()
		a := rules.Answer{Result: o.Result, RetryAfter: o.RetryAfter, Final: o.Final}
		c := &Call{Phase: Answer, Front: front, ID: it.ID, Key: it.Key, Partner: to.Partner, Class: it.Class,
			ClassName: h.class(it.Class), In: seen.Header, Body: seen.Body, Destination: to.Name, Status: seen.Status, Answer: a, Now: now}
		// The least that could be asked for: where that is refused there is nothing to wait for.
		if _, why := rules.Tighten(a, rules.Ask{RetryAfter: a.RetryAfter + 1}, &h.rules); why != rules.None {
			v.enqueueAfterwards(c)
			continue
		}
		out, err := v.attempt(c, by)
		if err != nil {
			continue // an answer is never worse for a plug-in that fails
		}
		a, _ = rules.Tighten(a, out.Ask, &h.rules)
		o.Result, o.RetryAfter = a.Result, a.RetryAfter
	}
}

// OnEnd tells the plug-ins, later, that a message has ended.
func (h *Host) OnEnd(front string, e engine.End) {
	g := h.use()
	if g == nil {
		return
	}
	defer h.release(g)
	for _, v := range g.chain {
		if v.applies(End, front, e.Partner, e.Class) {
			v.enqueueAfterwards(&Call{Phase: End, Front: front, ID: e.ID, Key: e.Key, Partner: e.Partner, Class: e.Class,
				ClassName: h.class(e.Class), Result: e.Result})
		}
	}
}
