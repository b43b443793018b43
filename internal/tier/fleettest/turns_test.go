package fleettest

import (
	"net/http"
	"testing"
	"time"
)

func TestChainAndBudgetAcrossAKilledStore(t *testing.T) {
	for _, ending := range []struct {
		name string
		end  func(*Fleet, ...*Machine)
	}{{"killed", (*Fleet).Kill}, {"without power", (*Fleet).LosePower}} {
		t.Run(ending.name, func(t *testing.T) {
			seeds(t, 6, func(t *testing.T, seed uint64) {
				// Given a program with two turns behind it, when the store that owns its shard ends,
				s := serving(t, seed)
				const budget = 3 * turnMost
				one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: budget})
				two := s.wholeTurn(s.edges[1], clientRequest{Program: "p", Budget: budget, Previous: one.ID})
				owner := s.ownerOf("p")
				ending.end(s.Fleet, owner)
				s.StartLater(2*time.Second, owner)
				// then the next turn goes on from them,
				three := s.wholeTurn(s.edges[2], clientRequest{Program: "p", Budget: budget, Previous: two.ID})
				// and turns are refused once the budget holds no more.
				spent := one.tokens() + two.tokens() + three.tokens()
				previous := three.ID
				for spent+turnMost <= budget {
					next := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: budget, Previous: previous})
					spent, previous = spent+next.tokens(), next.ID
				}
				last := s.turn(s.edges[1], clientRequest{Program: "p", Budget: budget, Previous: previous})
				if last.Status != http.StatusPaymentRequired {
					t.Errorf("with %d of %d spent, a turn ended with outcome %d, status %d", spent, budget, last.Outcome, last.Status)
				}
			})
		})
	}
}

func TestWipedStoreThatIsTheFirstToReturn(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a program's turn, when a store loses its disk, all others lose power, and the empty one returns first,
		s := serving(t, seed)
		s.RunFor(5 * time.Second)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400})
		wiped := s.ownerOf("p")
		if seed%2 == 0 {
			wiped = others(s.stores, wiped)[seed%3]
		}
		s.LosePower(others(s.stores, wiped)...)
		s.LoseDisk(wiped)
		s.StartLater(100*time.Millisecond, wiped)
		s.StartLater(3*time.Second, others(s.stores, wiped)...)
		// then the turn is never said to be absent, and the next one goes on from it.
		s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400, Previous: one.ID})
	})
}

func TestAllPowerLostRightAfterATurn(t *testing.T) {
	seeds(t, 10, func(t *testing.T, seed uint64) {
		// Given a turn whose end has come to the client less than 400 ms ago, when one disk is lost and all power goes,
		s := serving(t, seed)
		s.RunFor(5 * time.Second)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400})
		s.RunFor(time.Duration(seed) * 39 * time.Millisecond)
		counting := append(append([]*Machine{}, s.cores...), s.stores...)
		wiped := counting[int(seed)%len(counting)]
		s.LosePower(others(s.tier(), wiped)...)
		s.LoseDisk(wiped)
		for _, m := range s.tier() {
			s.StartLater(s.loop.between(100*time.Millisecond, time.Second), m)
		}
		s.RunFor(2 * time.Second)
		// then the next turn goes on from it.
		s.within(12*time.Second, "a proxy is ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
		s.wholeTurn(s.edges[1], clientRequest{Program: "p", Budget: 400, Previous: one.ID})
	})
}

func TestProxyThatDies(t *testing.T) {
	for _, test := range []struct {
		name string
		when func(s *story, r *request) bool
	}{
		{"before the stores have taken the turn", func(s *story, r *request) bool { return s.Now() > r.Sent+1500*time.Microsecond }},
		{"after the turn was sent", func(s *story, r *request) bool { return s.ran(r) }},
		{"after the first event", func(s *story, r *request) bool { return len(r.Events) > 0 }},
		{"before the last event", func(s *story, r *request) bool { return len(r.Events) == eventsOf(r.ID, r.Most)-1 && s.ran(r) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 6, func(t *testing.T, seed uint64) {
				// Given a turn at a proxy, when the proxy dies at that moment,
				s := serving(t, seed)
				one := s.wholeTurn(s.edges[1], clientRequest{Program: "p", Budget: 4 * turnMost})
				r := s.begin(s.edges[0], clientRequest{Program: "p", Budget: 4 * turnMost, Previous: one.ID})
				s.within(requestTime, "the moment comes", func() bool { return r.Outcome != underWay || test.when(s, r) })
				s.RunFor(time.Duration(seed) * time.Millisecond)
				s.KillProcess(s.edges[0].processes[1])
				s.within(requestTime, "the client has an end", func() bool { return r.Outcome != underWay })
				// then the client takes the turn anew at another one, and the checkers find nothing: what it may have cost is spent.
				s.wholeTurn(s.edges[2], clientRequest{Program: "p", Budget: 4 * turnMost, Previous: one.ID})
				for range 4 {
					s.turn(s.edges[2], clientRequest{Program: "p", Budget: 4 * turnMost, Previous: one.ID})
				}
			})
		})
	}
}

// ran tells whether an endpoint has begun to work on a request.
func (s *story) ran(r *request) bool {
	for i := range s.history.runs {
		if s.history.runs[i].ID == r.ID {
			return true
		}
	}
	return false
}

func TestOneTurnSentToTwoProxies(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a client that gives a turn up whose answer gets lost, when it sends it anew through another proxy,
		s := serving(t, seed)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 3 * turnMost})
		first := s.begin(s.edges[0], clientRequest{Program: "p", Budget: 3 * turnMost, Previous: one.ID})
		s.RunFor(time.Duration(seed) * 2 * time.Millisecond)
		second := s.begin(s.edges[1], clientRequest{Program: "p", Budget: 3 * turnMost, Previous: one.ID})
		s.within(2*requestTime, "both have ended", func() bool { return first.Outcome != underWay && second.Outcome != underWay })
		// then both have the same chain, each ran once, and one more is refused if it doesn't fit.
		s.turn(s.edges[2], clientRequest{Program: "p", Budget: 3 * turnMost, Previous: second.ID})
	})
}

func TestEndpointReplacedAtTheSameAddress(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given proxies that believe an address to be a model's, when a tool starts there,
		s := serving(t, seed)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 4000})
		s.ReplaceEndpoint(s.engines[0], toolService)
		// then turns that are sent there don't run there, and are served elsewhere, before and after the list tells it.
		previous := one.ID
		for range 12 {
			previous = s.wholeTurn(s.edges[seed%3], clientRequest{Program: "p", Budget: 4000, Previous: previous}).ID
			s.RunFor(100 * time.Millisecond)
		}
	})
}

func TestEndpointThatRunsAndSaysNothing(t *testing.T) {
	seeds(t, 3, func(t *testing.T, seed uint64) {
		// Given endpoints of which one runs requests and never answers, when turns and calls are sent,
		s := serving(t, seed)
		s.engines[0].processes[0].handler.(*endpoint).stuck = true
		s.engines[1].processes[0].handler.(*endpoint).stuck = true
		// then none runs twice, and none that ran is said not to have run.
		for range 6 {
			s.clients.send(s.edges[0].processes[1].address, clientRequest{Service: toolService, Most: 6, Input: []byte("tool")}, nil)
			s.turn(s.edges[0], clientRequest{Program: "p", Budget: 4000})
		}
	})
}

func TestTurnThatGoesOnFromNone(t *testing.T) {
	// Given a serving tier, when a turn names one that never was, then it is answered 404.
	s := serving(t, 1)
	s.RunFor(3 * time.Second)
	r := s.turn(s.edges[0], clientRequest{Program: "p", Budget: 400, Previous: "t-none"})
	if r.Status != http.StatusNotFound {
		t.Errorf("outcome %d, status %d", r.Outcome, r.Status)
	}
	// And when the owner of a shard can't be reached, then it is not.
	s.Cut(s.stores, s.stores)
	r = s.turn(s.edges[0], clientRequest{Program: "p", Budget: 400, Previous: "t-none"})
	if r.Status == http.StatusNotFound {
		t.Error("404 though no owner can be certain")
	}
}

func TestTurnThatGoesOnFromAnotherProgram(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given a turn of one program, when turns of others go on from it, then they get its chain from its shard.
		s := serving(t, seed)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400})
		for _, program := range []string{"q", "r", "s", "t", "u"} {
			two := s.wholeTurn(s.edges[1], clientRequest{Program: program, Budget: 400, Previous: one.ID})
			s.wholeTurn(s.edges[2], clientRequest{Program: program, Budget: 400, Previous: two.ID})
		}
	})
}

func TestStoreIsRetiredAndTakenAway(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given a program, when a store is emptied and taken away with its disk,
		s := serving(t, seed)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400})
		leaving := s.stores[seed%4]
		status := 0
		s.operator.retire(leaving.name, func(answer operatorAnswer) { status = answer.Status })
		s.within(confirmTime, "the order is answered", func() bool { return status != 0 })
		if status != http.StatusOK {
			t.Fatalf("the order was answered %d", status)
		}
		s.untilRetired(leaving.name)
		s.LoseDisk(leaving)
		leaving.removed = true
		s.stores = others(s.stores, leaving)
		// then one of the others may lose its disk, and nothing is lost.
		s.RunFor(5 * time.Second)
		s.LosePower(s.stores[1:]...)
		s.LoseDisk(s.stores[0])
		s.StartLater(500*time.Millisecond, s.stores...)
		s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400, Previous: one.ID})
	})
}

// untilRetired plays until a store's order is finished.
func (s *story) untilRetired(node string) {
	s.t.Helper()
	state := ""
	var ask func()
	ask = func() {
		s.operator.retirement(node, func(answer operatorAnswer) {
			state = answer.State
			if state != "finished" {
				s.operator.process.after(200*time.Millisecond, ask)
			}
		})
	}
	ask()
	s.within(30*time.Second, "the store is emptied", func() bool { return state == "finished" })
}

func TestStoreReplacedElsewhere(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given a program, when stores are replaced by empty ones elsewhere, one after the other,
		s := serving(t, seed)
		previous := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 4000}).ID
		for range 3 {
			s.ReplaceStore(s.stores[0])
			s.RunFor(15 * time.Second)
			// then the next turn goes on from the one before.
			previous = s.wholeTurn(s.edges[1], clientRequest{Program: "p", Budget: 4000, Previous: previous}).ID
		}
	})
}

func TestFrozenStore(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given turns at the owner of a shard that freezes, when another has taken over and it thaws,
		s := serving(t, seed)
		one := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 4 * turnMost})
		owner := s.ownerOf("p")
		held := s.begin(s.edges[1], clientRequest{Program: "p", Budget: 4 * turnMost, Previous: one.ID})
		s.RunFor(time.Duration(seed) * time.Millisecond)
		s.Freeze(owner)
		s.RunFor(3 * time.Second)
		two := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 4 * turnMost, Previous: one.ID})
		s.Thaw(owner)
		// then turns go on from the newest, and the budget holds.
		s.within(2*requestTime, "the first has ended", func() bool { return held.Outcome != underWay })
		for range 4 {
			s.turn(s.edges[2], clientRequest{Program: "p", Budget: 4 * turnMost, Previous: two.ID})
		}
	})
}
