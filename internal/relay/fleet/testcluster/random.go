package testcluster

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Random draws a scenario of up to maxRelays relays from a seed: changes, and faults that gather around their phases.
func Random(seed uint64, maxRelays int) Scenario {
	d := rand.New(rand.NewPCG(seed, 4))
	s := Scenario{Name: fmt.Sprintf("random-%d", seed), Seed: seed, Relays: 5 + d.IntN(max(maxRelays-4, 1)), Voters: 3, Lease: time.Second, Rate: 30}
	if s.Relays >= 7 && d.IntN(2) == 0 {
		s.Voters = 5
	}
	if s.Relays > 12 {
		s.Rate = 8
	}
	if d.IntN(2) == 0 {
		s.Links = LinkFaults{Loss: d.Float64() * 0.33, Twice: d.Float64() * 0.1, Garbled: d.Float64() * 0.05, Delay: time.Duration(d.IntN(5)) * time.Millisecond}
	}
	some := func() string {
		if d.IntN(3) == 0 {
			return "leader"
		}
		return fmt.Sprintf("r%d", d.IntN(s.Relays))
	}
	near := func() time.Duration {
		if d.IntN(3) == 0 {
			return time.Duration(d.Int64N(int64(s.Lease)))
		}
		return time.Duration(d.IntN(30)) * time.Millisecond
	}
	for range 2 + d.IntN(2) {
		s.Steps = append(s.Steps, Step{Action: []string{"propose", "propose", "twice"}[d.IntN(3)]})
		for range 1 + d.IntN(3) {
			st := Step{After: near(), Relay: some()}
			switch d.IntN(8) {
			case 0, 1:
				st.Action = "kill"
			case 2:
				st.Action = "term"
			case 3, 4:
				st.Action, st.Length = "stop", time.Duration(d.Int64N(int64(3*s.Lease)))
			case 5:
				st.Action = []string{"cut", "cut-in", "cut-out"}[d.IntN(3)]
			case 6:
				st.Action, st.Relay = "split", ""
			case 7:
				st.Action, st.Relay = "heal", ""
			}
			s.Steps = append(s.Steps, st)
		}
		s.Steps = append(s.Steps, Step{After: near(), Action: "start"})
	}
	if seed%2 == 0 {
		s.addSharing(d)
	}
	if err := s.validate(); err != nil {
		panic(err) // what is drawn is always sound
	}
	return s
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
