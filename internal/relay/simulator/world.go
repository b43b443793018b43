package simulator

import (
	"slices"
	"time"

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
