package simulation

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/node"
)

// Figures are what changes take and an idle fleet costs at one size.
type Figures struct {
	Formation   time.Duration // from the founding until all act
	Median, Max time.Duration // of changes with all there, until all act on them
	TenthDown   time.Duration // with a tenth killed right before
	Bytes       float64       // a second that an idle relay which does not lead sends and gets
	LeaderBytes float64       // and one that leads
	Steps       float64       // a second that an idle relay takes
	StepCost    float64       // µs of the machine's time a step, all relays' together
}

// frameBytes is the overhead of a message on the wire: UDP and IP headers, names and checksum.
const frameBytes = 28 + 12 + 40

// Scale measures a fleet of n relays. All figures but StepCost are deterministic.
func Scale(n int) (f Figures) {
	o := Options{Relays: n, Voters: min(5, n-1+n%2), Seed: 1, Lease: 2 * time.Second, MaxClockDrift: 0.01, Delay: 300 * time.Microsecond}
	w := New(o)
	w.Await(60*time.Second, func() bool { return w.AllActOn(0) && w.formed() })
	f.Formation = w.Now
	w.Run(4 * time.Second)
	var took []time.Duration
	for v := range uint64(9) {
		at := w.Now
		w.Propose(w.Relays[n-1], v, `{"format":1,"stamp":true}`)
		for !w.AllActOn(v+1) && w.Now-at < 30*time.Second {
			w.Run(time.Millisecond)
		}
		took = append(took, w.Now-at)
		w.Run(time.Second)
	}
	slices.Sort(took)
	f.Median, f.Max = took[len(took)/2], took[len(took)-1]
	// An idle minute, or less where many are there.
	span := max(5*time.Second, time.Minute/time.Duration(max(n/30, 1)))
	all, lead := int64(0), int64(0)
	w.measure = func(m *node.Message) int {
		b, _ := cbor.Marshal(m)
		return len(b) + frameBytes
	}
	w.onMeasured = func(from, to *Relay, bytes int) {
		all += 2 * int64(bytes)
		for _, r := range [2]*Relay{from, to} {
			if r.Node != nil && r.Node.IsLeader() {
				lead += int64(bytes)
			}
		}
	}
	steps, begun := w.Steps, time.Now()
	w.Run(span)
	cost := time.Since(begun)
	w.measure, w.onMeasured = nil, nil
	f.Bytes = float64(all-lead) / span.Seconds() / float64(max(n-1, 1))
	f.LeaderBytes = float64(lead) / span.Seconds()
	f.Steps = float64(w.Steps-steps) / span.Seconds() / float64(n)
	f.StepCost = float64(cost.Microseconds()) / float64(max(w.Steps-steps, 1))
	for _, r := range w.Relays[n-(n+9)/10:] {
		if !r.Node.IsLeader() {
			w.Crash(r)
		}
	}
	at := w.Now
	w.Propose(w.Relays[0], 9, `{"format":1}`)
	w.Await(60*time.Second, func() bool { return w.AllActOn(10) })
	f.TenthDown = w.Now - at
	return f
}
