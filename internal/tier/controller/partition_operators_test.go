package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// startOperators starts the operators: for each machine one that replaces the configuration and one that reads states, and for all
// machines together one that orders roll-outs and one that orders decommissioning.
func (s *scenario) startOperators() {
	for _, m := range s.cluster.machines {
		s.active.Go(func() { s.configure(m.number) })
		s.active.Go(func() { s.readStates(m.number) })
	}
	s.active.Go(s.rollOut)
	s.active.Go(s.decommission)
}

// random returns the random source of one operator.
func (s *scenario) random(machine int, operator uint64) *rand.Rand {
	const streams = 8
	return rand.New(rand.NewPCG(s.seed*streams+uint64(machine), operator))
}

// sleepBetweenCalls sleeps for a random time of up to maxCallDelay.
func sleepBetweenCalls(random *rand.Rand) {
	time.Sleep(time.Duration(random.Int64N(int64(maxCallDelay))))
}

func (s *scenario) call(machine int, method, path, body string, order *sentOrder) *callResult {
	base := ""
	if order != nil {
		base = strconv.FormatUint(order.base, 10)
	}
	a := s.cluster.call(machine, method, path, body, base)
	a.order = order
	s.mutex.Lock()
	s.history.results = append(s.history.results, a)
	s.mutex.Unlock()
	return a
}

// configure repeatedly reads the configuration from a machine and replaces it.
func (s *scenario) configure(machine int) {
	random := s.random(machine, 1)
	for ; !s.isOver(); sleepBetweenCalls(random) {
		s.replace(machine, s.read(machine), random)
	}
}

// read returns the number of the configuration that a machine returns; 0: none.
func (s *scenario) read(machine int) uint64 {
	var parsed struct{ Number uint64 }
	if a := s.call(machine, http.MethodGet, settingsPath, "", nil); a.code == http.StatusOK {
		if err := json.Unmarshal([]byte(a.body), &parsed); err != nil {
			s.t.Error(err)
		}
	}
	return parsed.Number
}

// replace sends a configuration to a machine, and while responses are inconclusive the same one to random machines.
func (s *scenario) replace(machine int, base uint64, random *rand.Rand) {
	const sends = 4
	order := s.newOrder(base)
	for range sends {
		a := s.call(machine, http.MethodPut, settingsPath, document(int(order.number)), order)
		if a.code == http.StatusOK || a.code == http.StatusPreconditionFailed || a.code == http.StatusBadRequest {
			return
		}
		machine = random.IntN(len(s.cluster.machines))
		sleepBetweenCalls(random)
	}
}

func (s *scenario) newOrder(base uint64) *sentOrder {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.numbers++
	order := &sentOrder{base: base, number: max(s.numbers, base+1), at: time.Now()}
	s.numbers = order.number
	s.history.orders = append(s.history.orders, order)
	return order
}

// readStates repeatedly reads the configuration and the states of roll-outs and decommissioning from a machine.
func (s *scenario) readStates(machine int) {
	random := s.random(machine, 2)
	for ; !s.isOver(); sleepBetweenCalls(random) {
		for _, path := range []string{settingsPath, rolloutsPath + "/lm", retirePath + "storage-1", retirePath + joiningStore} {
			s.call(machine, http.MethodGet, path, "", nil)
		}
	}
}

// rollOut orders roll-outs of one version after the other, each once the previous one has ended.
func (s *scenario) rollOut() {
	random := s.random(0, 3)
	for version := uint64(1); !s.isOver(); version++ {
		order := &sentOrder{number: version, at: time.Now()}
		body := fmt.Sprintf(`{"service":"lm","target":%q,"overS":0.9}`, order.target())
		for !s.isOver() && s.call(random.IntN(len(s.cluster.machines)), http.MethodPost, rolloutsPath, body, order).code != http.StatusOK {
			sleepBetweenCalls(random)
		}
		for !s.isOver() {
			a := s.call(random.IntN(len(s.cluster.machines)), http.MethodGet, rolloutsPath+"/lm", "", nil)
			if a.code == http.StatusOK && !strings.Contains(a.body, "in_service") {
				break
			}
			sleepBetweenCalls(random)
		}
	}
}

// decommission repeatedly orders the decommissioning of machines.
func (s *scenario) decommission() {
	random := s.random(0, 4)
	for ; !s.isOver(); sleepBetweenCalls(random) {
		s.cluster.mutex.Lock()
		joined := s.cluster.joined
		s.cluster.mutex.Unlock()
		nodes := map[string]time.Time{"storage-1": {}, "storage-2": {}}
		if !joined.IsZero() {
			nodes[joiningStore] = joined.Add(time.Second)
		}
		for _, node := range []string{"storage-1", "storage-2", joiningStore} {
			if known, ok := nodes[node]; ok {
				s.call(random.IntN(len(s.cluster.machines)), http.MethodPost, retirePath+node, `{"overS":10}`, &sentOrder{at: known})
			}
		}
	}
}
