package simulation

import (
	"time"

	"mastusher/internal/relay/fleet/node"
)

// SetPartition sets whether all messages from one relay to another are dropped.
func (w *World) SetPartition(from, to *Relay, on bool) {
	if on {
		w.injectedFault("cut " + from.Name + ">" + to.Name)
	}
	w.partitioned[[2]int{from.Index, to.Index}] = on
}

// Heal ends all partitions.
func (w *World) Heal() { clear(w.partitioned) }

// send sends a message through the simulated network with its faults.
func (w *World) send(sender, receiver *Relay, message *node.Message) {
	if receiver == nil {
		w.reportViolation(sender, "a message to nobody")
		return
	}
	w.Datagrams++
	if w.measure != nil {
		n := w.measure(message)
		w.Bytes += int64(n)
		w.onMeasured(sender, receiver, n)
	}
	if w.partitioned[[2]int{sender.Index, receiver.Index}] || w.rng.Float64() < w.Loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.Duplication {
		copies = 2
	}
	for range copies {
		d := w.Delay + time.Duration(w.rng.Int64N(2*int64(w.Delay)+1))
		if w.rng.Float64() < w.Duplication { // an extra delay of up to two leases, so that other messages overtake it
			d += time.Duration(w.rng.Int64N(int64(2 * w.Lease)))
		}
		if receiver == w.delayLeasesTo && message.StateUpdate != nil {
			return
		}
		if receiver == w.delayLeasesTo && message.LeaseGrant != nil {
			d += w.Lease * 3 / 4
		}
		arrive := func() {
			if receiver.Node != nil {
				w.notify(receiver, node.Event{From: sender.Name, Message: message})
			}
		}
		if w.inTransit != nil {
			w.inTransit[receiver.Index] = append(w.inTransit[receiver.Index], arrive)
			continue
		}
		if sender == w.recordFrom {
			w.recorded = append(w.recorded, arrive)
		}
		w.After(d, arrive)
	}
}
