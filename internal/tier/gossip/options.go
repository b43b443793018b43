package gossip

import "time"

// The defaults of Options.
const (
	DefaultFanout         = 4
	DefaultDigestInterval = time.Second
	DefaultFetchTimeout   = 400 * time.Millisecond
	DefaultRetryBackoff   = 100 * time.Millisecond
)

// Options configures a Gossiper. A zero value selects the default; the values are not validated.
type Options struct {
	// Fanout is the number of random members to which a new update is announced; default 4. A larger value spreads updates
	// faster and tolerates more loss, and costs as many more datagrams per member and update.
	Fanout int

	// DigestInterval is the time between complete digests to a random member; default one second. If it is negative none
	// are sent, and the caller sends digests by other means, see Gossiper.CompleteDigest. A larger value saves datagrams,
	// and delays the repair of lost announcements.
	DigestInterval time.Duration

	// FetchTimeout is the time after which a fetch has failed and another source is asked; default 400 ms. It must exceed
	// a connect and a round trip. A larger value tolerates slower sources, and delays an update whose source hangs.
	FetchTimeout time.Duration

	// RetryBackoff, multiplied by the failures of a source, is the delay after its failed fetch; default 100 ms. A larger
	// value saves calls to a failing source, and delays an update that no other member has.
	RetryBackoff time.Duration

	// Seed seeds all random choices. It must differ between members, or they choose the same peers.
	Seed uint64
}

// withDefaults replaces zero values by their defaults.
func withDefaults(options Options) Options {
	if options.Fanout == 0 {
		options.Fanout = DefaultFanout
	}
	if options.DigestInterval == 0 {
		options.DigestInterval = DefaultDigestInterval
	}
	if options.FetchTimeout == 0 {
		options.FetchTimeout = DefaultFetchTimeout
	}
	if options.RetryBackoff == 0 {
		options.RetryBackoff = DefaultRetryBackoff
	}
	return options
}
