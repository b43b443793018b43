package membership

import "time"

// The defaults of Options.
const (
	DefaultProbeInterval    = time.Second
	DefaultProbeTimeout     = 300 * time.Millisecond
	DefaultSuspicionTimeout = 2 * time.Second
	DefaultPushPullInterval = 10 * time.Second
	DefaultTombstoneTimeout = 2 * time.Minute
	DefaultIndirectProbes   = 3
)

// Options configures a Node. A zero duration or count selects the default; the values are not validated.
type Options struct {
	// Self describes this process. Incarnation must be the Unix time of the start in milliseconds, so that a restarted
	// process supersedes the record of the previous one; State is ignored.
	Self Member

	// Seeds are the addresses (host:port) that a joining node asks for the members until one answers. Later, seeds at
	// whose addresses no live member is known are pinged, so that partitions that have forgotten each other merge. More
	// seeds let a join succeed while some are down; each seed that is down costs one datagram per PushPullInterval.
	Seeds []string

	// ProbeInterval is the time between probes; default one second. A larger value saves datagrams and wake-ups, and
	// proportionally delays failure detection and the dissemination of updates.
	ProbeInterval time.Duration

	// ProbeTimeout is the time after which helpers are asked to probe a member that has not answered; default 300 ms. It
	// must exceed the round-trip time between any two members, and three times ProbeTimeout must fit into ProbeInterval.
	// A larger value tolerates slower networks, and delays each suspicion by three times the increase.
	ProbeTimeout time.Duration

	// SuspicionTimeout is the time in which a suspected member can refute a suspicion that enough members confirm;
	// default two seconds. The value applies to up to sixteen members and grows with the logarithm of their number. A
	// suspicion without confirmations lasts suspicionMaxTimeoutMult times as long. A larger value avoids declaring live
	// members dead, and delays the detection of dead ones.
	SuspicionTimeout time.Duration

	// PushPullInterval is the time after which tables that keep differing are reconciled, the interval between probes of
	// seeds at which no member is known, and the time for which a node counts as recently started; default ten seconds. A
	// larger value saves connections, and delays the repair of lost updates and the merging of healed partitions.
	PushPullInterval time.Duration

	// TombstoneTimeout is how long a member that is dead or has left is remembered; default two minutes. It must be much
	// longer than an update takes to reach all members, as a stale update can revive a forgotten member. A larger value
	// lets longer partitions heal without seeds, and costs memory and bytes in each push-pull.
	TombstoneTimeout time.Duration

	// IndirectProbes is the number of helpers that probe a member that has not answered (SWIM's k); default 3. A larger
	// value tolerates more loss and more one-way partitions, and costs up to four datagrams per helper and unanswered ping.
	IndirectProbes int

	// Seed seeds all random choices, together with Self.Name; nodes may therefore share one value.
	Seed uint64
}

// withDefaults replaces zero values by their defaults.
func withDefaults(options Options) Options {
	orDefault(&options.ProbeInterval, DefaultProbeInterval)
	orDefault(&options.ProbeTimeout, DefaultProbeTimeout)
	orDefault(&options.SuspicionTimeout, DefaultSuspicionTimeout)
	orDefault(&options.PushPullInterval, DefaultPushPullInterval)
	orDefault(&options.TombstoneTimeout, DefaultTombstoneTimeout)
	orDefault(&options.IndirectProbes, DefaultIndirectProbes)
	return options
}

// orDefault sets a zero value to its default.
func orDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}
