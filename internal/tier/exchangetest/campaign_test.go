package exchangetest

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

// Flags of the campaign.
var (
	scenarios = flag.Int("worlds", 150, "number of scenarios of the campaign")
	firstSeed = flag.Uint64("seed", 1, "seed of the campaign's first scenario")
)

// describe returns a scenario as text, for a report.
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

// checkScenario runs a scenario and reports the violations that the oracle finds. It returns the environment.
func checkScenario(t *testing.T, s scenario) *environment {
	t.Helper()
	env := runScenario(t, s)
	if violations := checkEnvironment(env); len(violations) > 0 {
		t.Errorf("%s\n%s", strings.Join(violations, "\n"), describe(s))
	}
	return env
}

// TestCampaign runs scenarios drawn from seeds. A violation is reported with its seed; -args -seed N -worlds 1 runs that scenario alone.
func TestCampaign(t *testing.T) {
	var tally campaignStats
	for i := range *scenarios {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			tally.count(checkScenario(t, drawScenario(seeded(seed))))
		})
		if t.Failed() {
			break
		}
	}
	t.Logf("%d scenarios: %+v", *scenarios, tally)
	if *scenarios >= 100 {
		tally.check(t)
	}
}

// campaignStats counts the outcomes of a campaign's requests, so that a campaign without some kind of outcome fails.
type campaignStats struct{ Requests, Attempts, Complete, Truncated, Unanswered, ProxyOwn, Disconnected, Resumed int }

func (c *campaignStats) count(env *environment) {
	c.Attempts += len(env.attempts)
	for _, client := range env.clients {
		for _, result := range client.results {
			c.Requests++
			switch sealed := result.header.Get("X-Server-Seal") != ""; {
			case !result.disconnectedAt.IsZero():
				c.Disconnected++
			case result.complete() && sealed:
				c.Complete++
			case result.complete():
				c.ProxyOwn++
			case result.answered:
				c.Truncated++
			default:
				c.Unanswered++
			}
		}
	}
	for _, r := range env.attempts {
		if r.lastEvent > 0 {
			c.Resumed++
		}
	}
}

func (c *campaignStats) check(t *testing.T) {
	for name, count := range map[string]int{"complete": c.Complete, "truncated": c.Truncated, "proxy's own": c.ProxyOwn, "client disconnected": c.Disconnected, "resumed": c.Resumed} {
		if count == 0 {
			t.Errorf("no request of the campaign had the outcome %q", name)
		}
	}
}

// FuzzExchange runs scenarios drawn from the fuzzer's bytes.
func FuzzExchange(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte("0123456789abcdef0123456789abcdef"))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkScenario(t, drawScenario(&drawSource{data: data}))
	})
}
