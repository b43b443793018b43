package capture

import (
	"fmt"
	"strings"

	"mastusher/control"
)

// nameFor returns the name of a code, or unknown if it has none.
func nameFor(names []string, code int, unknown string) string {
	if code < len(names) {
		return names[code]
	}
	return unknown
}

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

var actionNames = [...]string{"?", "send", "refuse", "fail", "cancel", "wake", "subscribe", "close", "recall", "log"}

// Action describes an action of the module.
func (res *Result) Action(a control.Action) string {
	kind := nameFor(actionNames[:], int(a.Kind), actionNames[0])
	switch a.Kind {
	case control.Send:
		return fmt.Sprintf("send %s to %s within %v", res.message(a.ID), res.name(a.Endpoint), a.Duration)
	case control.Refuse:
		return fmt.Sprintf("refuse %s, retry after %v", res.message(a.ID), a.Duration)
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

var resultNames = [...]string{"delivered", "error", "full", "timed out", "could not connect", "reset", "canceled", "moot", "rejected for good", "spoilt"}

func resultName(result control.Result) string { return nameFor(resultNames[:], int(result), "unknown") }

// Event describes an event of the module.
func (res *Result) Event(event control.Event) string {
	switch event.Kind {
	case control.Listed:
		return fmt.Sprintf("endpoint list: %d endpoints, complete %t", len(event.Endpoints), event.Complete)
	case control.ListFailed:
		return "the endpoint list could not be fetched"
	case control.Arrived:
		s := fmt.Sprintf("%s arrives for destination %d, class %d", res.message(event.ID), event.Destination, event.Class)
		if event.Attempt > 0 {
			s += fmt.Sprintf(", after %d attempts", event.Attempt)
		}
		return s
	case control.Resolved:
		s := fmt.Sprintf("attempt %d of %s at %s: %s", event.Attempt, res.message(event.ID), res.name(event.Endpoint), resultName(event.Result))
		if event.RetryAfter > 0 {
			s += fmt.Sprintf(", wait %v", event.RetryAfter)
		}
		if event.Reported {
			s += fmt.Sprintf(", %.0f %% of %.1f/s left", 100*event.Remaining, event.Limit)
		}
		return s
	case control.Withdrawn:
		return res.message(event.ID) + " is withdrawn"
	case control.Woken:
		return "woken"
	}
	return fmt.Sprintf("event of kind %d", event.Kind)
}

func (res *Result) messages(refs []uint64) string {
	var all []string
	for _, ref := range refs {
		all = append(all, res.message(ref))
	}
	return strings.Join(all, ", ")
}

// CoreEvent describes an event of the core.
func (res *Result) CoreEvent(event *CoreEvent) string {
	switch event.Kind {
	case Submitted:
		s := fmt.Sprintf("%s is submitted to front %d for partner %d, class %d", event.Arrival.ID, event.Front, event.Arrival.Partner, event.Arrival.Class)
		if event.Arrival.Verdict != 0 {
			s += fmt.Sprintf("; a plug-in's verdict is %d (%d %s)", event.Arrival.Verdict, event.Arrival.Status, event.Arrival.Reason)
		}
		return s
	case Withdrawn:
		return res.message(event.Ref) + " is withdrawn: its client never received the answer"
	case DiscoveryMoved:
		return fmt.Sprintf("the discovery service of front %d has moved", event.Front)
	case DrainStarted:
		return "the relay is told to drain"
	case AttemptEnded:
		if event.Outcomes == nil {
			return fmt.Sprintf("attempt %d ends for its %d messages, with the module's outcomes of this turn", event.Number, event.Items)
		}
		var ends []string
		for _, outcome := range event.Outcomes {
			ends = append(ends, resultName(outcome.Result))
		}
		return fmt.Sprintf("attempt %d ends: %s", event.Number, strings.Join(ends, ", "))
	case ListReported:
		return fmt.Sprintf("endpoint list %d of front %d: %d destinations, complete %t", event.List.Index, event.Front, len(event.List.Destinations), event.List.Complete)
	case WatchEnded:
		return fmt.Sprintf("watch %d of front %d is lost: %s", event.Number, event.Front, event.Text)
	case NoticesAnswered:
		accepted := 0
		for _, ok := range event.Accepted {
			if ok {
				accepted++
			}
		}
		return fmt.Sprintf("%d of %d notices from front %d are accepted", accepted, len(event.Accepted), event.Front)
	}
	return fmt.Sprintf("event of kind %d", event.Kind)
}

var verdictNames = [...]string{"accepted", "busy", "given up", "rejected"}

// CoreAction describes an action of the core.
func (res *Result) CoreAction(action Action) string {
	switch action.Kind {
	case Replied:
		verdict := nameFor(verdictNames[:], int(action.Verdict), "?")
		return fmt.Sprintf("reply to submission %d: %s, retry after %v", action.Number, verdict, action.Wait)
	case AttemptBegan:
		return fmt.Sprintf("attempt %d to %s within %v: %s", action.Number, res.name(action.Target), action.Wait, res.messages(action.Refs))
	case AttemptCanceled:
		return fmt.Sprintf("attempt %d is canceled", action.Number)
	case AttemptRecalled:
		return fmt.Sprintf("attempt %d is canceled unless it has begun", action.Number)
	case NoticesSent:
		return fmt.Sprintf("notices by front %d: %s", action.Number, res.messages(action.Refs))
	case WatchStarted:
		return fmt.Sprintf("watch %d of front %d, after index %d", action.Target, action.Number, action.After)
	case IdleClosed:
		return "idle connections to " + res.name(action.Target) + " are closed"
	case MessageFinished:
		return res.message(action.Number) + " has ended"
	}
	return fmt.Sprintf("action of kind %d", action.Kind)
}
