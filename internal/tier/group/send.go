package group

import (
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/transport"
)

// SendOver returns an Options.Send that sends messages over a pool as notifications of a method. Snapshot chunks have lower priority
// than all other messages, so that heartbeats and entries don't wait for a transfer. A message that can't be queued is lost; package
// replica retries.
func SendOver(pool *transport.Pool, method string) func(address string, envelope Envelope) {
	return func(address string, envelope Envelope) {
		if envelope.Message.Kind == replica.InstallSnapshot {
			_ = transport.NotifyBulk(pool, address, method, envelope)
			return
		}
		_ = transport.Notify(pool, address, method, envelope)
	}
}
