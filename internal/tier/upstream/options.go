package upstream

import (
	"time"

	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
)

// Options are the settings of a Pool. A zero field takes its default; values aren't validated here.
//
// With larger timeouts, and with more or less frequent keep-alive probes, requests tolerate slower networks, but a dead endpoint is
// detected later: its requests fail closer to their deadlines, and its connections count against MaxConnections for longer. A larger
// IdleTimeout or a smaller IdleTimeoutMargin lets more connections be reused, but more requests are sent on connections that the
// endpoint is about to close. A larger MaxIdle saves new connections, but endpoints may fill the receive buffers of idle ones. A larger
// MaxHeaderBytes or MaxHeaderFields accepts longer heads, but an endless head takes that much memory.
type Options struct {
	ConnectTimeout    time.Duration    // to establish a connection; default 400 ms
	UserTimeout       time.Duration    // for sent bytes to be acknowledged (TCP_USER_TIMEOUT, RFC 5482); default 2.5 s
	KeepAliveIdle     time.Duration    // without received bytes, until the first keep-alive probe; default 1 s
	KeepAliveInterval time.Duration    // between two keep-alive probes; default 1 s
	KeepAliveCount    int              // unanswered keep-alive probes after which a connection is dead; default 2
	IdleTimeout       time.Duration    // of an idle connection if the endpoint sent no Keep-Alive timeout; default 300 ms
	IdleTimeoutMargin time.Duration    // subtracted from the Keep-Alive timeout that the endpoint sent; default 300 ms
	MaxIdle           int              // most idle connections to all endpoints; default 0: unlimited
	MaxHeaderBytes    int64            // largest head of a response; default 64 KiB
	MaxHeaderFields   int              // most lines in the head of a response, and names listed in Trailer and Connection; default 512
	Now               func() time.Time // nil: time.Now
	Network           network.Network  // nil: the operating system's
	Metrics           *metrics.Metrics // of foreign responses and repeated sends; nil: metrics of the Pool's own, which nobody reads
}

// The default values of Options.
const (
	DefaultConnectTimeout    = 400 * time.Millisecond
	DefaultUserTimeout       = 2500 * time.Millisecond
	DefaultKeepAliveIdle     = time.Second
	DefaultKeepAliveInterval = time.Second
	DefaultKeepAliveCount    = 2
	DefaultIdleTimeout       = 300 * time.Millisecond
	DefaultIdleTimeoutMargin = 300 * time.Millisecond
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultMaxHeaderFields   = 512
)

// reapInterval is the time between two checks for idle connections that have expired.
const reapInterval = 250 * time.Millisecond

// withDefaults returns the options with zero fields replaced by their defaults.
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
	if o.MaxHeaderFields == 0 {
		o.MaxHeaderFields = DefaultMaxHeaderFields
	}
	o.Network = network.OrSystem(o.Network)
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// setDuration sets the field to the value if it is 0.
func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
