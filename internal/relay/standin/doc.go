// Package standin stands in for the platform around a relay, on loopback: endpoints of partners, discovery, which also takes the
// notices of outcomes, and clients. Tests and measurements of the relay as a process use it, and read from it what arrived
// (Endpoints.Arrivals, Discovery.Notices).
//
// Endpoints and Discovery run goroutines from their constructors on; Close closes their sockets, which ends the goroutines. All methods
// may be called from several goroutines.
package standin

import (
	"time"

	"mastusher/internal/relay/config"
)

// Limits returns the limits of the stand-ins' sockets: wide enough that only the relay's own limits take effect.
func Limits() *config.Limits {
	return &config.Limits{HeadSize: 64 << 10, BodySize: 1 << 20, ClientConnections: 4096, FrontIdle: time.Hour, FrontRead: time.Minute,
		FrontWrite: time.Minute, AnswerRead: time.Minute, MaxInterim: 4, ConnectTimeout: time.Minute, IdleSocket: time.Hour}
}
