package overloadtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Plays of TestEndpoints_FloodsBySeed. The defaults are CI's.
var (
	floodSeeds = flag.Int("floods", 6, "number of seeds that TestEndpoints_FloodsBySeed plays")
	firstFlood = flag.Uint64("first-flood", 1, "first seed of TestEndpoints_FloodsBySeed")
)

const (
	floodClients = 300
	floodTime    = 4 * time.Second
)

// TestEndpoints_FloodsBySeed draws what all endpoints send in place of responses: each connection another flood, or all the same one. It plays
// the seeds one after the other on one tier.
func TestEndpoints_FloodsBySeed(t *testing.T) {
	f := newFloodFixture(t, *firstFlood)
	for seed := *firstFlood; seed < *firstFlood+uint64(*floodSeeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f.t = t
			f.playSeed(seed)
		})
	}
}

// playSeed plays the floods of a seed.
func (f *floodFixture) playSeed(seed uint64) {
	f.t.Helper()
	const playsPerMixedOne = 4
	random := rand.New(rand.NewPCG(seed, 1))
	if random.IntN(playsPerMixedOne) == 0 {
		f.t.Log("each connection plays another flood")
		f.flood(floodClients, floodTime, func() flood { return drawFlood(random) })
		return
	}
	one := drawFlood(random)
	f.t.Logf("all endpoints: %v", one)
	f.flood(floodClients, floodTime, func() flood { return one })
}
