package testcluster

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Random draws a scenario with up to maxRelays relays from a seed. It has changes, and faults mostly around their phases.
func Random(seed uint64, maxRelays int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 4))
	scenario := Scenario{Name: fmt.Sprintf("random-%d", seed), Seed: seed, Relays: 5 + rng.IntN(max(maxRelays-4, 1)), Voters: 3,
		Lease: time.Second, Rate: 30}
	if scenario.Relays >= 7 && rng.IntN(2) == 0 {
		scenario.Voters = 5
	}
	if scenario.Relays > 12 {
		scenario.Rate = 8
	}
	if rng.IntN(2) == 0 {
		scenario.Links = LinkFaults{Loss: rng.Float64() * 0.33, Twice: rng.Float64() * 0.1, Garbled: rng.Float64() * 0.05,
			Delay: time.Duration(rng.IntN(5)) * time.Millisecond}
	}
	drawRelay := func() string {
		if rng.IntN(3) == 0 {
			return "leader"
		}
		return fmt.Sprintf("r%d", rng.IntN(scenario.Relays))
	}
	drawDelay := func() time.Duration {
		if rng.IntN(3) == 0 {
			return time.Duration(rng.Int64N(int64(scenario.Lease)))
		}
		return time.Duration(rng.IntN(30)) * time.Millisecond
	}
	for range 2 + rng.IntN(2) {
		scenario.Steps = append(scenario.Steps, Step{Action: []string{actionPropose, actionPropose, actionProposeTwice}[rng.IntN(3)]})
		for range 1 + rng.IntN(3) {
			step := Step{After: drawDelay(), Relay: drawRelay()}
			switch rng.IntN(8) {
			case 0, 1:
				step.Action = actionKill
			case 2:
				step.Action = actionTerminate
			case 3, 4:
				step.Action, step.Length = actionStop, time.Duration(rng.Int64N(int64(3*scenario.Lease)))
			case 5:
				step.Action = []string{actionPartition, actionPartitionIncoming, actionPartitionOutgoing}[rng.IntN(3)]
			case 6:
				step.Action, step.Relay = actionSplit, ""
			case 7:
				step.Action, step.Relay = actionHeal, ""
			}
			scenario.Steps = append(scenario.Steps, step)
		}
		scenario.Steps = append(scenario.Steps, Step{After: drawDelay(), Action: actionStart})
	}
	if seed%2 == 0 {
		scenario.addSharing(rng)
	}
	if err := scenario.validate(); err != nil {
		panic(err) // a drawn scenario is always valid
	}
	return scenario
}

// addSharing adds shared limits of partners, uneven and changing load, and outages of partners.
func (s *Scenario) addSharing(rng *rand.Rand) {
	s.GuaranteedShare, s.PartnerLimit = 0.1+0.4*rng.Float64(), float64(20+rng.IntN(60))
	if rng.IntN(3) == 0 {
		s.WhenPartitioned = "serve"
	}
	for range s.Relays {
		rate := s.Rate / 8
		if rng.IntN(4) == 0 {
			rate = 2 * s.Rate
		}
		s.RelayRates = append(s.RelayRates, rate)
	}
	var steps []Step
	for _, step := range s.Steps {
		steps = append(steps, step)
		relay := fmt.Sprintf("r%d", rng.IntN(s.Relays))
		switch rng.IntN(6) {
		case 0, 1:
			steps = append(steps, Step{Action: actionSetRate, Relay: relay, Value: []float64{1, s.Rate / 8, 2 * s.Rate}[rng.IntN(3)]})
		case 2:
			steps = append(steps, Step{Action: actionRest, Length: time.Duration(rng.Int64N(int64(2 * s.Lease)))})
		case 3:
			steps = append(steps, Step{Action: []string{actionPartnerDown, actionPartnerUp}[rng.IntN(2)], Value: float64(rng.IntN(3))})
		}
	}
	s.Steps = append(steps, Step{Action: actionSetLimit, Value: s.PartnerLimit * (0.3 + rng.Float64())}, Step{Action: actionRest,
		Length: 3 * s.Lease}, Step{Action: actionPartnerUp}, Step{Action: actionPartnerUp, Value: 1}, Step{Action: actionPartnerUp, Value: 2})
}
