package membership

import (
	"fmt"
	"slices"
	"time"
)

// host is one machine with one process.
type host struct {
	member         Member
	seeds          []string
	node           *Node // nil while the host is down
	starts         int
	version        uint64 // of the wake-up timer; timers of older versions are ignored
	immediateSteps int    // consecutive steps that asked for an immediate wake-up
	frozen         bool
	pending        Input         // arrived while the host was frozen
	lag            time.Duration // delay of all input and timers of a slow process
	events         []timedEvent
	suspicions     []timedSuspicion
	sent           int
	bytes          int
	steps          int
}

// maxImmediateSteps bounds the consecutive steps that ask for an immediate wake-up, to detect an endless loop.
const maxImmediateSteps = 1000

type timedEvent struct {
	At time.Duration
	Event
}

// timedSuspicion records when a host itself first suspected a member.
type timedSuspicion struct {
	at          time.Duration
	name        string
	incarnation uint64
}

// recordSuspicions records the suspicions that a host originates, not those that it forwards.
func (h *host) recordSuspicions(at time.Duration, updates []Update) {
	for _, update := range updates {
		if update.State != StateSuspect || update.From != h.member.Name {
			continue
		}
		known := func(a timedSuspicion) bool {
			return a.name == update.Name && a.incarnation == update.Incarnation
		}
		if !slices.ContainsFunc(h.suspicions, known) {
			h.suspicions = append(h.suspicions, timedSuspicion{at, update.Name, update.Incarnation})
		}
	}
}

// live lists the names of the members that a host considers alive or suspect.
func (h *host) live() []string {
	var names []string
	for _, member := range h.node.Members() {
		if !member.DeadOrLeft() {
			names = append(names, member.Name)
		}
	}
	return names
}

// running lists the hosts whose process runs.
func (c *cluster) running() []*host {
	var running []*host
	for _, h := range c.hosts {
		if h.node != nil {
			running = append(running, h)
		}
	}
	return running
}

// converged reports whether each running host considers exactly the running ones live.
func (c *cluster) converged() bool { return c.convergedAmong(c.running()) }

func (c *cluster) convergedAmong(group []*host) bool {
	var names []string
	for _, h := range group {
		names = append(names, h.member.Name)
	}
	slices.Sort(names)
	for _, h := range group {
		if h.node.table.liveCount+1 != len(names) { // cheaper than comparing names
			return false
		}
	}
	for _, h := range group {
		if !slices.Equal(h.live(), names) {
			return false
		}
	}
	return true
}

// disagreements lists the number of live members at each running host.
func (c *cluster) disagreements() string {
	text := ""
	for _, h := range c.running() {
		if len(text) < 2000 {
			text += fmt.Sprintf("%s has %d live members\n", h.member.Name, len(h.live()))
		}
	}
	return text
}

// died lists the deaths that hosts have reported since a time, except those of the expected members.
func (c *cluster) died(since time.Duration, expected ...string) []string {
	var deaths []string
	for _, h := range c.hosts {
		for _, change := range h.events {
			if change.Kind == MemberDied && change.At >= since && !slices.Contains(expected, change.Member.Name) {
				deaths = append(deaths, fmt.Sprintf("%v %s: %s", change.At, h.member.Name, change.Member.Name))
			}
		}
	}
	return deaths
}
