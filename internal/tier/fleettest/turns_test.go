package fleettest

import (
	"net/http"
	"testing"
	"time"
)

func TestProgram_StoreEnds_KeepsChainAndBudget(t *testing.T) {
	for _, ending := range []struct {
		name string
		end  func(*Fleet, ...*Machine)
	}{{"killed", (*Fleet).Kill}, {"without power", (*Fleet).LosePower}} {
		t.Run(ending.name, func(t *testing.T) {
			seeds(t, 6, func(t *testing.T, seed uint64) {
				// Given a program with two complete turns, when the store that leads its shard ends,
				s := serving(t, seed)
				const budget = 3 * maxTurnTokens
				one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: budget})
				two := s.completeTurn(s.edges[1], clientRequest{Program: testProgram, Budget: budget, Previous: one.ID})
				leader := s.shardLeader()
				ending.end(s.Fleet, leader)
				s.StartLater(2*time.Second, leader)
				// then the next turn continues their chain,
				three := s.completeTurn(s.edges[2], clientRequest{Program: testProgram, Budget: budget, Previous: two.ID})
				// and turns are rejected once the budget has no room for one.
				spent := one.tokens() + two.tokens() + three.tokens()
				previous := three.ID
				for spent+maxTurnTokens <= budget {
					next := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: budget, Previous: previous})
					spent, previous = spent+next.tokens(), next.ID
				}
				last := s.turn(s.edges[1], clientRequest{Program: testProgram, Budget: budget, Previous: previous})
				if last.Status != http.StatusPaymentRequired {
					t.Errorf("with %d of %d tokens spent, a turn ended with outcome %d, status %d, want status 402", spent, budget, last.Outcome, last.Status)
				}
			})
		})
	}
}

func TestStore_EmptyDiskReturnsFirst_LosesNoTurn(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a complete turn, when a store loses its disk, all others lose power, and the one with the empty disk starts first,
		s := serving(t, seed)
		s.RunFor(5 * time.Second)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400})
		wiped := s.shardLeader()
		if seed%2 == 0 {
			wiped = others(s.stores, wiped)[seed%3]
		}
		s.LosePower(others(s.stores, wiped)...)
		s.LoseDisk(wiped)
		s.StartLater(100*time.Millisecond, wiped)
		s.StartLater(3*time.Second, others(s.stores, wiped)...)
		// then no store reports the turn as not found, and the next one continues it.
		s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400, Previous: one.ID})
	})
}

func TestTurn_DiskLostAndAllPowerLost_IsDurable(t *testing.T) {
	seeds(t, 10, func(t *testing.T, seed uint64) {
		// Given a turn that was complete less than 400 ms ago, when one machine loses its disk and all others lose power,
		s := serving(t, seed)
		s.RunFor(5 * time.Second)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400})
		s.RunFor(time.Duration(seed) * 39 * time.Millisecond)
		machines := append(append([]*Machine{}, s.cores...), s.stores...)
		wiped := machines[int(seed)%len(machines)]
		s.LosePower(others(s.tier(), wiped)...)
		s.LoseDisk(wiped)
		for _, m := range s.tier() {
			s.StartLater(s.loop.between(100*time.Millisecond, time.Second), m)
		}
		s.RunFor(2 * time.Second)
		// then the next turn continues it.
		s.within(12*time.Second, "a proxy is ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
		s.completeTurn(s.edges[1], clientRequest{Program: testProgram, Budget: 400, Previous: one.ID})
	})
}

func TestProxy_KilledDuringTurn_TurnIsRetriedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name string
		when func(s *scenario, r *request) bool
	}{
		{"before the stores have begun the turn", func(s *scenario, r *request) bool { return s.Now() > r.Sent+1500*time.Microsecond }},
		{"after the turn was sent", func(s *scenario, r *request) bool { return s.hasRun(r) }},
		{"after the first event", func(_ *scenario, r *request) bool { return len(r.Events) > 0 }},
		{"before the last event", func(s *scenario, r *request) bool {
			return len(r.Events) == eventsOf(r.ID, r.MaxTokens)-1 && s.hasRun(r)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 6, func(t *testing.T, seed uint64) {
				// Given a turn at a proxy, when the proxy is killed at the moment of the case,
				s := serving(t, seed)
				one := s.completeTurn(s.edges[1], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens})
				r := s.begin(s.edges[0], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens, Previous: one.ID})
				s.within(requestTimeout, "the moment comes", func() bool { return r.Outcome != outcomePending || test.when(s, r) })
				s.RunFor(time.Duration(seed) * time.Millisecond)
				s.KillProcess(s.edges[0].processes[1])
				s.within(requestTimeout, "the turn has ended for the client", func() bool { return r.Outcome != outcomePending })
				// then the client can send the turn again to another proxy, and the checkers find no violation: the budget counts what the
				// first attempt may have cost.
				s.completeTurn(s.edges[2], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens, Previous: one.ID})
				for range 4 {
					s.turn(s.edges[2], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens, Previous: one.ID})
				}
			})
		})
	}
}

// hasRun reports whether an endpoint has started to run a request.
func (s *scenario) hasRun(r *request) bool {
	for i := range s.history.runs {
		if s.history.runs[i].ID == r.ID {
			return true
		}
	}
	return false
}

func TestTurn_SentToTwoProxies_RunsWithinBudget(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a turn in progress at one proxy, when the client sends it again through another proxy,
		s := serving(t, seed)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 3 * maxTurnTokens})
		first := s.begin(s.edges[0], clientRequest{Program: testProgram, Budget: 3 * maxTurnTokens, Previous: one.ID})
		s.RunFor(time.Duration(seed) * 2 * time.Millisecond)
		second := s.begin(s.edges[1], clientRequest{Program: testProgram, Budget: 3 * maxTurnTokens, Previous: one.ID})
		s.within(2*requestTimeout, "both have ended", func() bool { return first.Outcome != outcomePending && second.Outcome != outcomePending })
		// then both continue the same chain, each attempt runs at most once, and a further turn is rejected if the budget has no room for it.
		s.turn(s.edges[2], clientRequest{Program: testProgram, Budget: 3 * maxTurnTokens, Previous: second.ID})
	})
}

func TestEndpoint_ReplacedAtSameAddress_RunsNoForeignTurn(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given proxies whose list names a model server at an address, when a tool starts there instead,
		s := serving(t, seed)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 4000})
		s.ReplaceEndpoint(s.endpointMachines[0], toolService)
		// then turns sent there don't run there and are served by other endpoints, both before and after the list shows the change.
		previous := one.ID
		for range 12 {
			previous = s.completeTurn(s.edges[seed%3], clientRequest{Program: testProgram, Budget: 4000, Previous: previous}).ID
			s.RunFor(100 * time.Millisecond)
		}
	})
}

func TestEndpoint_NeverAnswers_NoRequestRunsTwice(t *testing.T) {
	seeds(t, 3, func(t *testing.T, seed uint64) {
		// Given a model server and a tool that run requests but never answer, when turns and tool calls are sent,
		s := serving(t, seed)
		s.endpointMachines[0].processes[0].handler.(*endpoint).neverAnswers = true
		s.endpointMachines[1].processes[0].handler.(*endpoint).neverAnswers = true
		// then none runs twice, and none that ran is answered as not run.
		for range 6 {
			s.clients.send(s.edges[0].processes[1].address, clientRequest{Service: toolService, MaxTokens: 6, Input: []byte("tool")}, nil)
			s.turn(s.edges[0], clientRequest{Program: testProgram, Budget: 4000})
		}
	})
}

func TestTurn_UnknownPrevious_IsNotFound(t *testing.T) {
	// Given a serving tier, when a turn continues one that doesn't exist, then the answer is 404.
	s := serving(t, 1)
	s.RunFor(3 * time.Second)
	r := s.turn(s.edges[0], clientRequest{Program: testProgram, Budget: 400, Previous: "t-none"})
	if r.Status != http.StatusNotFound {
		t.Errorf("got outcome %d, status %d, want status 404", r.Outcome, r.Status)
	}
	// And when no store can confirm that it leads its shard, then the answer isn't 404.
	s.Partition(s.stores, s.stores)
	r = s.turn(s.edges[0], clientRequest{Program: testProgram, Budget: 400, Previous: "t-none"})
	if r.Status == http.StatusNotFound {
		t.Error("got status 404, although no store can confirm that it leads its shard")
	}
}

func TestTurn_ContinuesAnotherProgram_GetsItsChain(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given a turn of one program, when turns of other programs continue it, then they get its chain from its shard.
		s := serving(t, seed)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400})
		for _, program := range []string{"q", "r", "s", "t", "u"} {
			two := s.completeTurn(s.edges[1], clientRequest{Program: program, Budget: 400, Previous: one.ID})
			s.completeTurn(s.edges[2], clientRequest{Program: program, Budget: 400, Previous: two.ID})
		}
	})
}

func TestStore_Decommissioned_LosesNothing(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given a program, when a store is decommissioned and then removed with its disk,
		s := serving(t, seed)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400})
		leaving := s.stores[seed%4]
		status := 0
		s.operator.decommission(leaving.name, func(answer operatorAnswer) { status = answer.Status })
		s.within(confirmTime, "the order is answered", func() bool { return status != 0 })
		if status != http.StatusOK {
			t.Fatalf("the order to decommission the store got status %d, want 200", status)
		}
		s.untilDecommissioned(leaving.name)
		s.LoseDisk(leaving)
		leaving.removed = true
		s.stores = others(s.stores, leaving)
		// then another store may lose its disk without any loss of a turn.
		s.RunFor(5 * time.Second)
		s.LosePower(s.stores[1:]...)
		s.LoseDisk(s.stores[0])
		s.StartLater(500*time.Millisecond, s.stores...)
		s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400, Previous: one.ID})
	})
}

// untilDecommissioned runs until the decommission of a store has finished.
func (s *scenario) untilDecommissioned(node string) {
	s.t.Helper()
	state := ""
	var ask func()
	ask = func() {
		s.operator.decommissionState(node, func(answer operatorAnswer) {
			state = answer.State
			if state != "finished" {
				s.operator.process.after(200*time.Millisecond, ask)
			}
		})
	}
	ask()
	s.within(30*time.Second, "the decommission has finished", func() bool { return state == "finished" })
}

func TestStores_ReplacedOneByOne_KeepChains(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given a program, when stores are replaced by empty ones at other addresses, one after the other,
		s := serving(t, seed)
		previous := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 4000}).ID
		for range 3 {
			s.ReplaceStore(s.stores[0])
			s.RunFor(15 * time.Second)
			// then the next turn continues the previous one.
			previous = s.completeTurn(s.edges[1], clientRequest{Program: testProgram, Budget: 4000, Previous: previous}).ID
		}
	})
}

func TestStore_ThawsAfterElection_ChainAndBudgetHold(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given turns in progress at the leader of a shard that freezes, when another store has become the leader and the old one thaws,
		s := serving(t, seed)
		one := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens})
		leader := s.shardLeader()
		first := s.begin(s.edges[1], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens, Previous: one.ID})
		s.RunFor(time.Duration(seed) * time.Millisecond)
		s.Freeze(leader)
		s.RunFor(3 * time.Second)
		two := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens, Previous: one.ID})
		s.Thaw(leader)
		// then turns continue the newest one, and the budget isn't exceeded.
		s.within(2*requestTimeout, "the turn at the frozen leader has ended", func() bool { return first.Outcome != outcomePending })
		for range 4 {
			s.turn(s.edges[2], clientRequest{Program: testProgram, Budget: 4 * maxTurnTokens, Previous: two.ID})
		}
	})
}
