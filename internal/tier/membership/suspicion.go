package membership

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// suspicionMaxTimeoutMult is the time-out of a suspicion without confirmations, in multiples of the minimum.
const suspicionMaxTimeoutMult = 3

// suspicionConfirmations is how many other members must confirm a suspicion for the minimum time-out (Lifeguard's K).
const suspicionConfirmations = 2

// suspicion is the timer between suspect and dead (Lifeguard's LHA-Suspicion): the more members confirm it, the shorter.
type suspicion struct {
	from       []string // names of the members that suspect it
	required   int      // confirmations for the minimum time-out
	started    time.Duration
	minTimeout time.Duration
	deadline   time.Duration // when the member is declared dead
}

// merge takes in an update that another member suspects the same one, and reports whether to broadcast it.
func (s *suspicion) merge(update Update) bool {
	changed := s.confirm(update.From)
	if update.Confirmed && !s.isConfirmed() {
		s.required = len(s.from) - 1
		s.updateDeadline()
		return true
	}
	return changed
}

// confirm counts one more member that suspects it, and reports whether to broadcast that. Only confirmations up to the
// required number are broadcast, so that their number stays bounded.
func (s *suspicion) confirm(name string) bool {
	if s.isConfirmed() || slices.Contains(s.from, name) {
		return false
	}
	s.from = append(s.from, name)
	s.updateDeadline()
	return true
}

// isConfirmed reports whether enough members confirm it for the minimum time-out.
func (s *suspicion) isConfirmed() bool { return len(s.from) > s.required }

// useMinTimeout gives it the minimum time-out: others consider the member dead already.
func (s *suspicion) useMinTimeout() { s.deadline = s.started + s.minTimeout }

// postpone gives back the time in which this process was frozen.
func (s *suspicion) postpone(by time.Duration) {
	s.started += by
	s.deadline += by
}

// updateDeadline sets the deadline between the maximum and the minimum time-out by the logarithm of the confirmations.
func (s *suspicion) updateDeadline() {
	shortening := 1.0
	if !s.isConfirmed() {
		shortening = math.Log(float64(len(s.from))) / math.Log(float64(s.required+1))
	}
	maxTimeout := float64(s.minTimeout * suspicionMaxTimeoutMult)
	s.deadline = s.started + time.Duration(maxTimeout-(maxTimeout-float64(s.minTimeout))*shortening)
}

// startSuspicion makes a live member a suspect, on an update of another member or after a probe of this node failed.
func (n *Node) startSuspicion(suspected *entry, update Update) {
	previous := suspected.Member
	suspected.State = StateSuspect
	suspected.stateChange = n.now
	suspected.suspicion = &suspicion{
		from:       []string{update.From},
		required:   min(suspicionConfirmations, max(n.table.liveCount-2, 0)),
		started:    n.now,
		minTimeout: n.awareness.scaleTimeout(n.suspicionTimeout()),
	}
	if update.Confirmed {
		suspected.suspicion.required = 0
	}
	suspected.suspicion.updateDeadline()
	n.suspects = append(n.suspects, suspected)
	n.table.members = nil
	n.gossipDue = true
	n.emit(MemberSuspected, previous, suspected.Member)
	n.broadcastSuspicion(suspected, update.From)
}

// broadcastSuspicion queues the update that a member suspects another one, ahead of joins and deaths.
func (n *Node) broadcastSuspicion(suspected *entry, from string) {
	n.broadcast(n.priority, Update{Member: suspected.Member, From: from, Confirmed: suspected.suspicion.isConfirmed()})
}

// suspicionTimeout is the minimum time-out. It grows with the logarithm of the number of members, as an update then takes
// longer to reach all.
func (n *Node) suspicionTimeout() time.Duration {
	const unscaled = 4 // doublings: no growth up to 16 members
	doublings := bits.Len(uint(n.table.liveCount))
	return n.options.SuspicionTimeout * time.Duration(max(doublings, unscaled)) / unscaled
}

// expireSuspicions declares dead the members that did not refute in time.
func (n *Node) expireSuspicions() {
	for i := 0; i < len(n.suspects); {
		suspected := n.suspects[i]
		if n.now < suspected.suspicion.deadline {
			i++
			continue
		}
		n.markDeadOrLeft(suspected, StateDead, suspected.Incarnation) // removes it from suspects
	}
}

// clearSuspicion ends the suspicion of a member, if there is one.
func (n *Node) clearSuspicion(cleared *entry) {
	if cleared.suspicion == nil {
		return
	}
	cleared.suspicion = nil
	n.suspects = slices.DeleteFunc(n.suspects, func(e *entry) bool { return e == cleared })
}
