package simulation

import (
	"sync"
	"time"

	"mastusher/internal/tier/standin"
)

// content names a configuration: two with one number differ in their marks.
type content struct {
	Number uint64
	Mark   string
}

// sent is one sending of an order or of a question for the configuration.
type sent struct {
	IsRead   bool
	Base     uint64
	Content  content // ordered, or read
	Valid    bool    // of an order
	Started  time.Duration
	Ended    time.Duration
	Status   int // 0: no answer
	Answered string
}

// versionSeen is a configuration that came in force at a proxy.
type versionSeen struct {
	Proxy       string
	Incarnation int
	Number      uint64
	At          time.Duration
}

// history is what operators and clients have seen.
type history struct {
	mutex    sync.Mutex
	sent     []sent
	versions []versionSeen
	programs []standin.ProgramResult
}

func (h *history) call(s sent) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sent = append(h.sent, s)
}

func (h *history) inForce(seen versionSeen) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.versions = append(h.versions, seen)
}

func (h *history) program(p standin.ProgramResult) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.programs = append(h.programs, p)
}

// wholeTurns lists the turns that their clients got whole.
func (h *history) wholeTurns() []standin.Turn {
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

// orders lists what was ordered so far, each sending by itself.
func (h *history) orders() []sent {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var orders []sent
	for _, s := range h.sent {
		if !s.IsRead {
			orders = append(orders, s)
		}
	}
	return orders
}
