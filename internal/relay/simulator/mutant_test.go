package simulator_test

import (
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/experiment"
	"mastusher/internal/relay/simulator/policy"
)

// mutant breaks one rule: it alters what a policy is seen or orders.
type mutant struct {
	simulator.Policy
	events  func(now time.Duration, events []control.Event) []control.Event
	actions func(now time.Duration, events []control.Event, out []control.Action) []control.Action
}

func (m *mutant) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	seen := append([]control.Event(nil), events...)
	if m.events != nil {
		seen = m.events(now, seen)
	}
	out = m.Policy.Step(now, seen, out)
	if m.actions != nil {
		out = m.actions(now, events, out)
	}
	return out
}

// everyEvent makes mutants that alter each event before the policy gets it.
func everyEvent(alter func(e *control.Event)) func(simulator.Policy) simulator.Policy {
	return func(p simulator.Policy) simulator.Policy {
		return &mutant{Policy: p, events: func(_ time.Duration, events []control.Event) []control.Event {
			for i := range events {
				alter(&events[i])
			}
			return events
		}}
	}
}

// everyAction makes mutants that replace each action of the policy.
func everyAction(replace func(a control.Action) []control.Action) func(simulator.Policy) simulator.Policy {
	return func(p simulator.Policy) simulator.Policy {
		return &mutant{Policy: p, actions: func(_ time.Duration, _ []control.Event, out []control.Action) []control.Action {
			var all []control.Action
			for _, a := range out {
				all = append(all, replace(a)...)
			}
			return all
		}}
	}
}

// mutants returns a way to break each rule.
func mutants() map[simulator.Rule]func(simulator.Policy) simulator.Policy {
	return map[simulator.Rule]func(simulator.Policy) simulator.Policy{
		"waits": everyEvent(func(e *control.Event) { e.RetryAfter = 0 }),
		"drains": everyEvent(func(e *control.Event) {
			for i := range e.Endpoints {
				e.Endpoints[i].State = control.Ready
			}
		}),
		"repeats": everyEvent(func(e *control.Event) {
			if e.Kind == control.Resolved && e.Result != control.Delivered {
				e.Result = control.NoConnection
			}
			e.MayHaveRun = false
		}),
		"effects": everyEvent(func(e *control.Event) {
			if e.Kind == control.Resolved && e.Result != control.Delivered {
				e.Result = control.NoConnection
			}
			e.MayHaveRun = false
		}),
		"attempts": everyEvent(func(e *control.Event) { e.Attempt = 0 }),
		"one end": everyAction(func(a control.Action) []control.Action {
			if a.Kind == control.Refuse {
				return []control.Action{a, a}
			}
			return []control.Action{a}
		}),
		"one copy": everyAction(func(a control.Action) []control.Action {
			if a.Kind == control.Send {
				return []control.Action{a, a}
			}
			return []control.Action{a}
		}),
		"orders": everyAction(func(a control.Action) []control.Action {
			if a.Kind == control.Send && a.ID%50 == 0 {
				a.Endpoint += 100000
			}
			return []control.Action{a}
		}),
	}
}

// A policy that breaks a rule is caught at that rule.
func TestChecker_PolicyThatBreaksRule_IsReported(t *testing.T) {
	t.Parallel()
	world := parseWorld(t, faultyWorld)
	world.Classes = []simulator.Class{{Name: "event", Effect: "keyed", Weight: 2, LatencyTarget: simulator.Duration(time.Second), Deadline: simulator.Duration(8 * time.Second), DedupWindow: simulator.Duration(900 * time.Millisecond)},
		{Name: "order", Effect: "unsafe", Weight: 2, LatencyTarget: simulator.Duration(time.Second), Deadline: simulator.Duration(8 * time.Second)}}
	world.MaxAttempts = 3
	if err := world.Validate(); err != nil {
		t.Fatal(err)
	}
	all := mutants()
	for rule, alter := range all {
		base := policy.ByName["two-choices"]
		if rule == "attempts" { // one that makes as many as it likes
			base = func(s control.Settings, seed uint64) (simulator.Policy, error) {
				s.MaxAttempts = 9
				return policy.New(policy.Options{Timeout: time.Second, MaxAttempts: 9, Backoff: 10 * time.Millisecond}, s, seed)
			}
		}
		r, err := simulator.New(world, func(s control.Settings, seed uint64) (simulator.Policy, error) {
			p, err := base(s, seed)
			return alter(p), err
		})
		if err != nil {
			t.Fatal(err)
		}
		if res := r.Execute(); res.ViolationCounts[string(rule)] == 0 {
			t.Errorf("rule %q: a policy that breaks it is not caught: %v", rule, res.ViolationCounts)
		}
	}
	flood := *world // retries without end push over what comes back cold
	flood.Partners = []simulator.Partner{{Name: "news", Count: 1, Endpoints: 2, Workers: 10, QueueCapacity: 60, Median: simulator.Duration(100 * time.Millisecond), WarmUp: simulator.Duration(14 * time.Second)}}
	flood.Rate, flood.Slots = 190, 400
	flood.Faults = []simulator.Fault{{Kind: simulator.FaultDown, At: simulator.Duration(2 * time.Second), Length: simulator.Duration(2 * time.Second)}}
	if err := flood.Validate(); err != nil {
		t.Fatal(err)
	}
	if res, err := experiment.RunWorld(&flood, "round-robin"); err != nil || res.ViolationCounts["cold returns"] == 0 {
		t.Errorf("a cold endpoint is not pushed over: %v, %v", res.ViolationCounts, err)
	}
	if len(all)+1 != len(simulator.Rules) {
		t.Errorf("%d rules have a mutant, of %d", len(all)+1, len(simulator.Rules))
	}
}
