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
func Scale(relays int) (figures Figures) {
	o := Options{Relays: relays, Voters: min(5, relays-1+relays%2), Seed: 1, Lease: 2 * time.Second, MaxClockDrift: 0.01, Delay: 300 * time.Microsecond}
	world := New(o)
	world.Await(60*time.Second, func() bool { return world.AllActOn(0) && world.formed() })
	figures.Formation = world.Now()
	world.Run(4 * time.Second)
	var took []time.Duration
	for v := range uint64(9) {
		at := world.Now()
		world.Propose(world.Relays[relays-1], v, `{"format":1,"stamp":true}`)
		for !world.AllActOn(v+1) && world.Now()-at < 30*time.Second {
			world.Run(time.Millisecond)
		}
		took = append(took, world.Now()-at)
		world.Run(time.Second)
	}
	slices.Sort(took)
	figures.Median, figures.Max = took[len(took)/2], took[len(took)-1]
	// An idle minute, or less where many are there.
	span := max(5*time.Second, time.Minute/time.Duration(max(relays/30, 1)))
	all, lead := int64(0), int64(0)
	world.measure = func(m *node.Message) int {
		b, _ := cbor.Marshal(m)
		return len(b) + frameBytes
	}
	world.onMeasured = func(from, to *Relay, bytes int) {
		all += 2 * int64(bytes)
		for _, r := range [2]*Relay{from, to} {
			if r.Node != nil && r.Node.IsLeader() {
				lead += int64(bytes)
			}
		}
	}
	steps, startedAt := world.Steps, time.Now()
	world.Run(span)
	cost := time.Since(startedAt)
	world.measure, world.onMeasured = nil, nil
	figures.Bytes = float64(all-lead) / span.Seconds() / float64(max(relays-1, 1))
	figures.LeaderBytes = float64(lead) / span.Seconds()
	figures.Steps = float64(world.Steps-steps) / span.Seconds() / float64(relays)
	figures.StepCost = float64(cost.Microseconds()) / float64(max(world.Steps-steps, 1))
	for _, r := range world.Relays[relays-(relays+9)/10:] {
		if !r.Node.IsLeader() {
			world.Crash(r)
		}
	}
	at := world.Now()
	world.Propose(world.Relays[0], 9, `{"format":1}`)
	world.Await(60*time.Second, func() bool { return world.AllActOn(10) })
	figures.TenthDown = world.Now() - at
	return figures
}
