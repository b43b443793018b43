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

// Options sets a node up. Zero durations and counts stand for the defaults.
type Options struct {
	Self             Member // its Incarnation is the time of day in ms; State is ignored
	Seeds            []string
	ProbeInterval    time.Duration // from one probe to the next
	ProbeTimeout     time.Duration // until helpers are asked
	SuspicionTimeout time.Duration // for up to sixteen members; it grows with their number's logarithm
	PushPullInterval time.Duration // between reconciliations while lists keep differing, and between tries of unknown seeds
	TombstoneTimeout time.Duration // how long those that are gone are remembered
	IndirectProbes   int           // helpers that are asked
	Seed             uint64        // of all random choices
}

func withDefaults(options Options) Options {
	orDefault(&options.ProbeInterval, DefaultProbeInterval)
	orDefault(&options.ProbeTimeout, DefaultProbeTimeout)
	orDefault(&options.SuspicionTimeout, DefaultSuspicionTimeout)
	orDefault(&options.PushPullInterval, DefaultPushPullInterval)
	orDefault(&options.TombstoneTimeout, DefaultTombstoneTimeout)
	orDefault(&options.IndirectProbes, DefaultIndirectProbes)
	return options
}

func orDefault[T int | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}
