package fleettest

import (
	"math/rand/v2"
	"time"

	"mastusher/internal/virtualtime"
)

// dayStart is the true time of day at the beginning of a run, in ms.
const dayStart = 1_767_225_600_000

// loop is the virtual clock with its events, and the run's random numbers.
type loop struct {
	virtualtime.Loop
	random *rand.Rand
}

func newLoop(seed uint64) *loop {
	return &loop{random: rand.New(rand.NewPCG(seed, 0x666c656574))}
}

// between draws a duration.
func (l *loop) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(l.random.Int64N(int64(high-low)))
}

// withProbability is true in the given share of cases.
func (l *loop) withProbability(share float64) bool { return share > 0 && l.random.Float64() < share }
