package simulation

import (
	"sync"
	"time"

	"mastusher/internal/tier/standin"
)

// content identifies a configuration: two configurations with the same number differ in their labels.
type content struct {
	Number uint64
	Label  string
}

// operation is one attempt to order or to read a configuration, as its operator saw it.
type operation struct {
	IsRead   bool
	Base     uint64
	Content  content // what was ordered or read
	Valid    bool    // whether an order is valid
	Started  time.Duration
	Ended    time.Duration
	Status   int    // 0: no answer
	Answered string // address of the controller that answered
}

// versionSeen is a configuration that came into force at a proxy.
type versionSeen struct {
	Proxy       string
	Incarnation int
	Number      uint64
	At          time.Duration
}

// history records what operators and clients have seen. Its mutex guards all fields while a day runs.
type history struct {
	mutex      sync.Mutex
	operations []operation
	versions   []versionSeen
	programs   []standin.ProgramResult
}

func (h *history) addOperation(call operation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, call)
}

func (h *history) addVersion(seen versionSeen) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.versions = append(h.versions, seen)
}

func (h *history) addProgram(p standin.ProgramResult) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.programs = append(h.programs, p)
}

// completeTurns returns the turns whose answers arrived completely.
func (h *history) completeTurns() []standin.Turn {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var turns []standin.Turn
	for _, p := range h.programs {
		for _, turn := range p.Outcome.Turns {
			if turn.Complete && turn.Status == statusOK {
				turns = append(turns, turn)
			}
		}
	}
	return turns
}

// orders returns all attempts to send an order so far.
func (h *history) orders() []operation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var orders []operation
	for _, call := range h.operations {
		if !call.IsRead {
			orders = append(orders, call)
		}
	}
	return orders
}
