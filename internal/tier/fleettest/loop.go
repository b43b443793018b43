package fleettest

import (
	"math/rand/v2"
	"time"

	"mastusher/internal/virtualtime"
)

// dayStart is the true time of day at the start of a run, in Unix ms.
const dayStart = 1_767_225_600_000

// loop is the event loop in virtual time, with the run's random number generator.
type loop struct {
	virtualtime.Loop
	random *rand.Rand
}

func newLoop(seed uint64) *loop {
	return &loop{random: rand.New(rand.NewPCG(seed, 0x666c656574))}
}

// between returns a random duration of at least low and less than high.
func (l *loop) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(l.random.Int64N(int64(high-low)))
}

// withProbability returns true with the given probability.
func (l *loop) withProbability(probability float64) bool {
	return probability > 0 && l.random.Float64() < probability
}
