package upstream

import (
	"time"

	"mastusher/internal/tier/network"
)

// Options are the settings of a Pool. A zero field takes its default; no value is bounded here.
//
// Larger timeouts, and more or rarer keep-alive probes, bear slower networks and detect a dead endpoint later: its requests fail that
// much closer to their deadlines, and its connections count against the endpoint's maximum for as long. A larger IdleTimeout or a
// smaller IdleTimeoutMargin reuses more connections, and sends more requests on connections that the endpoint is about to close. A
// larger MaxHeaderBytes takes longer heads, and as much memory for one that never ends.
type Options struct {
	ConnectTimeout    time.Duration    // for a connection to be made; default 400 ms
	UserTimeout       time.Duration    // for sent bytes to be acknowledged (TCP_USER_TIMEOUT, RFC 5482); default 2.5 s
	KeepAliveIdle     time.Duration    // without bytes, until the first keep-alive probe; default 1 s
	KeepAliveInterval time.Duration    // between probes; default 1 s
	KeepAliveCount    int              // unanswered probes after which a connection is dead; default 2
	IdleTimeout       time.Duration    // of an idle connection whose endpoint sends no Keep-Alive timeout; default 300 ms
	IdleTimeoutMargin time.Duration    // by which an idle connection is closed before the endpoint's timeout; default 300 ms
	MaxHeaderBytes    int64            // in the head of a response; default 64 KiB
	Now               func() time.Time // nil: the system's clock
	Network           network.Network  // nil: the system's
}

// The defaults of Options.
const (
	DefaultConnectTimeout    = 400 * time.Millisecond
	DefaultUserTimeout       = 2500 * time.Millisecond
	DefaultKeepAliveIdle     = time.Second
	DefaultKeepAliveInterval = time.Second
	DefaultKeepAliveCount    = 2
	DefaultIdleTimeout       = 300 * time.Millisecond
	DefaultIdleTimeoutMargin = 300 * time.Millisecond
	DefaultMaxHeaderBytes    = 64 << 10
)

// reapInterval is the time between two checks for idle connections that have expired.
const reapInterval = 250 * time.Millisecond

// withDefaults replaces zero values by their defaults.
func (o Options) withDefaults() Options {
	setDuration(&o.ConnectTimeout, DefaultConnectTimeout)
	setDuration(&o.UserTimeout, DefaultUserTimeout)
	setDuration(&o.KeepAliveIdle, DefaultKeepAliveIdle)
	setDuration(&o.KeepAliveInterval, DefaultKeepAliveInterval)
	setDuration(&o.IdleTimeout, DefaultIdleTimeout)
	setDuration(&o.IdleTimeoutMargin, DefaultIdleTimeoutMargin)
	if o.KeepAliveCount == 0 {
		o.KeepAliveCount = DefaultKeepAliveCount
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	o.Network = network.OrSystem(o.Network)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// setDuration sets a zero duration to a value.
func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
