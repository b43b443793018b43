package capture

import (
	"fmt"
	"strings"

	"mastusher/control"
)

func (res *Result) name(endpoint uint32) string {
	if n, ok := res.Names[endpoint]; ok {
		return n.Name
	}
	return fmt.Sprintf("endpoint %d", endpoint)
}

func (res *Result) message(ref uint64) string {
	if m, ok := res.Messages[ref]; ok {
		return m.ID
	}
	return fmt.Sprintf("message %d", ref)
}

var actionWords = [...]string{"?", "send", "refuse", "fail", "cancel", "wake", "subscribe", "close", "recall", "log"}

// Action is an action in words.
func (res *Result) Action(a control.Action) string {
	kind := actionWords[0]
	if int(a.Kind) < len(actionWords) {
		kind = actionWords[a.Kind]
	}
	switch a.Kind {
	case control.Send:
		return fmt.Sprintf("send %s to %s within %v", res.message(a.ID), res.name(a.Endpoint), a.For)
	case control.Refuse:
		return fmt.Sprintf("refuse %s, come again after %v", res.message(a.ID), a.For)
	case control.Wake:
		return fmt.Sprintf("wake at %v", a.At)
	case control.Close:
		return "close idle connections to " + res.name(a.Endpoint)
	case control.Subscribe:
		return kind
	case control.Log:
		return "log: " + a.Text
	}
	return kind + " " + res.message(a.ID)
}

var resultWords = [...]string{"delivered", "error", "full", "timed out", "could not connect", "reset", "called off", "moot", "refused for good", "spoilt"}

// Event is an event in words.
func (res *Result) Event(e control.Event) string {
	switch e.Kind {
	case control.Listed:
		return fmt.Sprintf("list: %d endpoints, whole %t", len(e.Endpoints), e.Complete)
	case control.ListFailed:
		return "the list could not be had"
	case control.Arrived:
		s := fmt.Sprintf("%s arrives for destination %d, class %d", res.message(e.ID), e.Destination, e.Class)
		if e.Attempt > 0 {
			s += fmt.Sprintf(", after %d attempts", e.Attempt)
		}
		return s
	case control.Resolved:
		what := "unknown"
		if int(e.Result) < len(resultWords) {
			what = resultWords[e.Result]
		}
		s := fmt.Sprintf("attempt %d of %s at %s: %s", e.Attempt, res.message(e.ID), res.name(e.Endpoint), what)
		if e.RetryAfter > 0 {
			s += fmt.Sprintf(", wait %v", e.RetryAfter)
		}
		if e.Reported {
			s += fmt.Sprintf(", %.0f %% of %.1f/s left", 100*e.Remaining, e.Limit)
		}
		return s
	case control.Withdrawn:
		return res.message(e.ID) + " is withdrawn"
	case control.Woken:
		return "woken"
	}
	return fmt.Sprintf("event of kind %d", e.Kind)
}

func (res *Result) messages(refs []uint64) string {
	var all []string
	for _, ref := range refs {
		all = append(all, res.message(ref))
	}
	return strings.Join(all, ", ")
}

// CoreEvent is an event of the core in words.
func (res *Result) CoreEvent(e *CoreEvent) string {
	switch e.Kind {
	case Submitted:
		s := fmt.Sprintf("%s is handed in to front %d for partner %d, class %d", e.Arrival.ID, e.Front, e.Arrival.Partner, e.Arrival.Class)
		if e.Arrival.Verdict != 0 {
			s += fmt.Sprintf("; a plug-in's verdict is %d (%d %s)", e.Arrival.Verdict, e.Arrival.Status, e.Arrival.Reason)
		}
		return s
	case Withdrawn:
		return res.message(e.Ref) + " is withdrawn: its client never heard the answer"
	case Moved:
		return fmt.Sprintf("the discovery of front %d has moved", e.Front)
	case DrainStarted:
		return "the relay is told to drain"
	case AttemptEnded:
		if e.Outcomes == nil {
			return fmt.Sprintf("route step %d ends for its %d messages, as the module is told", e.Number, e.Items)
		}
		var ends []string
		for _, o := range e.Outcomes {
			what := "unknown"
			if int(o.Result) < len(resultWords) {
				what = resultWords[o.Result]
			}
			ends = append(ends, what)
		}
		return fmt.Sprintf("route step %d ends: %s", e.Number, strings.Join(ends, ", "))
	case ListReported:
		return fmt.Sprintf("pool config %d of front %d: %d destinations, whole %t", e.List.Index, e.Front, len(e.List.Destinations), e.List.Complete)
	case WatchEnded:
		return fmt.Sprintf("watch %d of front %d is lost: %s", e.Number, e.Front, e.Text)
	case Notified:
		taken := 0
		for _, ok := range e.Accepted {
			if ok {
				taken++
			}
		}
		return fmt.Sprintf("%d of %d notices are taken from front %d", taken, len(e.Accepted), e.Front)
	}
	return fmt.Sprintf("event of kind %d", e.Kind)
}

var verdictWords = [...]string{"taken on", "busy", "given up", "rejected"}

// Action is what the core did in words.
func (res *Result) CoreAction(d Action) string {
	switch d.Kind {
	case Replied:
		what := "?"
		if int(d.Verdict) < len(verdictWords) {
			what = verdictWords[d.Verdict]
		}
		return fmt.Sprintf("answer to message %d handed in: %s, come again after %v", d.Number, what, d.Wait)
	case AttemptBegan:
		return fmt.Sprintf("route step %d to %s within %v: %s", d.Number, res.name(d.Target), d.Wait, res.messages(d.Refs))
	case AttemptCanceled:
		return fmt.Sprintf("route step %d is called off", d.Number)
	case AttemptRecalled:
		return fmt.Sprintf("route step %d is called back unless it has begun", d.Number)
	case NoticesSent:
		return fmt.Sprintf("notices by front %d: %s", d.Number, res.messages(d.Refs))
	case WatchStarted:
		return fmt.Sprintf("watch %d of front %d, after index %d", d.Target, d.Number, d.After)
	case IdleClosed:
		return "idle connections to " + res.name(d.Target) + " are closed"
	case MessageFinished:
		return res.message(d.Number) + " is over"
	}
	return fmt.Sprintf("deed of kind %d", d.Kind)
}
