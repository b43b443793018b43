package simulator

import (
	"slices"
	"time"

	"mastusher/control"
)

// World describes an environment and its faults. The tags name the keys of its TOML file; Default sets the keys that a file leaves out,
// and Validate checks the values.
type World struct {
	Name          string    `toml:"name"`
	Seed          uint64    `toml:"seed"`
	Length        Duration  `toml:"length"` // clients submit messages for this long; pending messages then continue until their deadlines
	Relays        int       `toml:"relays"`
	Rate          float64   `toml:"rate"`         // messages per second, over all relays
	TurnInterval  Duration  `toml:"round"`        // relays take turns at multiples of this; a longer one batches more events and adds latency
	Slots         int       `toml:"slots"`        // calls that a relay may have in flight
	MaxOpen       int       `toml:"max_open"`     // pending messages that a relay may hold
	MaxAttempts   int       `toml:"max_attempts"` // maximum number of calls for one message by one relay
	MaxRetryAfter Duration  `toml:"max_hold_off"` // a longer Retry-After of an endpoint is reduced to this
	DrainGrace    Duration  `toml:"drain_grace"`  // calls to an endpoint are allowed for this long after the relay is notified that it drains
	ListDelay     Duration  `toml:"list_delay"`   // mean delay until a relay is notified of a change of the endpoint list
	Skew          float64   `toml:"uneven"`       // a tenth of the relays each get this many times the traffic of the others; 0 or 1: even
	SkewRotation  Duration  `toml:"shift"`        // after this time the next tenth gets the extra traffic; 0: never
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
	Jitter float64  `toml:"jitter"` // up to this share of a delay is added to it, drawn uniformly; 0 up to below 1
	Zones  int      `toml:"zones"`  // relays and endpoints are assigned to the zones in turn
}

// Clients configures how clients resubmit a message that a relay refused; each resubmission goes to the next relay.
type Clients struct {
	MaxAttempts          int      `toml:"tries"`   // submissions of one message, including the first
	Backoff              Duration `toml:"backoff"` // base of the wait before a resubmission, which has a jitter of ±50 %
	Exponential          bool     `toml:"double"`  // the base is doubled once for each submission so far, up to ten times
	RetryAfterCompliance float64  `toml:"heed"`    // share of resubmissions that wait for the relay's Retry-After instead; 0 to 1
}

// Class is a class of messages. A delivery within LatencyTarget earns the full Value. A later one earns less, falling linearly to half at
// Deadline.
type Class struct {
	Name          string   `toml:"name"`
	Effect        string   `toml:"effect"` // idempotency of its messages: safe, keyed or unsafe
	Weight        float64  `toml:"share"`  // its share of all messages, relative to other classes; default 1
	LatencyTarget Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	DedupWindow   Duration `toml:"window"` // time in which partners drop a duplicate of a key; for keyed classes
	Value         float64  `toml:"worth"`
}

// Partner is a group of identical partners: each is one destination of messages, with its own endpoints.
type Partner struct {
	Name             string   `toml:"name"`
	Count            int      `toml:"count"`
	Endpoints        int      `toml:"endpoints"` // of each partner
	Weight           float64  `toml:"weight"`    // share of messages to each partner, relative to the other partners; default 1
	Workers          int      `toml:"workers"`   // calls that an endpoint serves concurrently
	QueueCapacity    int      `toml:"queue"`     // calls that may wait for a worker at an endpoint; further calls are throttled
	Median           Duration `toml:"median"`    // median service time of a call; default 80 ms
	Spread           float64  `toml:"spread"`    // standard deviation of the service time's logarithm; 0 up to below 4
	TailShare        float64  `toml:"tail"`      // share of calls that take ten times as long
	RateLimit        float64  `toml:"limit"`     // calls per second of each endpoint; further calls are throttled; 0: unlimited
	SendsRetryAfter  bool     `toml:"tells"`     // the response to a throttled call has a Retry-After
	Burst            Duration `toml:"burst"`     // capacity of the token bucket, as time at RateLimit; default 1 s
	ChargesThrottled bool     `toml:"counts"`    // throttled calls take a token, too
	MaxDebt          Duration `toml:"debt"`      // how far throttled calls may overdraw the bucket, as time at RateLimit
	WarmUp           Duration `toml:"cold"`      // slow start of an endpoint that has come back, until it has its full capacity; 0: none
	SeparateRoutes   bool     `toml:"apart"`     // each endpoint is a route with its own rate limit
}

// Fault is a fault that is injected for some time into a share of some partners' endpoints, or into relays.
type Fault struct {
	Kind       string   `toml:"kind"`
	Partners   string   `toml:"partners"` // name of a group of partners; "": all groups
	Share      float64  `toml:"share"`    // probability that each of their endpoints is affected; 0: all are
	Zone       int      `toml:"zone"`     // only endpoints of this zone, counted from 1; 0: any zone
	At         Duration `toml:"at"`       // since the start
	Length     Duration `toml:"for"`
	FlapPeriod Duration `toml:"every"`  // flapping: on for half of this period, off for the other half; 0: on throughout
	RetryAfter Duration `toml:"wait"`   // sent by FaultThrottle
	Factor     float64  `toml:"factor"` // of FaultSlow, FaultTrafficSurge and FaultLowerLimit
	Relays     int      `toml:"relays"` // only the first N relays are affected; 0: all, or the first one by FaultPartition
}

// The kinds of faults, as world files name them.
const (
	FaultThrottle      = "refuse"    // calls are throttled, with Fault.RetryAfter if it is set
	FaultHang          = "silent"    // calls are accepted and never answered
	FaultError         = "fail"      // calls are answered with an error immediately
	FaultSlow          = "slow"      // calls take Factor times as long
	FaultDown          = "down"      // endpoints refuse connections
	FaultDrain         = "drain"     // endpoints are listed as draining and replaced, and removed at the end
	FaultVanish        = "vanish"    // endpoints refuse connections, and are removed from the list and replaced only at the end
	FaultTrafficSurge  = "surge"     // Factor times as many messages arrive
	FaultRelayCrash    = "crash"     // relays crash, and are restarted at the end
	FaultPartition     = "partition" // endpoints refuse connections from some relays
	FaultLowerLimit    = "lower"     // rate limits are multiplied by Factor
	FaultIsolateRelays = "mute"      // the first Fault.Relays relays are partitioned from the other relays
)

var faultKinds = []string{FaultThrottle, FaultHang, FaultError, FaultSlow, FaultDown, FaultDrain, FaultVanish, FaultTrafficSurge, FaultRelayCrash, FaultPartition, FaultLowerLimit, FaultIsolateRelays}

// Default returns a world with the default value of each key that a file may leave out.
func Default() World {
	return World{Name: "world", Seed: 1, Length: Duration(30 * time.Second), Relays: 2, Rate: 200, TurnInterval: Duration(5 * time.Millisecond), Slots: 64,
		MaxOpen: 4000, MaxAttempts: 6, MaxRetryAfter: Duration(3 * time.Second), DrainGrace: Duration(250 * time.Millisecond),
		ListDelay: Duration(800 * time.Millisecond), Net: Network{Same: Duration(4 * time.Millisecond), Cross: Duration(12 * time.Millisecond), Jitter: 0.2, Zones: 2},
		Clients: Clients{MaxAttempts: 3, Backoff: Duration(500 * time.Millisecond), Exponential: true, RetryAfterCompliance: 0.8}}
}

// Settings returns the initial settings of the policy of a relay, by its index.
func (w *World) Settings(relay int) control.Settings {
	s := control.Settings{Peers: w.Relays, Index: relay, Zone: relay % w.Net.Zones, Slots: w.Slots, MaxOpen: w.MaxOpen, MaxAttempts: w.MaxAttempts, Cancel: true,
		MaxRetryAfter: time.Duration(w.MaxRetryAfter), DrainGrace: time.Duration(w.DrainGrace), SlowStartShare: slowStartShare, SlowStart: 14 * time.Second,
		OverloadWindow: overloadWindow, OverloadMultiple: overloadMultiple, ConnIdle: 15 * time.Second}
	for _, p := range w.Partners {
		s.Kinds = append(s.Kinds, control.Kind{SeparateRoutes: p.SeparateRoutes, MaxMessagesPerCall: 1})
	}
	for _, c := range w.Classes {
		class := control.Class{Name: c.Name, LatencyTarget: time.Duration(c.LatencyTarget), Deadline: time.Duration(c.Deadline), Value: c.Value, LateValue: 0.5, DedupWindow: max(time.Duration(c.DedupWindow)-dedupMargin, 0)}
		switch c.Effect {
		case "safe":
			class.Effect = control.Safe
		case "keyed":
			class.Effect, class.DedupScope = control.Keyed, control.DedupPerDestination
		default:
			class.Effect = control.Unsafe
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

// FaultKinds returns the kinds of faults.
func FaultKinds() []string { return slices.Clone(faultKinds) }
