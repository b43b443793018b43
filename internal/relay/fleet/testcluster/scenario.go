package testcluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is what is done to a fleet.
type Scenario struct {
	Name   string        `toml:"name"`
	About  string        `toml:"about,omitempty"`
	Relays int           `toml:"relays"`
	Voters int           `toml:"voters"`
	Seed   uint64        `toml:"seed"`
	Lease  time.Duration `toml:"lease"`
	Drift  float64       `toml:"drift"`
	Alone  string        `toml:"alone"`
	Rate   float64       `toml:"rate"`             // messages/s at each relay
	Clocks []float64     `toml:"clocks,omitempty"` // how fast each relay's runs; with builds for the rig, as for disks
	Disks  []string      `toml:"disks,omitempty"`  // by how much longer each relay's syncs take
	Links  Faults        `toml:"links,omitempty"`  // of all links, until they heal
	Rates  []float64     `toml:"rates,omitempty"`  // messages/s at each relay, instead of rate
	Share  float64       `toml:"share,omitempty"`  // of each limit, that is relays' own: they share the rest; 0: they share nothing
	Limit  float64       `toml:"limit,omitempty"`  // calls/s that each partner takes; refused calls use it up too; 0: any number
	Steps  []Step        `toml:"steps"`

	bare bool // relays' files have no peers
}

// Step is one thing that is done.
type Step struct {
	After  time.Duration `toml:"after,omitempty"` // the step before it was done
	Do     string        `toml:"do"`
	Relay  string        `toml:"relay,omitempty"`  // a name, "leader", or "" for any that runs
	Others []string      `toml:"others,omitempty"` // of a cut; none: all others
	For    time.Duration `toml:"for,omitempty"`    // of a stop or rest
	Phase  string        `toml:"phase,omitempty"`  // to wait for
	Doc    string        `toml:"doc,omitempty"`    // of a change; "": one that only has calls stamped
	Links  Faults        `toml:"links,omitempty"`
	Value  float64       `toml:"value,omitempty"` // a limit, a relay's rate, a part of 1 or a number of calls
}

const mostRelays = 300 // processes; more than 50 only in idle fleets, on a machine with some cores

var does = []string{"propose", "twice", "kill", "term", "start", "start-old", "start-none", "copy", "fill", "free", "stop", "cut", "cut-in", "cut-out", "split", "heal",
	"links", "phase", "settle", "force", "limit", "rate", "part", "served", "down", "up", "verdict", "rest"}

// Load reads a scenario from a file; errors name the key.
func Load(file string) (Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(file, &s)
	if err != nil {
		return s, fmt.Errorf("scenario %s: %w", file, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return s, fmt.Errorf("scenario %s: key %s is not known", file, odd[0])
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	}
	return s, s.check()
}

// List returns the scenarios in a folder.
func List(dir string) (all []Scenario, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func (s *Scenario) check() error {
	fail := func(key, why string) error { return fmt.Errorf("scenario %s: key %s: %s", s.Name, key, why) }
	if s.Lease == 0 {
		s.Lease = time.Second
	}
	if s.Drift == 0 {
		s.Drift = 0.05
	}
	if s.Alone == "" {
		s.Alone = "refuse"
	}
	if s.Rate == 0 {
		s.Rate = 40
	}
	switch {
	case s.Relays < 1 || s.Relays > mostRelays:
		return fail("relays", fmt.Sprintf("want 1 to %d", mostRelays))
	case s.Voters < 1 || s.Voters > 7 || s.Voters%2 == 0 || s.Voters > s.Relays:
		return fail("voters", "want 1, 3, 5 or 7, and no more than relays")
	case s.Lease < 100*time.Millisecond || s.Lease > time.Minute:
		return fail("lease", "want 100ms to 1m")
	case s.Alone != "serve" && s.Alone != "refuse":
		return fail("alone", "want serve or refuse")
	case !(s.Rate >= 0 && s.Rate <= 1000):
		return fail("rate", "want 0 to 1000")
	case !(s.Share >= 0 && s.Share <= 1):
		return fail("share", "want 0 to 1")
	case !(s.Limit >= 0 && s.Limit <= 1e6):
		return fail("limit", "want 0 to 1e6")
	}
	named := func(name string) bool {
		n, err := strconv.Atoi(strings.TrimPrefix(name, "r"))
		return err == nil && strings.HasPrefix(name, "r") && n >= 0 && n < s.Relays
	}
	for i, st := range s.Steps {
		at := fmt.Sprintf("steps.%d.", i)
		if !slices.Contains(does, st.Do) {
			return fail(at+"do", fmt.Sprintf("%q is none of %s", st.Do, strings.Join(does, ", ")))
		}
		if st.Relay != "" && st.Relay != "leader" && !named(st.Relay) {
			return fail(at+"relay", "no relay of that name")
		}
		if slices.ContainsFunc(st.Others, func(o string) bool { return !named(o) }) {
			return fail(at+"others", "no relay of that name")
		}
		if st.Do == "phase" && !slices.Contains([]string{"proposed", "checked", "decided"}, st.Phase) {
			return fail(at+"phase", "want proposed, checked or decided")
		}
	}
	return nil
}

// Random draws a scenario of up to most relays: changes, and faults that gather around their steps.
func Random(seed uint64, most int) Scenario {
	d := rand.New(rand.NewPCG(seed, 4))
	s := Scenario{Name: fmt.Sprintf("random-%d", seed), Seed: seed, Relays: 5 + d.IntN(max(most-4, 1)), Voters: 3, Lease: time.Second, Rate: 30}
	if s.Relays >= 7 && d.IntN(2) == 0 {
		s.Voters = 5
	}
	if s.Relays > 12 {
		s.Rate = 8
	}
	if d.IntN(2) == 0 {
		s.Links = Faults{Loss: d.Float64() * 0.33, Twice: d.Float64() * 0.1, Garbled: d.Float64() * 0.05, Delay: time.Duration(d.IntN(5)) * time.Millisecond}
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
		s.Steps = append(s.Steps, Step{Do: []string{"propose", "propose", "twice"}[d.IntN(3)]})
		for range 1 + d.IntN(3) {
			st := Step{After: near(), Relay: some()}
			switch d.IntN(8) {
			case 0, 1:
				st.Do = "kill"
			case 2:
				st.Do = "term"
			case 3, 4:
				st.Do, st.For = "stop", time.Duration(d.Int64N(int64(3*s.Lease)))
			case 5:
				st.Do = []string{"cut", "cut-in", "cut-out"}[d.IntN(3)]
			case 6:
				st.Do, st.Relay = "split", ""
			case 7:
				st.Do, st.Relay = "heal", ""
			}
			s.Steps = append(s.Steps, st)
		}
		s.Steps = append(s.Steps, Step{After: near(), Do: "start"})
	}
	if seed%2 == 0 {
		s.shares(d)
	}
	if err := s.check(); err != nil {
		panic(err) // what is drawn is always sound
	}
	return s
}

// shares has a drawn scenario's relays share their partners' limits, with traffic that is uneven and shifts, and outages.
func (s *Scenario) shares(d *rand.Rand) {
	s.Share, s.Limit = 0.1+0.4*d.Float64(), float64(20+d.IntN(60))
	if d.IntN(3) == 0 {
		s.Alone = "serve"
	}
	for range s.Relays {
		rate := s.Rate / 8
		if d.IntN(4) == 0 {
			rate = 2 * s.Rate
		}
		s.Rates = append(s.Rates, rate)
	}
	var all []Step
	for _, st := range s.Steps {
		all = append(all, st)
		relay := fmt.Sprintf("r%d", d.IntN(s.Relays))
		switch d.IntN(6) {
		case 0, 1:
			all = append(all, Step{Do: "rate", Relay: relay, Value: []float64{1, s.Rate / 8, 2 * s.Rate}[d.IntN(3)]})
		case 2:
			all = append(all, Step{Do: "rest", For: time.Duration(d.Int64N(int64(2 * s.Lease)))})
		case 3:
			all = append(all, Step{Do: []string{"down", "up"}[d.IntN(2)], Value: float64(d.IntN(3))})
		}
	}
	s.Steps = append(all, Step{Do: "limit", Value: s.Limit * (0.3 + d.Float64())}, Step{Do: "rest", For: 3 * s.Lease}, Step{Do: "up"}, Step{Do: "up", Value: 1}, Step{Do: "up", Value: 2})
}

// Write writes a scenario as Load reads it.
func (s *Scenario) Write(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := toml.NewEncoder(f).Encode(s); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
