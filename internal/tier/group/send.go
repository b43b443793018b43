package group

import (
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/transport"
)

// SendOver returns an Options.Send over a pool, by notices of a method. The chunks of a snapshot yield to all other messages, so that
// heartbeats and entries don't wait for a transfer. A message that can't be queued is lost like any other; the group sends it again.
func SendOver(pool *transport.Pool, method string) func(address string, envelope Envelope) {
	return func(address string, envelope Envelope) {
		if envelope.Message.Kind == replica.InstallSnapshot {
			_ = transport.NotifyBulk(pool, address, method, envelope)
			return
		}
		_ = transport.Notify(pool, address, method, envelope)
	}
}
