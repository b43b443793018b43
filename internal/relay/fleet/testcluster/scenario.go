package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario configures a fleet and has the steps to run on it. The tags are the keys in the TOML file.
type Scenario struct {
	Name            string        `toml:"name"`
	Description     string        `toml:"about,omitempty"`
	Relays          int           `toml:"relays"`
	Voters          int           `toml:"voters"`
	Seed            uint64        `toml:"seed"`
	Lease           time.Duration `toml:"lease"`            // 100ms to 1m; default 1s
	MaxClockDrift   float64       `toml:"drift"`            // fraction; default 0.05
	WhenPartitioned string        `toml:"alone"`            // "refuse" (default) or "serve"
	Rate            float64       `toml:"rate"`             // messages/s at each relay; 0 to 1000, default 40
	ClockRates      []float64     `toml:"clocks,omitempty"` // speed of each relay's clock, 1 is exact; needs a build with the tag fleetrig, as does DiskDelays
	DiskDelays      []string      `toml:"disks,omitempty"`  // delay of each sync, for each relay's disk, such as "20ms"
	Links           LinkFaults    `toml:"links,omitempty"`  // of all links, until a step heal
	RelayRates      []float64     `toml:"rates,omitempty"`  // messages/s for each relay, instead of rate
	GuaranteedShare float64       `toml:"share,omitempty"`  // guaranteed fraction of each limit, the rest is leased; 0: limits are not shared
	PartnerLimit    float64       `toml:"limit,omitempty"`  // calls/s that each partner accepts; throttled calls count as well; 0: unlimited
	Steps           []Step        `toml:"steps"`

	withoutPeers bool // no peers in the relays' configuration
}

// Step is an action on the fleet or on a relay.
type Step struct {
	After  time.Duration `toml:"after,omitempty"` // delay after the step before
	Action string        `toml:"do"`
	Relay  string        `toml:"relay,omitempty"`  // its name, "leader", or "" for the first running one
	Peers  []string      `toml:"others,omitempty"` // for a cut: the relays on the other side; none: all others
	Length time.Duration `toml:"for,omitempty"`    // for a stop or a rest
	Phase  string        `toml:"phase,omitempty"`  // to wait for: phase of a change, or state of a partner
	Doc    string        `toml:"doc,omitempty"`    // document to propose; "": stampedPolicy
	Links  LinkFaults    `toml:"links,omitempty"`
	Value  float64       `toml:"value,omitempty"` // calls/s of a limit, messages/s of a relay, a share, a number of calls, or the number of a partner
}

// maxRelays is the maximum number of relays. More than 50 need a low load and several processor cores.
const maxRelays = 300

// The actions of steps, by their names in files.
const (
	actionPropose           = "propose"    // proposes a policy
	actionProposeTwice      = "twice"      // proposes two policies at once
	actionKill              = "kill"       // SIGKILL
	actionTerminate         = "term"       // SIGTERM
	actionStart             = "start"      // starts a relay, or all, unless running
	actionStartOldDisk      = "start-old"  // restarts a relay from a copy of its fleet folder
	actionStartNoDisk       = "start-none" // restarts a relay without its fleet folder
	actionCopyDisk          = "copy"       // copies the fleet folder of a relay, for start-old
	actionFillDisk          = "fill"       // fills the disk of a relay
	actionFreeDisk          = "free"       // frees the disk of a relay
	actionStop              = "stop"       // SIGSTOP, and SIGCONT after a time
	actionPartition         = "cut"        // drops datagrams to and from a relay
	actionPartitionIncoming = "cut-in"     // drops datagrams to a relay
	actionPartitionOutgoing = "cut-out"    // drops datagrams from a relay
	actionSplit             = "split"      // partitions the relays with even numbers from those with odd numbers
	actionHeal              = "heal"       // ends the faults of all links
	actionSetLinks          = "links"      // sets the faults of all links
	actionAwaitPhase        = "phase"      // waits for a phase of a change
	actionAwaitChange       = "settle"     // waits for the outcome of the last change
	actionForce             = "force"      // bootstraps a new voter group at a voter
	actionSetLimit          = "limit"      // sets the limit of all partners
	actionSetRate           = "rate"       // sets the rate of messages at a relay
	actionAwaitShare        = "part"       // waits until a relay has a minimum share of all limits
	actionAwaitCalls        = "served"     // waits until a relay has made a number of further calls
	actionPartnerDown       = "down"       // makes a partner fail all calls
	actionPartnerUp         = "up"         // ends the outage of a partner
	actionAwaitVerdict      = "verdict"    // waits until a relay has a verdict on some partner
	actionRest              = "rest"       // waits
)

// stepActions has all actions, in their order in error messages.
var stepActions = []string{
	actionPropose, actionProposeTwice, actionKill, actionTerminate, actionStart, actionStartOldDisk, actionStartNoDisk,
	actionCopyDisk, actionFillDisk, actionFreeDisk, actionStop, actionPartition, actionPartitionIncoming, actionPartitionOutgoing,
	actionSplit, actionHeal, actionSetLinks, actionAwaitPhase, actionAwaitChange, actionForce, actionSetLimit, actionSetRate,
	actionAwaitShare, actionAwaitCalls, actionPartnerDown, actionPartnerUp, actionAwaitVerdict, actionRest,
}

// Load reads and validates a scenario from a file. It returns a ScenarioKeyError for an unknown key or invalid value.
func Load(file string) (Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(file, &s)
	if err != nil {
		return s, fmt.Errorf("scenario %s: %w", file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, &ScenarioKeyError{Scenario: file, Key: unknown[0].String()}
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	}
	return s, s.validate()
}

// List returns the scenarios in a folder, sorted by file name.
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

// validate sets defaults, and returns a ScenarioKeyError for the first invalid value.
func (s *Scenario) validate() error {
	fail := func(key, reason string) error { return &ScenarioKeyError{s.Name, key, reason} }
	if s.Lease == 0 {
		s.Lease = time.Second
	}
	if s.MaxClockDrift == 0 {
		s.MaxClockDrift = 0.05
	}
	if s.WhenPartitioned == "" {
		s.WhenPartitioned = "refuse"
	}
	if s.Rate == 0 {
		s.Rate = 40
	}
	switch {
	case s.Relays < 1 || s.Relays > maxRelays:
		return fail("relays", fmt.Sprintf("want 1 to %d", maxRelays))
	case s.Voters < 1 || s.Voters > 7 || s.Voters%2 == 0 || s.Voters > s.Relays:
		return fail("voters", "want 1, 3, 5 or 7, and no more than relays")
	case s.Lease < 100*time.Millisecond || s.Lease > time.Minute:
		return fail("lease", "want 100ms to 1m")
	case s.WhenPartitioned != "serve" && s.WhenPartitioned != "refuse":
		return fail("alone", "want serve or refuse")
	case !(s.Rate >= 0 && s.Rate <= 1000):
		return fail("rate", "want 0 to 1000")
	case !(s.GuaranteedShare >= 0 && s.GuaranteedShare <= 1):
		return fail("share", "want 0 to 1")
	case !(s.PartnerLimit >= 0 && s.PartnerLimit <= 1e6):
		return fail("limit", "want 0 to 1e6")
	}
	return s.validateSteps()
}

// validateSteps returns a ScenarioKeyError for the first invalid value in a step.
func (s *Scenario) validateSteps() error {
	for i, step := range s.Steps {
		fail := func(key, reason string) error {
			return &ScenarioKeyError{s.Name, fmt.Sprintf("steps.%d.%s", i, key), reason}
		}
		if !slices.Contains(stepActions, step.Action) {
			return fail("do", fmt.Sprintf("%q is none of %s", step.Action, strings.Join(stepActions, ", ")))
		}
		if step.Relay != "" && step.Relay != "leader" && !s.hasRelay(step.Relay) {
			return fail("relay", "no relay of that name")
		}
		if slices.ContainsFunc(step.Peers, func(peer string) bool { return !s.hasRelay(peer) }) {
			return fail("others", "no relay of that name")
		}
		if step.Action == actionAwaitPhase && !slices.Contains([]string{"proposed", "checked", "decided"}, step.Phase) {
			return fail("phase", "want proposed, checked or decided")
		}
	}
	return nil
}

// hasRelay reports whether the fleet has a relay with a name, which is r followed by its index.
func (s *Scenario) hasRelay(name string) bool {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "r"))
	return err == nil && strings.HasPrefix(name, "r") && n >= 0 && n < s.Relays
}

// Write writes a scenario to a file in the format of Load.
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
