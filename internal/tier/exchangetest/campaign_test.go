package exchangetest

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

// Flags of the campaign.
var (
	worlds    = flag.Int("worlds", 150, "worlds of the campaign")
	firstSeed = flag.Uint64("seed", 1, "seed of the campaign's first world")
)

// describe is a scenario in words, for a report.
func describe(s scenario) string {
	var text strings.Builder
	for i, requests := range s.clients {
		for _, request := range requests {
			fmt.Fprintf(&text, "client %d: %+v\n", i, *request)
		}
	}
	fmt.Fprintf(&text, "events: %+v, at most %d connections", s.events, s.maxConnections)
	return text.String()
}

// checkScenario runs a scenario and reports the faults found. It returns the environment.
func checkScenario(t *testing.T, s scenario) *environment {
	t.Helper()
	env := runScenario(t, s)
	if faults := judgeEnvironment(env); len(faults) > 0 {
		t.Errorf("%s\n%s", strings.Join(faults, "\n"), describe(s))
	}
	return env
}

// TestCampaign runs environments drawn from seeds. A breach is reported with its seed; -args -seed N -worlds 1 runs it alone.
func TestCampaign(t *testing.T) {
	var tally campaignStats
	for i := range *worlds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			tally.count(checkScenario(t, drawScenario(seeded(seed))))
		})
		if t.Failed() {
			break
		}
	}
	t.Logf("%d worlds: %+v", *worlds, tally)
	if *worlds >= 100 {
		tally.check(t)
	}
}

// campaignStats counts what happened, so that a campaign in which a kind of outcome never comes is noticed.
type campaignStats struct{ Requests, Sends, Complete, CutOff, Silent, Own, Left, TakenUp int }

func (c *campaignStats) count(env *environment) {
	c.Sends += len(env.runs)
	for _, client := range env.clients {
		for _, result := range client.results {
			c.Requests++
			switch sealed := result.header.Get("X-Server-Seal") != ""; {
			case !result.disconnectedAt.IsZero():
				c.Left++
			case result.complete() && sealed:
				c.Complete++
			case result.complete():
				c.Own++
			case result.answered:
				c.CutOff++
			default:
				c.Silent++
			}
		}
	}
	for _, r := range env.runs {
		if r.lastEvent > 0 {
			c.TakenUp++
		}
	}
}

func (c *campaignStats) check(t *testing.T) {
	for name, count := range map[string]int{"complete": c.Complete, "cut off": c.CutOff, "of the proxy's own": c.Own, "left": c.Left, "taken up": c.TakenUp} {
		if count == 0 {
			t.Errorf("no request was %s", name)
		}
	}
}

// FuzzExchange runs environments drawn from the fuzzer's bytes.
func FuzzExchange(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte("0123456789abcdef0123456789abcdef"))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkScenario(t, drawScenario(&drawSource{data: data}))
	})
}
