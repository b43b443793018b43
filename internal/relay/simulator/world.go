// Package simulator is an emulator, in virtual time, of what the relay balances: partners with endpoints, clients, lists and
// troubles. One seed gives one run, on any machine: a world is played by one goroutine, chance comes from its seed, and no
// map is walked where the order counts. It is a model of its own, from the relay's rules, and knows nothing of sockets.
package simulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"mastusher/control"
)

// World is what is played. Its TOML form names the keys.
type World struct {
	Name          string    `toml:"name"`
	Seed          uint64    `toml:"seed"`
	Length        Duration  `toml:"length"` // for which messages come
	Relays        int       `toml:"relays"`
	Rate          float64   `toml:"rate"` // messages a second, over all relays
	TurnInterval  Duration  `toml:"round"`
	Slots         int       `toml:"slots"` // of each relay
	MaxOpen       int       `toml:"max_open"`
	MaxAttempts   int       `toml:"max_attempts"`
	MaxRetryAfter Duration  `toml:"max_hold_off"`
	DrainGrace    Duration  `toml:"drain_grace"`
	ListDelay     Duration  `toml:"list_delay"` // until a relay hears of a change
	Skew          float64   `toml:"uneven"`     // a tenth of the relays get so many times what each of the others gets; 0: all alike
	SkewRotation  Duration  `toml:"shift"`      // after which it is the next tenth; 0: never
	Net           Net       `toml:"net"`
	Clients       Clients   `toml:"clients"`
	Classes       []Class   `toml:"class"`
	Partners      []Partner `toml:"partner"`
	Faults        []Fault   `toml:"trouble"`
}

// Duration is a time in an experiment's file, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a time.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText writes it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Net is how long a way takes in one direction.
type Net struct {
	Same   Duration `toml:"same"`   // within a zone
	Cross  Duration `toml:"cross"`  // between zones
	Jitter float64  `toml:"jitter"` // share of that, evenly
	Zones  int      `toml:"zones"`  // relays and endpoints stand in them in turn
}

// Clients hand a message in again when a relay refuses it, each time at the next relay.
type Clients struct {
	MaxAttempts          int      `toml:"tries"` // in all
	Backoff              Duration `toml:"backoff"`
	Exponential          bool     `toml:"double"` // each back-off is twice the one before
	RetryAfterCompliance float64  `toml:"heed"`   // share of clients that wait as long as they are told
}

// Class is a class of messages.
type Class struct {
	Name          string   `toml:"name"`
	Effect        string   `toml:"effect"` // safe, keyed or unsafe
	Weight        float64  `toml:"share"`  // of all messages, as a weight
	LatencyTarget Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	DedupWindow   Duration `toml:"window"` // in which a repeated key does nothing
	Value         float64  `toml:"worth"`
}

// Partner is a group of partners that are alike: each is one destination of messages, with endpoints of its own.
type Partner struct {
	Name             string   `toml:"name"`
	Count            int      `toml:"count"`
	Endpoints        int      `toml:"endpoints"` // of each
	Weight           float64  `toml:"weight"`    // of each, among messages
	Workers          int      `toml:"workers"`   // calls that an endpoint serves at once
	QueueCapacity    int      `toml:"queue"`     // calls that may stand before them: more are refused
	Median           Duration `toml:"median"`    // of a call's time
	Spread           float64  `toml:"spread"`    // sigma of its logarithm
	TailShare        float64  `toml:"tail"`      // share of calls that take ten times as long
	RateLimit        float64  `toml:"limit"`     // calls a second, more are refused; 0: none
	SendsRetryAfter  bool     `toml:"tells"`     // a refusal says how long to wait
	Burst            Duration `toml:"burst"`     // of calls at the limit that may come at once
	ChargesThrottled bool     `toml:"counts"`    // refused calls use the limit up
	MaxDebt          Duration `toml:"debt"`      // of calls at the limit, at most, that they use up in advance
	WarmUp           Duration `toml:"cold"`      // until an endpoint that has come back is warm
	SeparateRoutes   bool     `toml:"apart"`     // calls have routes of their own kind
}

// Fault is something that befalls a share of some partners' endpoints for a time.
type Fault struct {
	Kind       string   `toml:"kind"`
	Partners   string   `toml:"partners"` // name of the group; "": all
	Share      float64  `toml:"share"`    // of its endpoints, by chance; 0: all
	Zone       int      `toml:"zone"`     // only endpoints there; 0: any, 1: the first
	At         Duration `toml:"at"`
	Length     Duration `toml:"for"`
	FlapPeriod Duration `toml:"every"`  // flapping: half of this time bad, half good
	RetryAfter Duration `toml:"wait"`   // told by what refuses
	Factor     float64  `toml:"factor"` // by which calls are slower, or more messages come
	Relays     int      `toml:"relays"` // only for the first so many relays; 0: for all
}

// The kinds of troubles.
const (
	FaultThrottle      = "refuse"    // calls are turned away, with a wait if one is set
	FaultHang          = "silent"    // calls are taken and never answered
	FaultError         = "fail"      // calls are answered with an error, at once
	FaultSlow          = "slow"      // calls take longer by a factor
	FaultDown          = "down"      // no connection
	FaultDrain         = "drain"     // listed as draining, gone at the end, with a replacement from the beginning
	FaultVanish        = "vanish"    // no connection, and off the list only at the end
	FaultTrafficSurge  = "surge"     // more messages come by a factor
	FaultRelayCrash    = "crash"     // the relays end, and start again at the end
	FaultPartition     = "partition" // no connection from some relays
	FaultLowerLimit    = "lower"     // limits fall to a factor of what they are
	FaultIsolateRelays = "mute"      // the first so many relays hear nothing of the others, nor these of them
)

var faultKinds = []string{FaultThrottle, FaultHang, FaultError, FaultSlow, FaultDown, FaultDrain, FaultVanish, FaultTrafficSurge, FaultRelayCrash, FaultPartition, FaultLowerLimit, FaultIsolateRelays}

// Default is a world to start from: what a file leaves out is as here.
func Default() World {
	return World{Name: "world", Seed: 1, Length: Duration(30 * time.Second), Relays: 2, Rate: 200, TurnInterval: Duration(5 * time.Millisecond), Slots: 64,
		MaxOpen: 4000, MaxAttempts: 6, MaxRetryAfter: Duration(3 * time.Second), DrainGrace: Duration(250 * time.Millisecond),
		ListDelay: Duration(800 * time.Millisecond), Net: Net{Same: Duration(4 * time.Millisecond), Cross: Duration(12 * time.Millisecond), Jitter: 0.2, Zones: 2},
		Clients: Clients{MaxAttempts: 3, Backoff: Duration(500 * time.Millisecond), Exponential: true, RetryAfterCompliance: 0.8}}
}

// Parse reads a world's file. FlapPeriod error names its key.
func Parse(text string) (*World, error) {
	w := Default()
	if err := Decode(text, &w); err != nil {
		return nil, err
	}
	return &w, w.Validate()
}

var lastKey = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)`)

// Decode reads TOML. Errors name line and key; a key that is not known is one.
func Decode(text string, into any) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		if at := lastKey.FindStringSubmatch(err.Error()); at != nil { // most of the library's errors have no type
			return fmt.Errorf("line %s, key %s: %s", at[1], at[2], at[3])
		}
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("key %s: not known", unknown[0])
	}
	return nil
}

// Validate fills in what a class or partner leaves out, and returns an error that names the first key with an impossible
// value.
func (w *World) Validate() error {
	need := func(key string, ok bool, want string) error {
		if ok {
			return nil
		}
		return fmt.Errorf("key %s: want %s", key, want)
	}
	if len(w.Classes) == 0 {
		w.Classes = []Class{{Name: "event", Effect: "keyed", Weight: 2, LatencyTarget: Duration(3 * time.Second), Deadline: Duration(16 * time.Second), DedupWindow: Duration(4 * time.Second), Value: 1},
			{Name: "state", Effect: "safe", Weight: 1, LatencyTarget: Duration(2 * time.Second), Deadline: Duration(24 * time.Second), Value: 3}}
	}
	errs := []error{need("length", w.Length > 0, "a time above 0"), need("relays", w.Relays > 0 && w.Relays <= 1000, "1 to 1,000"),
		need("rate", w.Rate > 0 && w.Rate <= 1e7, "above 0, up to 10,000,000"), need("round", w.TurnInterval > 0, "a time above 0"),
		need("slots", w.Slots > 0, "1 or more"), need("uneven", w.Skew >= 0 && w.Skew <= 1e6, "0 to 1,000,000"),
		need("shift", w.SkewRotation >= 0, "no time below 0"), need("max_attempts", w.MaxAttempts > 0, "1 or more"), need("net.zones", w.Net.Zones > 0, "1 or more"),
		need("net.jitter", w.Net.Jitter >= 0 && w.Net.Jitter < 1, "0 up to below 1"), need("net.same", w.Net.Same >= 0, "no time below 0"),
		need("net.cross", w.Net.Cross >= 0, "no time below 0"), need("clients.tries", w.Clients.MaxAttempts > 0, "1 or more"),
		need("clients.heed", w.Clients.RetryAfterCompliance >= 0 && w.Clients.RetryAfterCompliance <= 1, "0 to 1"), need("list_delay", w.ListDelay >= 0, "no time below 0"),
		need("partner", len(w.Partners) > 0, "one group of partners at least")}
	for i := range w.Classes {
		c, at := &w.Classes[i], fmt.Sprintf("class[%d].", i)
		c.Weight, c.Value = cmp.Or(c.Weight, 1), cmp.Or(c.Value, 1)
		errs = append(errs, need(at+"effect", slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect), "safe, keyed or unsafe"),
			need(at+"aim", c.LatencyTarget > 0, "a time above 0"), need(at+"deadline", c.Deadline >= c.LatencyTarget, "a time no shorter than the aim"),
			need(at+"share", c.Weight > 0, "a weight above 0"), need(at+"window", c.Effect != "keyed" || c.DedupWindow > 0, "a time above 0 for a keyed class"))
	}
	total := 0
	for i := range w.Partners {
		p, at := &w.Partners[i], fmt.Sprintf("partner[%d].", i)
		p.Count, p.Endpoints, p.Weight, p.Workers = max(p.Count, 1), max(p.Endpoints, 1), cmp.Or(p.Weight, 1), max(p.Workers, 1)
		if p.Median == 0 {
			p.Median = Duration(80 * time.Millisecond)
		}
		if p.Burst == 0 {
			p.Burst = Duration(time.Second)
		}
		total += p.Count * p.Endpoints
		errs = append(errs, need(at+"name", p.Name != "", "a name"), need(at+"median", p.Median > 0, "a time above 0"),
			need(at+"spread", p.Spread >= 0 && p.Spread < 4, "0 up to below 4"), need(at+"tail", p.TailShare >= 0 && p.TailShare <= 1, "0 to 1"),
			need(at+"queue", p.QueueCapacity >= 0, "0 or more"), need(at+"limit", p.RateLimit >= 0, "0 or more"),
			need(at+"burst", p.Burst > 0, "a time above 0"), need(at+"debt", p.MaxDebt >= 0, "no time below 0"))
	}
	errs = append(errs, need("partner", total <= 1_000_000, "a million endpoints in all at most"))
	for i := range w.Faults {
		t, at := &w.Faults[i], fmt.Sprintf("trouble[%d].", i)
		t.Share = cmp.Or(t.Share, 1)
		known := t.Partners == "" || slices.ContainsFunc(w.Partners, func(p Partner) bool { return p.Name == t.Partners })
		errs = append(errs, need(at+"kind", slices.Contains(faultKinds, t.Kind), "one of "+strings.Join(faultKinds, ", ")),
			need(at+"partners", known, "the name of a group of partners"), need(at+"for", t.Length > 0, "a time above 0"), need(at+"at", t.At >= 0, "no time below 0"),
			need(at+"share", t.Share > 0 && t.Share <= 1, "above 0 up to 1"), need(at+"every", t.FlapPeriod >= 0, "no time below 0"),
			need(at+"factor", t.Kind != FaultSlow && t.Kind != FaultTrafficSurge && t.Kind != FaultLowerLimit || t.Factor > 0 && !math.IsInf(t.Factor, 0), "above 0"))
	}
	return errors.Join(errs...)
}

// Settings are what a module is told of the world.
func (w *World) Settings(relay int) control.Settings {
	s := control.Settings{Peers: w.Relays, Index: relay, Zone: relay % w.Net.Zones, Slots: w.Slots, MaxOpen: w.MaxOpen, MaxAttempts: w.MaxAttempts, Cancel: true,
		MaxRetryAfter: time.Duration(w.MaxRetryAfter), DrainGrace: time.Duration(w.DrainGrace), SlowStartShare: slowStartShare, SlowStart: 14 * time.Second,
		OverloadWindow: overloadWindow, OverloadMultiple: overloadMultiple, ConnIdle: 15 * time.Second}
	for _, p := range w.Partners {
		s.Kinds = append(s.Kinds, control.Kind{SeparateRoutes: p.SeparateRoutes, PerCall: 1})
	}
	for _, c := range w.Classes {
		k := control.Class{Name: c.Name, LatencyTarget: time.Duration(c.LatencyTarget), Deadline: time.Duration(c.Deadline), Value: c.Value, LateValue: 0.5, Memory: max(time.Duration(c.DedupWindow)-dedupMargin, 0)}
		switch c.Effect {
		case "safe":
			k.Effect = control.Safe
		case "keyed":
			k.Effect, k.Group = control.Keyed, control.GroupAll
		default:
			k.Effect = control.Unsafe
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// FaultKinds are the kinds of troubles.
func FaultKinds() []string { return slices.Clone(faultKinds) }
