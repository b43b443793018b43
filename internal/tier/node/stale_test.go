package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/view"
)

// Times and bounds of an agent among controllers.
const (
	staleStep = 10 * time.Millisecond // also one way of a message
	quiet     = 3 * time.Second       // the shortest after which a machine must have what is new
)

// asking is an agent that knows of the view only through its questions to controllers, in virtual time.
type asking struct {
	t           *testing.T
	now         time.Duration
	agent       *gossip.Gossiper
	store       *gossip.Store
	questions   questions
	turn        int
	controllers []*askedController
	input       gossip.Input // of the agent's next turn
	taken       []view.Update
}

// askedController is a controller as its agents see it.
type askedController struct {
	spreader *gossip.Gossiper
	store    *gossip.Store
	isApart  bool // from the agent
}

var (
	oldStamps = map[view.Section]view.Stamp{view.ConfigurationSection: {Sequence: 5}, view.PlacementSection: {Sequence: 7}, view.EndpointsSection: {Term: 3, Sequence: 90}}
	newStamps = map[view.Section]view.Stamp{view.ConfigurationSection: {Sequence: 12}, view.PlacementSection: {Sequence: 15}, view.EndpointsSection: {Term: 4, Sequence: 2}}
)

// newAsking has controllers of which the first ones hold old sections, as they were when they were cut off.
func newAsking(t *testing.T, count, stale int) *asking {
	a := &asking{t: t}
	for number := range count {
		stamps := newStamps
		if number < stale {
			stamps = oldStamps
		}
		store := gossip.NewStore()
		for section, stamp := range stamps {
			store.Put(view.Update{Section: section, Stamp: stamp, Body: json.RawMessage(`{}`)})
		}
		a.controllers = append(a.controllers, &askedController{spreader: gossip.New(gossip.Options{DigestInterval: -1}, store), store: store})
	}
	a.start()
	return a
}

// start begins the agent anew.
func (a *asking) start() {
	a.store, a.questions, a.input, a.taken, a.turn = gossip.NewStore(), questions{dueAt: a.now}, gossip.Input{}, nil, 0
	a.agent = gossip.New(gossip.Options{DigestInterval: -1}, a.store)
}

func (a *asking) address(number int) string { return fmt.Sprintf("core-%d", number) }

// lacks is what spread.lacks tells.
func (a *asking) lacks() bool {
	for _, section := range needed {
		if a.store.Stamp(section) == (view.Stamp{}) {
			return true
		}
	}
	return false
}

func (a *asking) step() {
	input := a.input
	a.input = gossip.Input{}
	effects := a.agent.Step(a.now, input)
	a.taken = append(a.taken, effects.Updated...)
	for _, fetch := range effects.Fetches {
		a.fetch(fetch)
	}
	count, _ := a.questions.due(a.now, a.lacks())
	for range min(count, len(a.controllers)) {
		a.ask(a.turn % len(a.controllers))
		a.turn++
	}
	a.now += staleStep
}

// ask tells a controller what is held, and takes its answer in with the next step.
func (a *asking) ask(number int) {
	asked := a.controllers[number]
	if asked.isApart {
		return
	}
	answer := asked.spreader.Step(a.now, gossip.Input{Datagrams: []gossip.Datagram{{Address: "agent", Message: a.agent.CompleteDigest()}}})
	for _, notice := range answer.Datagrams {
		a.input.Datagrams = append(a.input.Datagrams, gossip.Datagram{Address: a.address(number), Message: notice.Message})
	}
}

func (a *asking) fetch(fetch gossip.Fetch) {
	for number, asked := range a.controllers {
		if a.address(number) == fetch.Address && !asked.isApart {
			a.input.Fetched = append(a.input.Fetched, gossip.FetchResult{Token: fetch.Token, Pieces: asked.store.AtLeast(fetch.Wanted)})
		}
	}
}

func (a *asking) run(d time.Duration) {
	for end := a.now + d; a.now < end; {
		a.step()
	}
}

func (a *asking) holds(stamps map[view.Section]view.Stamp) bool {
	for section, stamp := range stamps {
		if a.store.Stamp(section) != stamp {
			return false
		}
	}
	return true
}

// untilNew returns how long it takes until the agent holds all that is new.
func (a *asking) untilNew() time.Duration {
	a.t.Helper()
	began := a.now
	for !a.holds(newStamps) {
		if a.now-began > time.Minute {
			a.t.Fatalf("it holds %v", a.store.Digest())
		}
		a.step()
	}
	return a.now - began
}

// wantForward checks that no section has gone back.
func (a *asking) wantForward() {
	a.t.Helper()
	last := map[view.Section]view.Stamp{}
	for _, piece := range a.taken {
		if !last[piece.Section].Less(piece.Stamp) {
			a.t.Errorf("%s went from %v to %v", piece.Section, last[piece.Section], piece.Stamp)
		}
		last[piece.Section] = piece.Stamp
	}
}

func TestWhatIsTakenFromAControllerThatIsCutOff(t *testing.T) {
	const atOnce = 10 * staleStep
	for _, core := range []struct{ controllers, stale int }{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d of %d controllers", core.stale, core.controllers), func(t *testing.T) {
			// Given an agent that starts on the side of the controllers that are cut off,
			a := newAsking(t, core.controllers, core.stale)
			for _, other := range a.controllers[core.stale:] {
				other.isApart = true
			}
			a.run(20 * time.Second)
			// then it has what these have: its machine isn't in touch, and what is old is better than nothing;
			if !a.holds(oldStamps) {
				t.Fatalf("it holds %v", a.store.Digest())
			}
			// and when the cut ends, then it has what is new before its machine is in touch,
			for _, other := range a.controllers {
				other.isApart = false
			}
			a.turn = 0 // those that were cut off are asked first
			took := a.untilNew()
			if took > quiet {
				t.Errorf("it took %v", took)
			}
			// and nothing that it is offered after that brings it back.
			a.run(20 * time.Second)
			a.wantForward()

			// When it stands still meanwhile and thaws, or starts anew, beside controllers that haven't noticed yet, then it
			// asks several, and has what is new at once.
			a.now += 20 * time.Second
			for section, stamp := range newStamps {
				stamp.Sequence += 100
				newer := view.Update{Section: section, Stamp: stamp, Body: json.RawMessage(`{}`)}
				for _, other := range a.controllers[core.stale:] {
					other.store.Put(newer)
				}
			}
			a.turn = 0
			a.run(atOnce)
			if a.store.Stamp(view.ConfigurationSection).Sequence < 100 {
				t.Errorf("%v after its thaw it holds %v", atOnce, a.store.Digest())
			}
			a.wantForward()
			a.start()
			a.run(atOnce)
			if a.store.Stamp(view.ConfigurationSection).Sequence < 100 {
				t.Errorf("%v after its start it holds %v", atOnce, a.store.Digest())
			}
			a.wantForward()
			t.Logf("after the cut it had what is new in %v", took)
		})
	}
}
