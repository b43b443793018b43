package membership

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// The longest time of a suspicion, in shortest ones: members that confirm it shorten it.
const suspicionMaxTimeoutMult = 3

// suspicionConfirmations is how many other members must confirm a suspicion for it to take the shortest time.
const suspicionConfirmations = 2

// suspicion is a member's last time to refute.
type suspicion struct {
	from       []string // names of those that found it silent
	required   int      // confirmations for the shortest time
	started    time.Duration
	minTimeout time.Duration
	deadline   time.Duration
}

// merge takes in another member's suspicion, and tells whether that is news worth passing on.
func (s *suspicion) merge(update Update) bool {
	news := s.confirm(update.From)
	if update.Confirmed && !s.isConfirmed() {
		s.required = len(s.from) - 1
		s.updateDeadline()
		return true
	}
	return news
}

// confirm notes one more member that found it silent, and tells whether that is news worth passing on.
func (s *suspicion) confirm(by string) bool {
	if s.isConfirmed() || slices.Contains(s.from, by) {
		return false
	}
	s.from = append(s.from, by)
	s.updateDeadline()
	return true
}

// isConfirmed tells whether enough members have confirmed it.
func (s *suspicion) isConfirmed() bool { return len(s.from) > s.required }

// useMinTimeout gives it the shortest time: others already take the member for dead.
func (s *suspicion) useMinTimeout() { s.deadline = s.started + s.minTimeout }

func (s *suspicion) postpone(by time.Duration) {
	s.started += by
	s.deadline += by
}

// updateDeadline sets the deadline between the longest and the shortest time by the logarithm of the confirmations.
func (s *suspicion) updateDeadline() {
	confirmed := 1.0
	if !s.isConfirmed() {
		confirmed = math.Log(float64(len(s.from))) / math.Log(float64(s.required+1))
	}
	longest := float64(s.minTimeout * suspicionMaxTimeoutMult)
	s.deadline = s.started + time.Duration(longest-(longest-float64(s.minTimeout))*confirmed)
}

// startSuspicion begins a suspicion that another member or this one has voiced.
func (n *Node) startSuspicion(suspected *entry, update Update) {
	before := suspected.Member
	suspected.State = StateSuspect
	suspected.stateChange = n.now
	suspected.suspicion = &suspicion{
		from:       []string{update.From},
		required:   min(suspicionConfirmations, max(n.table.liveCount-2, 0)),
		started:    n.now,
		minTimeout: n.scaleTimeout(n.suspicionTimeout()),
	}
	if update.Confirmed {
		suspected.suspicion.required = 0
	}
	suspected.suspicion.updateDeadline()
	n.suspects = append(n.suspects, suspected)
	n.table.members = nil
	n.gossipDue = true
	n.emit(MemberSuspected, before, suspected.Member)
	n.broadcastSuspicion(suspected, update.From)
}

func (n *Node) broadcastSuspicion(suspected *entry, by string) {
	n.broadcast(n.priority, Update{Member: suspected.Member, From: by, Confirmed: suspected.suspicion.isConfirmed()})
}

// suspicionTimeout grows with the number of members, as news then takes longer to reach all.
func (n *Node) suspicionTimeout() time.Duration {
	const unscaled = 4 // doublings: up to 16 members
	doublings := bits.Len(uint(n.table.liveCount))
	return n.options.SuspicionTimeout * time.Duration(max(doublings, unscaled)) / unscaled
}

// expireSuspicions takes for dead those that did not refute in time.
func (n *Node) expireSuspicions() {
	for i := 0; i < len(n.suspects); {
		suspected := n.suspects[i]
		if n.now < suspected.suspicion.deadline {
			i++
			continue
		}
		n.markDeadOrLeft(suspected, StateDead, suspected.Incarnation) // takes it out of suspects
	}
}

func (n *Node) clearSuspicion(cleared *entry) {
	if cleared.suspicion == nil {
		return
	}
	cleared.suspicion = nil
	n.suspects = slices.DeleteFunc(n.suspects, func(e *entry) bool { return e == cleared })
}
