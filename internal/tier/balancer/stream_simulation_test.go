package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// engine simulates a model server with continuous batching: each step generates one token of every running request and prefills up to
// engineChunkTokens prompt tokens of waiting ones. It caches the prefixes of sessions; beyond cacheTokens, the session cached first is
// evicted.
type engine struct {
	sim             *simulation
	timeFactor      float64 // a step takes this multiple of its time
	capacity        int
	cacheTokens     int
	running         []*generation
	waiting         []*generation
	cachedPrefixes  map[uint64]int // tokens cached, by session
	evictionOrder   []uint64       // cached sessions, the next to be evicted first
	busy            bool
	prefilledTokens *int // sum over all engines
}

const (
	engineStep              = 3790 * time.Microsecond
	engineStepPerRequest    = 60 * time.Microsecond // added for each running request
	engineChunkTokens       = 512                   // prompt tokens prefilled in a step, at most
	enginePromptTokensPerMs = 56.6                  // prompt tokens prefilled per ms
)

// generation is the state of one streaming request at an engine.
type generation struct {
	session                uint64
	prompt                 int
	promptLeft, outputLeft int
	firstEvent             func(Load)
	done                   func(Outcome)
	started                bool
}

func (e *engine) add(g *generation) {
	cached := min(e.cachedPrefixes[g.session], g.prompt)
	*e.prefilledTokens += g.prompt - cached
	g.promptLeft = g.prompt - cached
	e.waiting = append(e.waiting, g)
	if !e.busy {
		e.busy = true
		e.step()
	}
}

func (e *engine) load() Load {
	return Load{Running: len(e.running), Queued: len(e.waiting), Capacity: e.capacity}
}

func (e *engine) step() {
	budget := engineChunkTokens
	for len(e.waiting) > 0 && len(e.running) < e.capacity && budget > 0 {
		g := e.waiting[0]
		chunk := min(budget, g.promptLeft)
		g.promptLeft, budget = g.promptLeft-chunk, budget-chunk
		if g.promptLeft > 0 {
			break
		}
		e.running, e.waiting = append(e.running, g), e.waiting[1:]
	}
	if len(e.running) == 0 && budget == engineChunkTokens {
		e.busy = false
		return
	}
	took := engineStep + time.Duration(len(e.running))*engineStepPerRequest
	took += time.Duration(float64(engineChunkTokens-budget) / enginePromptTokensPerMs * float64(time.Millisecond))
	e.sim.after(time.Duration(e.timeFactor*float64(took)), func() {
		e.generate()
		e.step()
	})
}

// generate generates the next token of each running request.
func (e *engine) generate() {
	unfinished := e.running[:0]
	for _, g := range e.running {
		if !g.started {
			g.started = true
			g.firstEvent(e.load())
		}
		if g.outputLeft--; g.outputLeft > 0 {
			unfinished = append(unfinished, g)
			continue
		}
		e.cachePrefix(g.session, g.prompt)
		g.done(Outcome{Kind: Success, Load: e.load()})
	}
	e.running = unfinished
}

// cachePrefix stores the prefix of a session, and evicts others if the cache is full.
func (e *engine) cachePrefix(session uint64, tokens int) {
	if e.cachedPrefixes[session] == 0 {
		e.evictionOrder = append(e.evictionOrder, session)
	}
	e.cachedPrefixes[session] = tokens
	total := 0
	for _, cached := range e.cachedPrefixes {
		total += cached
	}
	for total > e.cacheTokens && len(e.evictionOrder) > 1 {
		total -= e.cachedPrefixes[e.evictionOrder[0]]
		delete(e.cachedPrefixes, e.evictionOrder[0])
		e.evictionOrder = e.evictionOrder[1:]
	}
}

// turnStats summarizes the streams of one run.
type turnStats struct {
	turns, prefilledTokens int
	firstEvent, complete   []float64 // times in seconds
}

func (t *turnStats) String() string {
	return fmt.Sprintf("first event %3.0f ms, complete %3.0f ms on average, %.0f prompt tokens prefilled per turn", 1000*meanOf(t.firstEvent),
		1000*meanOf(t.complete), float64(t.prefilledTokens)/float64(max(1, t.turns)))
}

// simulateTurns simulates programs of six turns over nine proxies and nine engines, at the given rate of turns per second. Each turn
// arrives at a random proxy.
func simulateTurns(seed uint64, rate float64, newPolicy func(list []model.Endpoint, i int) selectionPolicy) *turnStats {
	const engineCount, proxies, length, turns, outputTokens = 9, 9, 12 * time.Second, 6, 24
	sim, list, t := newSimulation(seed), endpointsOf("models", engineCount, 64), &turnStats{}
	var engines []*engine
	for i := range engineCount {
		engines = append(engines, &engine{sim: sim, timeFactor: 1 + 0.1*float64(i%4), capacity: 64, cacheTokens: 120000, prefilledTokens: &t.prefilledTokens,
			cachedPrefixes: map[uint64]int{}})
	}
	var policies []selectionPolicy
	for i := range proxies {
		policies = append(policies, newPolicy(list, i))
	}
	program := uint64(0)
	var turn func(session uint64, number int)
	turn = func(session uint64, number int) {
		t.turns++
		history := 600 + 500*number
		p, startedAt := policies[sim.arrivalRandom.IntN(proxies)], sim.now
		i, _, a := p.selectEndpoint(sim.now, Request{Service: "models", TimeLeft: 4 * time.Second, AffinityKey: mix(session),
			Route:        Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
			PrefixTokens: history - 500, UncachedTokens: 500, OutputTokens: outputTokens})
		if i < 0 {
			return
		}
		p.sent(sim.now, i, a)
		g := &generation{session: session, prompt: history, outputLeft: outputTokens}
		g.firstEvent = func(l Load) {
			t.firstEvent = append(t.firstEvent, (sim.now - startedAt).Seconds())
			p.firstEvent(sim.now, i, a, l)
		}
		g.done = func(o Outcome) {
			o.Elapsed, o.OutputTokens = sim.now-startedAt, outputTokens
			t.complete = append(t.complete, o.Elapsed.Seconds())
			p.done(sim.now, i, a, o)
			if number < turns {
				sim.after(200*time.Millisecond, func() { turn(session, number+1) })
			}
		}
		engines[i].add(g)
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
			random := simulateTurns(1, rate, func(l []model.Endpoint, i int) selectionPolicy { return newBaselinePolicy(l, false, uint64(i)) })
			leastLoad := simulateTurns(1, rate, func(l []model.Endpoint, i int) selectionPolicy { return newBaselinePolicy(l, true, uint64(i)) })
			ours := simulateTurns(1, rate, balancedProxyPolicy)
			t.Logf("random:     %v", random)
			t.Logf("least load: %v", leastLoad)
			t.Logf("balancer:   %v", ours)
			if w := meanOf(ours.complete); w > meanOf(random.complete) || w > meanOf(leastLoad.complete) {
				t.Error("streams take longer on average than with a baseline policy")
			}
		})
	}
}
