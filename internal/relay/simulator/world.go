package simulator

import (
	"slices"
	"time"

	"mastusher/control"
)

// World describes an environment and its faults. The tags name the keys of its TOML file; Default says what a file leaves out, and
// Validate what is accepted.
type World struct {
	Name          string    `toml:"name"`
	Seed          uint64    `toml:"seed"`
	Length        Duration  `toml:"length"` // during which clients submit messages; what is open then runs on until its deadline
	Relays        int       `toml:"relays"`
	Rate          float64   `toml:"rate"`         // messages a second, over all relays
	TurnInterval  Duration  `toml:"round"`        // grid on which relays take their turns; a larger one batches more events and adds latency
	Slots         int       `toml:"slots"`        // calls that a relay may have in flight
	MaxOpen       int       `toml:"max_open"`     // messages that a relay may hold
	MaxAttempts   int       `toml:"max_attempts"` // calls for one message at one relay
	MaxRetryAfter Duration  `toml:"max_hold_off"` // a longer Retry-After of an endpoint is cut to this
	DrainGrace    Duration  `toml:"drain_grace"`  // during which calls to an endpoint that was listed as draining are no violation
	ListDelay     Duration  `toml:"list_delay"`   // mean time until a relay is notified of a change of the endpoint list
	Skew          float64   `toml:"uneven"`       // factor of traffic that each of a tenth of the relays gets over the others; 0 or 1: none
	SkewRotation  Duration  `toml:"shift"`        // after which the next tenth gets it; 0: never
	Net           Network   `toml:"net"`
	Clients       Clients   `toml:"clients"`
	Classes       []Class   `toml:"class"`
	Partners      []Partner `toml:"partner"`
	Faults        []Fault   `toml:"trouble"`
}

// Network configures one-way delays between relays and endpoints.
type Network struct {
	Same   Duration `toml:"same"`   // within a zone
	Cross  Duration `toml:"cross"`  // between zones
	Jitter float64  `toml:"jitter"` // uniformly drawn share of a delay that is added to it; 0 up to below 1
	Zones  int      `toml:"zones"`  // relays and endpoints are spread over them in turn
}

// Clients resubmit a message that a relay refuses, each time to the next relay.
type Clients struct {
	MaxAttempts          int      `toml:"tries"`   // submissions of one message in all
	Backoff              Duration `toml:"backoff"` // before the first resubmission, with jitter of half of it either way
	Exponential          bool     `toml:"double"`  // each backoff is twice the one before
	RetryAfterCompliance float64  `toml:"heed"`    // share of resubmissions that wait as long as Retry-After says; 0 to 1
}

// Class is a class of messages. Value is earned in full by a delivery within LatencyTarget and falls evenly to half at Deadline.
type Class struct {
	Name          string   `toml:"name"`
	Effect        string   `toml:"effect"` // safe, keyed or unsafe
	Weight        float64  `toml:"share"`  // of its messages among all; default 1
	LatencyTarget Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	DedupWindow   Duration `toml:"window"` // in which partners drop a duplicate of a key; for keyed classes
	Value         float64  `toml:"worth"`
}

// Partner is a group of partners that are alike: each is one destination of messages, with endpoints of its own.
type Partner struct {
	Name             string   `toml:"name"`
	Count            int      `toml:"count"`
	Endpoints        int      `toml:"endpoints"` // of each
	Weight           float64  `toml:"weight"`    // of each, among messages
	Workers          int      `toml:"workers"`   // calls that an endpoint serves at once
	QueueCapacity    int      `toml:"queue"`     // calls that may wait for a worker; more are throttled
	Median           Duration `toml:"median"`    // service time of a call; default 80 ms
	Spread           float64  `toml:"spread"`    // sigma of the service time's logarithm; 0 up to below 4
	TailShare        float64  `toml:"tail"`      // share of calls that take ten times as long
	RateLimit        float64  `toml:"limit"`     // calls a second of each endpoint, more are throttled; 0: unlimited
	SendsRetryAfter  bool     `toml:"tells"`     // a throttled call gets Retry-After
	Burst            Duration `toml:"burst"`     // depth of the token bucket, as time at RateLimit; default 1 s
	ChargesThrottled bool     `toml:"counts"`    // throttled calls take a token, too
	MaxDebt          Duration `toml:"debt"`      // how far throttled calls may overdraw the bucket, as time at RateLimit
	WarmUp           Duration `toml:"cold"`      // slow start of an endpoint that has come back, until it has its full capacity; 0: none
	SeparateRoutes   bool     `toml:"apart"`     // each endpoint is a route with a limit of its own
}

// Fault is a fault injected into a share of some partners' endpoints, or into relays, for a time.
type Fault struct {
	Kind       string   `toml:"kind"`
	Partners   string   `toml:"partners"` // name of the group; "": all
	Share      float64  `toml:"share"`    // of its endpoints, by chance; 0: all
	Zone       int      `toml:"zone"`     // only endpoints there; 0: any, 1: the first
	At         Duration `toml:"at"`
	Length     Duration `toml:"for"`
	FlapPeriod Duration `toml:"every"`  // flapping: on for half of this period, off for the other; 0: on throughout
	RetryAfter Duration `toml:"wait"`   // sent by FaultThrottle
	Factor     float64  `toml:"factor"` // of FaultSlow, FaultTrafficSurge and FaultLowerLimit
	Relays     int      `toml:"relays"` // only for the first so many relays; 0: for all
}

// The kinds of faults, as a world's file names them.
const (
	FaultThrottle      = "refuse"    // calls are throttled, with Retry-After if one is set
	FaultHang          = "silent"    // calls are accepted and never answered
	FaultError         = "fail"      // calls are answered with an error, at once
	FaultSlow          = "slow"      // calls take longer by a factor
	FaultDown          = "down"      // no connection
	FaultDrain         = "drain"     // listed as draining, removed at the end, with a replacement from the beginning
	FaultVanish        = "vanish"    // no connection, and removed from the list only at the end
	FaultTrafficSurge  = "surge"     // more messages come by a factor
	FaultRelayCrash    = "crash"     // the relays crash, and are restarted at the end
	FaultPartition     = "partition" // no connection from some relays
	FaultLowerLimit    = "lower"     // rate limits are multiplied by Factor
	FaultIsolateRelays = "mute"      // the first so many relays are partitioned from the others
)

var faultKinds = []string{FaultThrottle, FaultHang, FaultError, FaultSlow, FaultDown, FaultDrain, FaultVanish, FaultTrafficSurge, FaultRelayCrash, FaultPartition, FaultLowerLimit, FaultIsolateRelays}

// Default returns the world whose values hold for what a file leaves out.
func Default() World {
	return World{Name: "world", Seed: 1, Length: Duration(30 * time.Second), Relays: 2, Rate: 200, TurnInterval: Duration(5 * time.Millisecond), Slots: 64,
		MaxOpen: 4000, MaxAttempts: 6, MaxRetryAfter: Duration(3 * time.Second), DrainGrace: Duration(250 * time.Millisecond),
		ListDelay: Duration(800 * time.Millisecond), Net: Network{Same: Duration(4 * time.Millisecond), Cross: Duration(12 * time.Millisecond), Jitter: 0.2, Zones: 2},
		Clients: Clients{MaxAttempts: 3, Backoff: Duration(500 * time.Millisecond), Exponential: true, RetryAfterCompliance: 0.8}}
}

// Settings returns the settings that the policy of a relay starts with.
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

// FaultKinds returns the kinds of faults.
func FaultKinds() []string { return slices.Clone(faultKinds) }
