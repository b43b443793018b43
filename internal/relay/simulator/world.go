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
	Name        string    `toml:"name"`
	Seed        uint64    `toml:"seed"`
	Length      Span      `toml:"length"` // for which messages come
	Relays      int       `toml:"relays"`
	Rate        float64   `toml:"rate"` // messages a second, over all relays
	Round       Span      `toml:"round"`
	Slots       int       `toml:"slots"` // of each relay
	MaxOpen     int       `toml:"max_open"`
	MaxAttempts int       `toml:"max_attempts"`
	MaxHoldOff  Span      `toml:"max_hold_off"`
	DrainGrace  Span      `toml:"drain_grace"`
	ListDelay   Span      `toml:"list_delay"` // until a relay hears of a change
	Uneven      float64   `toml:"uneven"`     // a tenth of the relays get so many times what each of the others gets; 0: all alike
	Shift       Span      `toml:"shift"`      // after which it is the next tenth; 0: never
	Net         Net       `toml:"net"`
	Clients     Clients   `toml:"clients"`
	Classes     []Class   `toml:"class"`
	Partners    []Partner `toml:"partner"`
	Troubles    []Trouble `toml:"trouble"`
}

// Span is a time in an experiment's file, such as "250ms".
type Span time.Duration

// UnmarshalText reads a time.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// MarshalText writes it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Net is how long a way takes in one direction.
type Net struct {
	Same   Span    `toml:"same"`   // within a zone
	Cross  Span    `toml:"cross"`  // between zones
	Jitter float64 `toml:"jitter"` // share of that, evenly
	Zones  int     `toml:"zones"`  // relays and endpoints stand in them in turn
}

// Clients hand a message in again when a relay refuses it, each time at the next relay.
type Clients struct {
	Tries   int     `toml:"tries"` // in all
	Backoff Span    `toml:"backoff"`
	Double  bool    `toml:"double"` // each back-off is twice the one before
	Heed    float64 `toml:"heed"`   // share of clients that wait as long as they are told
}

// Class is a class of messages.
type Class struct {
	Name     string  `toml:"name"`
	Effect   string  `toml:"effect"` // safe, keyed or unsafe
	Share    float64 `toml:"share"`  // of all messages, as a weight
	Aim      Span    `toml:"aim"`
	Deadline Span    `toml:"deadline"`
	Window   Span    `toml:"window"` // in which a repeated key does nothing
	Worth    float64 `toml:"worth"`
}

// Partner is a group of partners that are alike: each is one destination of messages, with endpoints of its own.
type Partner struct {
	Name      string  `toml:"name"`
	Count     int     `toml:"count"`
	Endpoints int     `toml:"endpoints"` // of each
	Weight    float64 `toml:"weight"`    // of each, among messages
	Workers   int     `toml:"workers"`   // calls that an endpoint serves at once
	Queue     int     `toml:"queue"`     // calls that may stand before them: more are refused
	Median    Span    `toml:"median"`    // of a call's time
	Spread    float64 `toml:"spread"`    // sigma of its logarithm
	Tail      float64 `toml:"tail"`      // share of calls that take ten times as long
	Limit     float64 `toml:"limit"`     // calls a second, more are refused; 0: none
	Tells     bool    `toml:"tells"`     // a refusal says how long to wait
	Burst     Span    `toml:"burst"`     // of calls at the limit that may come at once
	Counts    bool    `toml:"counts"`    // refused calls use the limit up
	Debt      Span    `toml:"debt"`      // of calls at the limit, at most, that they use up in advance
	Cold      Span    `toml:"cold"`      // until an endpoint that has come back is warm
	Apart     bool    `toml:"apart"`     // calls have routes of their own kind
}

// Trouble is something that befalls a share of some partners' endpoints for a time.
type Trouble struct {
	Kind     string  `toml:"kind"`
	Partners string  `toml:"partners"` // name of the group; "": all
	Share    float64 `toml:"share"`    // of its endpoints, by chance; 0: all
	Zone     int     `toml:"zone"`     // only endpoints there; 0: any, 1: the first
	At       Span    `toml:"at"`
	For      Span    `toml:"for"`
	Every    Span    `toml:"every"`  // flapping: half of this time bad, half good
	Wait     Span    `toml:"wait"`   // told by what refuses
	Factor   float64 `toml:"factor"` // by which calls are slower, or more messages come
	Relays   int     `toml:"relays"` // only for the first so many relays; 0: for all
}

// The kinds of troubles.
const (
	Refuse    = "refuse"    // calls are turned away, with a wait if one is set
	Silent    = "silent"    // calls are taken and never answered
	Fail      = "fail"      // calls are answered with an error, at once
	Slow      = "slow"      // calls take longer by a factor
	Down      = "down"      // no connection
	Drain     = "drain"     // listed as draining, gone at the end, with a replacement from the beginning
	Vanish    = "vanish"    // no connection, and off the list only at the end
	Surge     = "surge"     // more messages come by a factor
	CrashHere = "crash"     // the relays end, and start again at the end
	Partition = "partition" // no connection from some relays
	Lower     = "lower"     // limits fall to a factor of what they are
	Mute      = "mute"      // the first so many relays hear nothing of the others, nor these of them
)

var kindsOfTrouble = []string{Refuse, Silent, Fail, Slow, Down, Drain, Vanish, Surge, CrashHere, Partition, Lower, Mute}

// Default is a world to start from: what a file leaves out is as here.
func Default() World {
	return World{Name: "world", Seed: 1, Length: Span(30 * time.Second), Relays: 2, Rate: 200, Round: Span(5 * time.Millisecond), Slots: 64,
		MaxOpen: 4000, MaxAttempts: 6, MaxHoldOff: Span(3 * time.Second), DrainGrace: Span(250 * time.Millisecond),
		ListDelay: Span(800 * time.Millisecond), Net: Net{Same: Span(4 * time.Millisecond), Cross: Span(12 * time.Millisecond), Jitter: 0.2, Zones: 2},
		Clients: Clients{Tries: 3, Backoff: Span(500 * time.Millisecond), Double: true, Heed: 0.8}}
}

// Parse reads a world's file. Every error names its key.
func Parse(text string) (*World, error) {
	w := Default()
	if err := Decode(text, &w); err != nil {
		return nil, err
	}
	return &w, w.Check()
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

// Check fills in what a class or partner leaves out, and returns an error that names the first key with an impossible
// value.
func (w *World) Check() error {
	need := func(key string, ok bool, want string) error {
		if ok {
			return nil
		}
		return fmt.Errorf("key %s: want %s", key, want)
	}
	if len(w.Classes) == 0 {
		w.Classes = []Class{{Name: "event", Effect: "keyed", Share: 2, Aim: Span(3 * time.Second), Deadline: Span(16 * time.Second), Window: Span(4 * time.Second), Worth: 1},
			{Name: "state", Effect: "safe", Share: 1, Aim: Span(2 * time.Second), Deadline: Span(24 * time.Second), Worth: 3}}
	}
	errs := []error{need("length", w.Length > 0, "a time above 0"), need("relays", w.Relays > 0 && w.Relays <= 1000, "1 to 1,000"),
		need("rate", w.Rate > 0 && w.Rate <= 1e7, "above 0, up to 10,000,000"), need("round", w.Round > 0, "a time above 0"),
		need("slots", w.Slots > 0, "1 or more"), need("uneven", w.Uneven >= 0 && w.Uneven <= 1e6, "0 to 1,000,000"),
		need("shift", w.Shift >= 0, "no time below 0"), need("max_attempts", w.MaxAttempts > 0, "1 or more"), need("net.zones", w.Net.Zones > 0, "1 or more"),
		need("net.jitter", w.Net.Jitter >= 0 && w.Net.Jitter < 1, "0 up to below 1"), need("net.same", w.Net.Same >= 0, "no time below 0"),
		need("net.cross", w.Net.Cross >= 0, "no time below 0"), need("clients.tries", w.Clients.Tries > 0, "1 or more"),
		need("clients.heed", w.Clients.Heed >= 0 && w.Clients.Heed <= 1, "0 to 1"), need("list_delay", w.ListDelay >= 0, "no time below 0"),
		need("partner", len(w.Partners) > 0, "one group of partners at least")}
	for i := range w.Classes {
		c, at := &w.Classes[i], fmt.Sprintf("class[%d].", i)
		c.Share, c.Worth = cmp.Or(c.Share, 1), cmp.Or(c.Worth, 1)
		errs = append(errs, need(at+"effect", slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect), "safe, keyed or unsafe"),
			need(at+"aim", c.Aim > 0, "a time above 0"), need(at+"deadline", c.Deadline >= c.Aim, "a time no shorter than the aim"),
			need(at+"share", c.Share > 0, "a weight above 0"), need(at+"window", c.Effect != "keyed" || c.Window > 0, "a time above 0 for a keyed class"))
	}
	total := 0
	for i := range w.Partners {
		p, at := &w.Partners[i], fmt.Sprintf("partner[%d].", i)
		p.Count, p.Endpoints, p.Weight, p.Workers = max(p.Count, 1), max(p.Endpoints, 1), cmp.Or(p.Weight, 1), max(p.Workers, 1)
		if p.Median == 0 {
			p.Median = Span(80 * time.Millisecond)
		}
		if p.Burst == 0 {
			p.Burst = Span(time.Second)
		}
		total += p.Count * p.Endpoints
		errs = append(errs, need(at+"name", p.Name != "", "a name"), need(at+"median", p.Median > 0, "a time above 0"),
			need(at+"spread", p.Spread >= 0 && p.Spread < 4, "0 up to below 4"), need(at+"tail", p.Tail >= 0 && p.Tail <= 1, "0 to 1"),
			need(at+"queue", p.Queue >= 0, "0 or more"), need(at+"limit", p.Limit >= 0, "0 or more"),
			need(at+"burst", p.Burst > 0, "a time above 0"), need(at+"debt", p.Debt >= 0, "no time below 0"))
	}
	errs = append(errs, need("partner", total <= 1_000_000, "a million endpoints in all at most"))
	for i := range w.Troubles {
		t, at := &w.Troubles[i], fmt.Sprintf("trouble[%d].", i)
		t.Share = cmp.Or(t.Share, 1)
		known := t.Partners == "" || slices.ContainsFunc(w.Partners, func(p Partner) bool { return p.Name == t.Partners })
		errs = append(errs, need(at+"kind", slices.Contains(kindsOfTrouble, t.Kind), "one of "+strings.Join(kindsOfTrouble, ", ")),
			need(at+"partners", known, "the name of a group of partners"), need(at+"for", t.For > 0, "a time above 0"), need(at+"at", t.At >= 0, "no time below 0"),
			need(at+"share", t.Share > 0 && t.Share <= 1, "above 0 up to 1"), need(at+"every", t.Every >= 0, "no time below 0"),
			need(at+"factor", t.Kind != Slow && t.Kind != Surge && t.Kind != Lower || t.Factor > 0 && !math.IsInf(t.Factor, 0), "above 0"))
	}
	return errors.Join(errs...)
}

// Settings are what a module is told of the world.
func (w *World) Settings(relay int) control.Settings {
	s := control.Settings{Peers: w.Relays, Index: relay, Zone: relay % w.Net.Zones, Slots: w.Slots, MaxOpen: w.MaxOpen, MaxAttempts: w.MaxAttempts, Cancel: true,
		MaxRetryAfter: time.Duration(w.MaxHoldOff), DrainGrace: time.Duration(w.DrainGrace), SlowStartShare: startShare, SlowStart: 14 * time.Second,
		OverloadWindow: fallAfter, OverloadMultiple: fallMultiple, ConnIdle: 15 * time.Second}
	for _, p := range w.Partners {
		s.Kinds = append(s.Kinds, control.Kind{SeparateRoutes: p.Apart, PerCall: 1})
	}
	for _, c := range w.Classes {
		k := control.Class{Name: c.Name, LatencyTarget: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), Value: c.Worth, LateValue: 0.5, Memory: max(time.Duration(c.Window)-windowMargin, 0)}
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

// Troubles are the kinds of troubles.
func Troubles() []string { return slices.Clone(kindsOfTrouble) }
