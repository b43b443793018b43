package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// engine is a model server: it works in steps, in each of which every running request gets one token and some of the
// waiting prompts are read. It keeps the prefixes of sessions, the longest unused of which give way.
type engine struct {
	sim               *simulation
	speed             float64
	capacity          int
	cacheTokens       int
	running           []*generation
	waiting           []*generation
	cachedPrefixes    map[uint64]int // tokens by session
	leastRecentlyUsed []uint64       // sessions, the longest unused first
	busy              bool
	prefilledTokens   *int
}

const (
	engineStep              = 3790 * time.Microsecond
	engineStepPerRequest    = 60 * time.Microsecond // more for each running request
	engineChunkTokens       = 512                   // prompt tokens read in a step
	enginePromptTokensPerMs = 56.6                  // prompt tokens a ms
)

// generation is one stream at an engine.
type generation struct {
	session                uint64
	prompt                 int
	promptLeft, outputLeft int
	firstEvent             func(Load)
	done                   func(Outcome)
	started                bool
}

func (g *engine) add(n *generation) {
	remaining := min(g.cachedPrefixes[n.session], n.prompt)
	*g.prefilledTokens += n.prompt - remaining
	n.promptLeft = n.prompt - remaining
	g.waiting = append(g.waiting, n)
	if !g.busy {
		g.busy = true
		g.step()
	}
}

func (g *engine) load() Load {
	return Load{Running: len(g.running), Queued: len(g.waiting), Capacity: g.capacity}
}

func (g *engine) step() {
	read := engineChunkTokens
	for len(g.waiting) > 0 && len(g.running) < g.capacity && read > 0 {
		n := g.waiting[0]
		fragment := min(read, n.promptLeft)
		n.promptLeft, read = n.promptLeft-fragment, read-fragment
		if n.promptLeft > 0 {
			break
		}
		g.running, g.waiting = append(g.running, n), g.waiting[1:]
	}
	if len(g.running) == 0 && read == engineChunkTokens {
		g.busy = false
		return
	}
	took := engineStep + time.Duration(len(g.running))*engineStepPerRequest
	took += time.Duration(float64(engineChunkTokens-read) / enginePromptTokensPerMs * float64(time.Millisecond))
	g.sim.after(time.Duration(g.speed*float64(took)), func() {
		g.generate()
		g.step()
	})
}

// generate gives each running request its next token.
func (g *engine) generate() {
	still := g.running[:0]
	for _, n := range g.running {
		if !n.started {
			n.started = true
			n.firstEvent(g.load())
		}
		if n.outputLeft--; n.outputLeft > 0 {
			still = append(still, n)
			continue
		}
		g.cachePrefix(n.session, n.prompt)
		n.done(Outcome{Kind: Success, Load: g.load()})
	}
	g.running = still
}

// cachePrefix keeps the prefix of a session.
func (g *engine) cachePrefix(session uint64, tokens int) {
	if g.cachedPrefixes[session] == 0 {
		g.leastRecentlyUsed = append(g.leastRecentlyUsed, session)
	}
	g.cachedPrefixes[session] = tokens
	total := 0
	for _, k := range g.cachedPrefixes {
		total += k
	}
	for total > g.cacheTokens && len(g.leastRecentlyUsed) > 1 {
		total -= g.cachedPrefixes[g.leastRecentlyUsed[0]]
		delete(g.cachedPrefixes, g.leastRecentlyUsed[0])
		g.leastRecentlyUsed = g.leastRecentlyUsed[1:]
	}
}

// turnStats is how the streams of one run fared.
type turnStats struct {
	turns, prefilledTokens int
	first, complete        []float64
}

func (t *turnStats) String() string {
	return fmt.Sprintf("first event %3.0f ms, complete %3.0f ms in the mean, %.0f tokens read a turn", 1000*meanOf(t.first),
		1000*meanOf(t.complete), float64(t.prefilledTokens)/float64(max(1, t.turns)))
}

// simulateTurns simulates programs of several turns over nine proxies and nine engines. Each turn comes to any of the proxies.
func simulateTurns(seed uint64, rate float64, newPolicy func(list []model.Endpoint, i int) policy) *turnStats {
	const engines, proxies, length, turns, out = 9, 9, 12 * time.Second, 6, 24
	sim, list, t := newSimulation(seed), endpointsOf("models", engines, 64), &turnStats{}
	var nodes []*engine
	for i := range engines {
		nodes = append(nodes, &engine{sim: sim, speed: 1 + 0.1*float64(i%4), capacity: 64, cacheTokens: 120000, prefilledTokens: &t.prefilledTokens,
			cachedPrefixes: map[uint64]int{}})
	}
	var policies []policy
	for i := range proxies {
		policies = append(policies, newPolicy(list, i))
	}
	program := uint64(0)
	var turn func(session uint64, number int)
	turn = func(session uint64, number int) {
		t.turns++
		history := 600 + 500*number
		p, startedAt := policies[sim.arrivalRandom.IntN(proxies)], sim.now
		i, _, a := p.choose(sim.now, Request{Service: "models", TimeLeft: 4 * time.Second, AffinityKey: mix(session),
			Route:        Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
			PrefixTokens: history - 500, NewTokens: 500, OutTokens: out})
		if i < 0 {
			return
		}
		p.sent(sim.now, i, a)
		n := &generation{session: session, prompt: history, outputLeft: out}
		n.firstEvent = func(l Load) {
			t.first = append(t.first, (sim.now - startedAt).Seconds())
			p.first(sim.now, i, a, l)
		}
		n.done = func(o Outcome) {
			o.Elapsed, o.Tokens = sim.now-startedAt, out
			t.complete = append(t.complete, o.Elapsed.Seconds())
			p.done(sim.now, i, a, o)
			if number < turns {
				sim.after(200*time.Millisecond, func() { turn(session, number+1) })
			}
		}
		nodes[i].add(n)
	}
	sim.arrivals(rate/turns, length, func() {
		program++
		turn(program, 1)
	})
	sim.run(length + 4*time.Second)
	return t
}

func TestSimulation_Streams_BeatBaselines(t *testing.T) {
	for _, rate := range []float64{30, 150, 300} {
		t.Run(fmt.Sprintf("turns=%v", rate), func(t *testing.T) {
			t.Parallel()
			random := simulateTurns(1, rate, func(l []model.Endpoint, i int) policy { return newBaselinePolicy(l, false, uint64(i)) })
			leastLoad := simulateTurns(1, rate, func(l []model.Endpoint, i int) policy { return newBaselinePolicy(l, true, uint64(i)) })
			ours := simulateTurns(1, rate, balancedProxyPolicy)
			t.Logf("random:     %v", random)
			t.Logf("least load: %v", leastLoad)
			t.Logf("balancer:   %v", ours)
			if w := meanOf(ours.complete); w > meanOf(random.complete) || w > meanOf(leastLoad.complete) {
				t.Error("streams take longer than with a simple choice")
			}
		})
	}
}
