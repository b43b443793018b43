package upstream

import (
	"time"

	"mastusher/internal/tier/network"
)

// Options are the settings of a Pool. A zero field takes its default.
type Options struct {
	ConnectTimeout    time.Duration // for a connection to be made
	UserTimeout       time.Duration // for sent bytes to be acknowledged
	KeepAliveIdle     time.Duration // silence before the first probe
	KeepAliveInterval time.Duration // between probes
	KeepAliveCount    int           // unanswered probes after which a connection is dead
	IdleTimeout       time.Duration // how long an idle connection is kept when the endpoint tells no time
	IdleTimeoutMargin time.Duration // how long before the endpoint's own time an idle connection is closed
	MaxHeaderBytes    int64         // in the head of an answer
	Now               func() time.Time
	Network           network.Network // nil: the system's
}

// The defaults.
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

// reapInterval is the time between two looks for idle connections that are due to be closed.
const reapInterval = 250 * time.Millisecond

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

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
