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

// Options configures a Node. A zero duration or count means the default; none is bounded here.
type Options struct {
	// Self describes this process. Its Incarnation must be the time of day in milliseconds at the start, so that a
	// restarted process supersedes the records of the one before; its State is ignored.
	Self Member

	// Seeds are the addresses (host:port) that are asked for the members until one answers. Later they are pinged while
	// no live member is known there, so that partitions that have forgotten each other meet again. More seeds make a
	// join succeed while some are down, and cost one datagram each per PushPullInterval while they are.
	Seeds []string

	// ProbeInterval is the time from one probe to the next; default one second. A larger value saves datagrams and
	// wake-ups, and delays the detection of a failure and the spread of updates in proportion.
	ProbeInterval time.Duration

	// ProbeTimeout is the time until helpers are asked to probe a member that has not answered; default 300 ms. It must
	// exceed the round trip between any two members, and three of it must fit into ProbeInterval. A larger value bears
	// slower networks, and delays each suspicion by three times the increase.
	ProbeTimeout time.Duration

	// SuspicionTimeout is the time that a suspected member has to refute once enough members confirm the suspicion;
	// default two seconds. It holds for up to sixteen members and grows with the logarithm of their number; without
	// confirmations it is suspicionMaxTimeoutMult times as long. A larger value avoids false deaths, and delays true ones.
	SuspicionTimeout time.Duration

	// PushPullInterval is the time after which tables that keep differing are reconciled, between probes of seeds at
	// which no member is known, and for which a node counts as recently started; default ten seconds. A larger value
	// saves connections, and delays the repair of lost updates and the meeting of healed partitions.
	PushPullInterval time.Duration

	// TombstoneTimeout is how long a member that is dead or has left is remembered; default two minutes. It must be well
	// above the time in which an update reaches all members, as a forgotten member can be revived by a stale update. A
	// larger value lets longer partitions heal without seeds, and costs memory and bytes in each push-pull.
	TombstoneTimeout time.Duration

	// IndirectProbes is how many helpers probe a member that has not answered (SWIM's k); default 3. A larger value
	// bears more loss and more one-way partitions, and costs up to four datagrams per helper and unanswered ping.
	IndirectProbes int

	// Seed is that of all random choices. Nodes differ also by Self.Name, so all may be given the same one.
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
func orDefault[T int | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}
