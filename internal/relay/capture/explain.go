package capture

import (
	"fmt"
	"slices"

	"mastusher/control"
)

// ConcernedEndpoints returns the endpoints that occur in a turn's events, its recorded actions, or the actions of a replay.
func ConcernedEndpoints(t *Turn, got []control.Action) map[uint32]bool {
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

var healthNames = [...]string{"steady", "overrunning", "stopped", "returning"}

// Explain describes the state of some endpoints, a line each: latency table, plan, health, waits.
func Explain(snapshot *control.Snapshot, res *Result, endpoints map[uint32]bool) (explanation []string) {
	explanation = append(explanation, fmt.Sprintf("slots in use %d, open messages %d, calls to unhealthy destinations %d, resend budget %.2f", snapshot.SlotsInUse, snapshot.OpenMessages, snapshot.CallsToUnhealthy, snapshot.Budget))
	for i := range snapshot.Destinations {
		destination := &snapshot.Destinations[i]
		for k := range destination.Endpoints {
			if endpoint := &destination.Endpoints[k]; endpoints[endpoint.ID] {
				explanation = append(explanation, explainEndpoint(snapshot, res, destination, endpoint))
			}
		}
	}
	return explanation
}

var endpointStateNames = [...]string{"ready", "draining", "gone"}

// explainEndpoint describes the state of one endpoint.
func explainEndpoint(snapshot *control.Snapshot, res *Result, destination *control.DestinationSnapshot, endpoint *control.EndpointSnapshot) string {
	route := &destination.Routes[endpoint.Route]
	health := nameFor(healthNames[:], int(route.Health), "?")
	text := fmt.Sprintf("%s of destination %d: %s, %s in the endpoint list; latency table of %.1f calls, %.1f failed; %d in flight, %d queued",
		res.name(endpoint.ID), destination.ID, health, endpointStateNames[min(int(endpoint.State), 2)], endpoint.Own.Total, endpoint.Own.Failed,
		len(endpoint.InFlight), len(destination.Queued))
	if route.WaitUntil > snapshot.Now {
		text += fmt.Sprintf("; retry-after for %v more", route.WaitUntil-snapshot.Now)
	}
	if route.RetryAt > snapshot.Now {
		text += fmt.Sprintf("; backs off for %v more after %d refusals", route.RetryAt-snapshot.Now, route.RefusalStreak)
	}
	if route.RateLimit > 0 {
		text += fmt.Sprintf("; rate limit %.1f/s, tokens %.2f", route.RateLimit, route.Tokens)
	}
	if len(destination.ExpectedTimes) > 1 {
		text += fmt.Sprintf("; the plan expects %.0f ms", destination.ExpectedTimes[1]*1000)
	}
	return text
}
