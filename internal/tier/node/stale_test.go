package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/view"
)

// Parameters of the simulation of an agent and its controllers.
const (
	staleStep    = 10 * time.Millisecond // time between steps and one-way delay of a message
	maxStaleness = 3 * time.Second       // bound on the time until an agent has the new sections
)

// simulatedAgent is an agent in virtual time that receives the view only by anti-entropy with controllers.
type simulatedAgent struct {
	t              *testing.T
	now            time.Duration
	gossiper       *gossip.Gossiper
	store          *gossip.Store
	antiEntropy    antiEntropy
	nextController int
	controllers    []*simulatedController
	input          gossip.Input // of the agent's next step
	applied        []view.Update
}

// simulatedController is the part of a controller that answers digests and fetches.
type simulatedController struct {
	gossiper      *gossip.Gossiper
	store         *gossip.Store
	isPartitioned bool // from the agent
}

var (
	oldStamps = map[view.Section]view.Stamp{view.ConfigurationSection: {Sequence: 5}, view.PlacementSection: {Sequence: 7}, view.EndpointsSection: {Term: 3, Sequence: 90}}
	newStamps = map[view.Section]view.Stamp{view.ConfigurationSection: {Sequence: 12}, view.PlacementSection: {Sequence: 15}, view.EndpointsSection: {Term: 4, Sequence: 2}}
)

// newSimulatedAgent returns an agent with count controllers. The first stale ones have old sections, as after a partition.
func newSimulatedAgent(t *testing.T, count, stale int) *simulatedAgent {
	a := &simulatedAgent{t: t}
	for number := range count {
		stamps := newStamps
		if number < stale {
			stamps = oldStamps
		}
		store := gossip.NewStore()
		for section, stamp := range stamps {
			store.Put(view.Update{Section: section, Stamp: stamp, Body: json.RawMessage(`{}`)})
		}
		a.controllers = append(a.controllers, &simulatedController{gossiper: gossip.New(gossip.Options{DigestInterval: -1}, store), store: store})
	}
	a.start()
	return a
}

// start starts or restarts the agent with an empty store.
func (a *simulatedAgent) start() {
	a.store, a.antiEntropy, a.input, a.applied, a.nextController = gossip.NewStore(), antiEntropy{nextAt: a.now}, gossip.Input{}, nil, 0
	a.gossiper = gossip.New(gossip.Options{DigestInterval: -1}, a.store)
}

func (a *simulatedAgent) address(number int) string { return fmt.Sprintf("core-%d", number) }

// lacksSections does what gossipDriver.lacksSections does.
func (a *simulatedAgent) lacksSections() bool {
	for _, section := range requiredSections {
		if a.store.Stamp(section) == (view.Stamp{}) {
			return true
		}
	}
	return false
}

func (a *simulatedAgent) step() {
	input := a.input
	a.input = gossip.Input{}
	effects := a.gossiper.Step(a.now, input)
	a.applied = append(a.applied, effects.Updated...)
	for _, fetch := range effects.Fetches {
		a.fetch(fetch)
	}
	count, _ := a.antiEntropy.due(a.now, a.lacksSections())
	for range min(count, len(a.controllers)) {
		a.ask(a.nextController % len(a.controllers))
		a.nextController++
	}
	a.now += staleStep
}

// ask sends the digest to a controller, and queues the answer for the next step.
func (a *simulatedAgent) ask(number int) {
	asked := a.controllers[number]
	if asked.isPartitioned {
		return
	}
	answer := asked.gossiper.Step(a.now, gossip.Input{Datagrams: []gossip.Datagram{{Address: "agent", Message: a.gossiper.CompleteDigest()}}})
	for _, notice := range answer.Datagrams {
		a.input.Datagrams = append(a.input.Datagrams, gossip.Datagram{Address: a.address(number), Message: notice.Message})
	}
}

func (a *simulatedAgent) fetch(fetch gossip.Fetch) {
	for number, asked := range a.controllers {
		if a.address(number) == fetch.Address && !asked.isPartitioned {
			a.input.Fetched = append(a.input.Fetched, gossip.FetchResult{Token: fetch.Token, Updates: asked.store.AtLeast(fetch.Requested)})
		}
	}
}

func (a *simulatedAgent) run(d time.Duration) {
	for end := a.now + d; a.now < end; {
		a.step()
	}
}

func (a *simulatedAgent) hasAll(stamps map[view.Section]view.Stamp) bool {
	for section, stamp := range stamps {
		if a.store.Stamp(section) != stamp {
			return false
		}
	}
	return true
}

// untilNew runs until the agent has all new sections, and returns how long that takes.
func (a *simulatedAgent) untilNew() time.Duration {
	a.t.Helper()
	began := a.now
	for !a.hasAll(newStamps) {
		if a.now-began > time.Minute {
			a.t.Fatalf("after a minute the agent has %v, want the new stamps", a.store.Digest())
		}
		a.step()
	}
	return a.now - began
}

// checkNoReversion checks that no section reverted to an older stamp.
func (a *simulatedAgent) checkNoReversion() {
	a.t.Helper()
	last := map[view.Section]view.Stamp{}
	for _, update := range a.applied {
		if !last[update.Section].Less(update.Stamp) {
			a.t.Errorf("%s changed from %v to %v, want only newer stamps", update.Section, last[update.Section], update.Stamp)
		}
		last[update.Section] = update.Stamp
	}
}

func TestAgent_AsksPartitionedController_NeverGoesBackAndCatchesUp(t *testing.T) {
	const atOnce = 10 * staleStep
	for _, core := range []struct{ controllers, stale int }{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d of %d controllers", core.stale, core.controllers), func(t *testing.T) {
			// Given an agent that starts on the side of the stale controllers of a partition,
			agent := newSimulatedAgent(t, core.controllers, core.stale)
			for _, other := range agent.controllers[core.stale:] {
				other.isPartitioned = true
			}
			agent.run(20 * time.Second)
			// then it has their sections: its machine is cut off from the others, and stale sections are better than none;
			if !agent.hasAll(oldStamps) {
				t.Fatalf("during the partition the agent has %v, want the old stamps", agent.store.Digest())
			}
			// and when the partition heals, then it has the new sections within maxStaleness,
			for _, other := range agent.controllers {
				other.isPartitioned = false
			}
			agent.nextController = 0 // the stale controllers are asked first
			took := agent.untilNew()
			if took > maxStaleness {
				t.Errorf("the agent took %v to get the new sections, longer than maxStaleness", took)
			}
			// and it does not revert to the old sections that it is offered afterwards.
			agent.run(20 * time.Second)
			agent.checkNoReversion()

			// When the agent thaws after a freeze, or restarts, while some controllers are still stale, then it asks several
			// controllers and has the new sections immediately.
			agent.now += 20 * time.Second
			for section, stamp := range newStamps {
				stamp.Sequence += 100
				newer := view.Update{Section: section, Stamp: stamp, Body: json.RawMessage(`{}`)}
				for _, other := range agent.controllers[core.stale:] {
					other.store.Put(newer)
				}
			}
			agent.nextController = 0
			agent.run(atOnce)
			if agent.store.Stamp(view.ConfigurationSection).Sequence < 100 {
				t.Errorf("%v after the thaw the agent has %v, want the newest stamps", atOnce, agent.store.Digest())
			}
			agent.checkNoReversion()
			agent.start()
			agent.run(atOnce)
			if agent.store.Stamp(view.ConfigurationSection).Sequence < 100 {
				t.Errorf("%v after the restart the agent has %v, want the newest stamps", atOnce, agent.store.Digest())
			}
			agent.checkNoReversion()
			t.Logf("after the partition the agent had the new sections within %v", took)
		})
	}
}
