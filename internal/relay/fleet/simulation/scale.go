package simulation

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/node"
)

// Figures are the durations of changes and the cost of an idle fleet of one size.
type Figures struct {
	Formation   time.Duration // from the bootstrap until all relays act
	Median, Max time.Duration // duration of changes with all relays running, until all act under them
	TenthDown   time.Duration // duration of a change right after a tenth of the relays crashed
	Bytes       float64       // sent and received per second by an idle relay that is not the leader
	LeaderBytes float64       // the same of the leader
	Steps       float64       // per second, of an idle relay
	StepCost    float64       // real time per step in µs
}

// frameBytes is the overhead of a message on the wire: UDP and IP headers, frame header and names.
const frameBytes = 28 + 12 + 40

// Durations of the measurement.
const (
	formationTimeout = 60 * time.Second
	changeTimeout    = 30 * time.Second
	measuredChanges  = 9
	minIdleSpan      = 5 * time.Second
	maxIdleSpan      = time.Minute // up to idleSpanRelays relays; it shrinks with more relays
	idleSpanRelays   = 30
)

// Scale measures a fleet of so many relays. All figures except StepCost are deterministic.
func Scale(relays int) (figures Figures) {
	world := New(Options{Relays: relays, Voters: min(5, relays-1+relays%2), Seed: 1, Lease: 2 * time.Second, MaxClockDrift: 0.01, Delay: 300 * time.Microsecond})
	world.Await(formationTimeout, func() bool { return world.AllActOn(0) && world.formed() })
	figures.Formation = world.Now()
	world.Run(4 * time.Second)
	figures.measureChanges(world)
	figures.measureIdle(world)
	figures.measureTenthDown(world)
	return figures
}

// measureChanges measures how long changes take while all relays run.
func (f *Figures) measureChanges(world *World) {
	var took []time.Duration
	for version := range uint64(measuredChanges) {
		start := world.Now()
		world.Propose(world.Relays[len(world.Relays)-1], version, `{"format":1,"stamp":true}`)
		for !world.AllActOn(version+1) && world.Now()-start < changeTimeout {
			world.Run(time.Millisecond)
		}
		took = append(took, world.Now()-start)
		world.Run(time.Second)
	}
	slices.Sort(took)
	f.Median, f.Max = took[len(took)/2], took[len(took)-1]
}

// measureIdle measures the cost of the fleet without changes.
func (f *Figures) measureIdle(world *World) {
	relays := len(world.Relays)
	span := max(minIdleSpan, maxIdleSpan/time.Duration(max(relays/idleSpanRelays, 1)))
	allBytes, leaderBytes := int64(0), int64(0)
	world.measure = func(message *node.Message) int {
		encoded, _ := cbor.Marshal(message)
		return len(encoded) + frameBytes
	}
	world.onMeasured = func(from, to *Relay, bytes int) {
		allBytes += 2 * int64(bytes)
		for _, r := range [2]*Relay{from, to} {
			if r.Node != nil && r.Node.IsLeader() {
				leaderBytes += int64(bytes)
			}
		}
	}
	stepsBefore, startedAt := world.Steps, time.Now()
	world.Run(span)
	cost, steps := time.Since(startedAt), world.Steps-stepsBefore
	world.measure, world.onMeasured = nil, nil
	f.Bytes = float64(allBytes-leaderBytes) / span.Seconds() / float64(max(relays-1, 1))
	f.LeaderBytes = float64(leaderBytes) / span.Seconds()
	f.Steps = float64(steps) / span.Seconds() / float64(relays)
	f.StepCost = float64(cost.Microseconds()) / float64(max(steps, 1))
}

// measureTenthDown measures how long a change takes after a tenth of the relays crashed.
func (f *Figures) measureTenthDown(world *World) {
	relays := len(world.Relays)
	for _, r := range world.Relays[relays-(relays+9)/10:] {
		if !r.Node.IsLeader() {
			world.Crash(r)
		}
	}
	start := world.Now()
	world.Propose(world.Relays[0], measuredChanges, `{"format":1}`)
	world.Await(formationTimeout, func() bool { return world.AllActOn(measuredChanges + 1) })
	f.TenthDown = world.Now() - start
}
