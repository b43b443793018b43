package simulator_test

import (
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/experiment"
	"mastusher/internal/relay/simulator/policy"
)

// mutant makes a policy violate a rule: it alters the events that the policy receives or the actions that it returns.
type mutant struct {
	simulator.Policy
	events  func(now time.Duration, events []control.Event) []control.Event
	actions func(now time.Duration, events []control.Event, out []control.Action) []control.Action
}

func (m *mutant) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	received := append([]control.Event(nil), events...)
	if m.events != nil {
		received = m.events(now, received)
	}
	out = m.Policy.Step(now, received, out)
	if m.actions != nil {
		out = m.actions(now, events, out)
	}
	return out
}

// alterEvents returns a mutation that alters each event before the policy receives it.
func alterEvents(alter func(e *control.Event)) func(simulator.Policy) simulator.Policy {
	return func(p simulator.Policy) simulator.Policy {
		return &mutant{Policy: p, events: func(_ time.Duration, events []control.Event) []control.Event {
			for i := range events {
				alter(&events[i])
			}
			return events
		}}
	}
}

// replaceActions returns a mutation that replaces each action of the policy.
func replaceActions(replace func(a control.Action) []control.Action) func(simulator.Policy) simulator.Policy {
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

// mutants returns, by rule, a mutation of a policy that violates the rule.
func mutants() map[simulator.Rule]func(simulator.Policy) simulator.Policy {
	return map[simulator.Rule]func(simulator.Policy) simulator.Policy{
		"waits": alterEvents(func(e *control.Event) { e.RetryAfter = 0 }),
		"drains": alterEvents(func(e *control.Event) {
			for i := range e.Endpoints {
				e.Endpoints[i].State = control.Ready
			}
		}),
		"repeats": alterEvents(func(e *control.Event) {
			if e.Kind == control.Resolved && e.Result != control.Delivered {
				e.Result = control.NoConnection
			}
			e.MayHaveRun = false
		}),
		"effects": alterEvents(func(e *control.Event) {
			if e.Kind == control.Resolved && e.Result != control.Delivered {
				e.Result = control.NoConnection
			}
			e.MayHaveRun = false
		}),
		"attempts": alterEvents(func(e *control.Event) { e.Attempt = 0 }),
		"one end": replaceActions(func(a control.Action) []control.Action {
			if a.Kind == control.Refuse {
				return []control.Action{a, a}
			}
			return []control.Action{a}
		}),
		"one copy": replaceActions(func(a control.Action) []control.Action {
			if a.Kind == control.Send {
				return []control.Action{a, a}
			}
			return []control.Action{a}
		}),
		"orders": replaceActions(func(a control.Action) []control.Action {
			if a.Kind == control.Send && a.ID%50 == 0 {
				a.Endpoint += 100000
			}
			return []control.Action{a}
		}),
	}
}

// The checker reports each rule under a policy that violates it.
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
	for rule, mutate := range all {
		base := policy.ByName["two-choices"]
		if rule == "attempts" { // this policy exceeds World.MaxAttempts
			base = func(s control.Settings, seed uint64) (simulator.Policy, error) {
				s.MaxAttempts = 9
				return policy.New(policy.Options{Timeout: time.Second, MaxAttempts: 9, Backoff: 10 * time.Millisecond}, s, seed)
			}
		}
		r, err := simulator.New(world, func(s control.Settings, seed uint64) (simulator.Policy, error) {
			p, err := base(s, seed)
			return mutate(p), err
		})
		if err != nil {
			t.Fatal(err)
		}
		if res := r.Execute(); res.ViolationCounts[string(rule)] == 0 {
			t.Errorf("rule %q: not reported under a policy that violates it: %v", rule, res.ViolationCounts)
		}
	}
	overload := *world // retries without a budget make an endpoint collapse that comes back cold
	overload.Partners = []simulator.Partner{{Name: "news", Count: 1, Endpoints: 2, Workers: 10, QueueCapacity: 60, Median: simulator.Duration(100 * time.Millisecond), WarmUp: simulator.Duration(14 * time.Second)}}
	overload.Rate, overload.Slots = 190, 400
	overload.Faults = []simulator.Fault{{Kind: simulator.FaultDown, At: simulator.Duration(2 * time.Second), Length: simulator.Duration(2 * time.Second)}}
	if err := overload.Validate(); err != nil {
		t.Fatal(err)
	}
	if res, err := experiment.RunWorld(&overload, "round-robin"); err != nil || res.ViolationCounts["cold returns"] == 0 {
		t.Errorf("no collapse of a cold endpoint is reported: %v, %v", res.ViolationCounts, err)
	}
	if len(all)+1 != len(simulator.Rules) {
		t.Errorf("%d of %d rules are tested", len(all)+1, len(simulator.Rules))
	}
}
