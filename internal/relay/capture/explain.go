package capture

import (
	"fmt"
	"slices"

	"mastusher/control"
)

// Concerned are the endpoints that a turn is about, in events or actions.
func Concerned(t *Turn, got []control.Action) map[uint32]bool {
	all := map[uint32]bool{}
	for _, e := range t.Events {
		if e.Kind == control.Resolved {
			all[e.Endpoint] = true
		}
	}
	for _, a := range append(slices.Clone(got), t.Actions...) {
		if a.Kind == control.Send || a.Kind == control.Close {
			all[a.Endpoint] = true
		}
	}
	return all
}

var healthWords = [...]string{"steady", "overrunning", "stopped", "returning"}

// Explain tells, a line each, how the destinations of some endpoints stand: tables, plan, health, waits.
func Explain(x *control.Snapshot, res *Result, endpoints map[uint32]bool) (explanation []string) {
	explanation = append(explanation, fmt.Sprintf("slots in use %d, messages open %d, calls to suspect destinations %d, resend budget %.2f", x.SlotsInUse, x.OpenMessages, x.CallsToUnhealthy, x.Budget))
	for _, n := range x.Destinations {
		for _, e := range n.Endpoints {
			if !endpoints[e.ID] {
				continue
			}
			d := n.Routes[e.Route]
			health := "?"
			if int(d.Health) < len(healthWords) {
				health = healthWords[d.Health]
			}
			line := fmt.Sprintf("%s of destination %d: %s, list says %s; table of %.1f calls, %.1f lost; %d out, %d held",
				res.name(e.ID), n.ID, health, [...]string{"ready", "draining", "gone"}[min(int(e.State), 2)], e.Own.Total, e.Own.Failed, len(e.InFlight), len(n.Queued))
			if d.WaitUntil > x.Now {
				line += fmt.Sprintf("; told to wait %v more", d.WaitUntil-x.Now)
			}
			if d.RetryAt > x.Now {
				line += fmt.Sprintf("; rests %v more after %d refusals", d.RetryAt-x.Now, d.RefusalStreak)
			}
			if d.RateLimit > 0 {
				line += fmt.Sprintf("; limit %.1f/s, tokens %.2f", d.RateLimit, d.Tokens)
			}
			if len(n.ExpectedTimes) > 1 {
				line += fmt.Sprintf("; the plan expects %.0f ms", n.ExpectedTimes[1]*1000)
			}
			explanation = append(explanation, line)
		}
	}
	return explanation
}
