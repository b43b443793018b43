package testcluster

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Random draws a scenario of up to maxRelays relays from a seed: changes, and faults that gather around their phases.
func Random(seed uint64, maxRelays int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 4))
	scenario := Scenario{Name: fmt.Sprintf("random-%d", seed), Seed: seed, Relays: 5 + rng.IntN(max(maxRelays-4, 1)), Voters: 3, Lease: time.Second, Rate: 30}
	if scenario.Relays >= 7 && rng.IntN(2) == 0 {
		scenario.Voters = 5
	}
	if scenario.Relays > 12 {
		scenario.Rate = 8
	}
	if rng.IntN(2) == 0 {
		scenario.Links = LinkFaults{Loss: rng.Float64() * 0.33, Twice: rng.Float64() * 0.1, Garbled: rng.Float64() * 0.05, Delay: time.Duration(rng.IntN(5)) * time.Millisecond}
	}
	some := func() string {
		if rng.IntN(3) == 0 {
			return "leader"
		}
		return fmt.Sprintf("r%d", rng.IntN(scenario.Relays))
	}
	near := func() time.Duration {
		if rng.IntN(3) == 0 {
			return time.Duration(rng.Int64N(int64(scenario.Lease)))
		}
		return time.Duration(rng.IntN(30)) * time.Millisecond
	}
	for range 2 + rng.IntN(2) {
		scenario.Steps = append(scenario.Steps, Step{Action: []string{"propose", "propose", "twice"}[rng.IntN(3)]})
		for range 1 + rng.IntN(3) {
			st := Step{After: near(), Relay: some()}
			switch rng.IntN(8) {
			case 0, 1:
				st.Action = "kill"
			case 2:
				st.Action = "term"
			case 3, 4:
				st.Action, st.Length = "stop", time.Duration(rng.Int64N(int64(3*scenario.Lease)))
			case 5:
				st.Action = []string{"cut", "cut-in", "cut-out"}[rng.IntN(3)]
			case 6:
				st.Action, st.Relay = "split", ""
			case 7:
				st.Action, st.Relay = "heal", ""
			}
			scenario.Steps = append(scenario.Steps, st)
		}
		scenario.Steps = append(scenario.Steps, Step{After: near(), Action: "start"})
	}
	if seed%2 == 0 {
		scenario.addSharing(rng)
	}
	if err := scenario.validate(); err != nil {
		panic(err) // what is drawn is always sound
	}
	return scenario
}

// addSharing adds limits of partners that the relays share, with uneven traffic that shifts, and outages of partners.
func (s *Scenario) addSharing(d *rand.Rand) {
	s.GuaranteedShare, s.PartnerLimit = 0.1+0.4*d.Float64(), float64(20+d.IntN(60))
	if d.IntN(3) == 0 {
		s.WhenPartitioned = "serve"
	}
	for range s.Relays {
		rate := s.Rate / 8
		if d.IntN(4) == 0 {
			rate = 2 * s.Rate
		}
		s.RelayRates = append(s.RelayRates, rate)
	}
	var all []Step
	for _, st := range s.Steps {
		all = append(all, st)
		relay := fmt.Sprintf("r%d", d.IntN(s.Relays))
		switch d.IntN(6) {
		case 0, 1:
			all = append(all, Step{Action: "rate", Relay: relay, Value: []float64{1, s.Rate / 8, 2 * s.Rate}[d.IntN(3)]})
		case 2:
			all = append(all, Step{Action: "rest", Length: time.Duration(d.Int64N(int64(2 * s.Lease)))})
		case 3:
			all = append(all, Step{Action: []string{"down", "up"}[d.IntN(2)], Value: float64(d.IntN(3))})
		}
	}
	s.Steps = append(all, Step{Action: "limit", Value: s.PartnerLimit * (0.3 + d.Float64())}, Step{Action: "rest", Length: 3 * s.Lease}, Step{Action: "up"}, Step{Action: "up", Value: 1}, Step{Action: "up", Value: 2})
}
