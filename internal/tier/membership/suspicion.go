package membership

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// suspicionMaxTimeoutMult is the timeout of a suspicion without confirmations, in multiples of the minimum timeout.
const suspicionMaxTimeoutMult = 3

// suspicionConfirmations is the number of other members that must confirm a suspicion to apply the minimum timeout (Lifeguard's K).
const suspicionConfirmations = 2

// suspicion is the timer between suspect and dead (Lifeguard's LHA-Suspicion). Confirmations by other members shorten it.
type suspicion struct {
	from       []string // names of the members that suspect the entry's member
	required   int      // number of confirmations that apply the minimum timeout
	started    time.Duration
	minTimeout time.Duration
	deadline   time.Duration // when the member is declared dead
}

// merge applies another member's update about the same suspicion, and reports whether to broadcast the change.
func (s *suspicion) merge(update Update) bool {
	changed := s.confirm(update.From)
	if update.Confirmed && !s.isConfirmed() {
		s.required = len(s.from) - 1
		s.updateDeadline()
		return true
	}
	return changed
}

// confirm adds a member's confirmation, and reports whether to broadcast it. Confirmations beyond the required number are not
// broadcast, which bounds the messages.
func (s *suspicion) confirm(name string) bool {
	if s.isConfirmed() || slices.Contains(s.from, name) {
		return false
	}
	s.from = append(s.from, name)
	s.updateDeadline()
	return true
}

// isConfirmed reports whether enough members confirm the suspicion to apply the minimum timeout.
func (s *suspicion) isConfirmed() bool { return len(s.from) > s.required }

// useMinTimeout applies the minimum timeout, as another member has already declared the member dead.
func (s *suspicion) useMinTimeout() { s.deadline = s.started + s.minTimeout }

// postpone extends the suspicion by the time for which this process was frozen.
func (s *suspicion) postpone(by time.Duration) {
	s.started += by
	s.deadline += by
}

// updateDeadline sets the deadline between the maximum and the minimum timeout by the logarithm of the number of confirmations.
func (s *suspicion) updateDeadline() {
	shortening := 1.0
	if !s.isConfirmed() {
		shortening = math.Log(float64(len(s.from))) / math.Log(float64(s.required+1))
	}
	maxTimeout := float64(s.minTimeout * suspicionMaxTimeoutMult)
	s.deadline = s.started + time.Duration(maxTimeout-(maxTimeout-float64(s.minTimeout))*shortening)
}

// startSuspicion makes an alive member suspect, after another member's update or a failed probe of this node.
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

// broadcastSuspicion queues an update that the member named from suspects another member, ahead of joins and deaths.
func (n *Node) broadcastSuspicion(suspected *entry, from string) {
	n.broadcast(n.priority, Update{Member: suspected.Member, From: from, Confirmed: suspected.suspicion.isConfirmed()})
}

// suspicionTimeout returns the minimum timeout before local health scaling. It grows with the logarithm of the number of members, as
// does the time in which an update reaches all of them.
func (n *Node) suspicionTimeout() time.Duration {
	const unscaled = 4 // number of doublings up to which the timeout does not grow: up to 16 members
	doublings := bits.Len(uint(n.table.liveCount))
	return n.options.SuspicionTimeout * time.Duration(max(doublings, unscaled)) / unscaled
}

// expireSuspicions declares dead the members that have not refuted their suspicion in time.
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

// clearSuspicion ends the suspicion of a member, if any.
func (n *Node) clearSuspicion(cleared *entry) {
	if cleared.suspicion == nil {
		return
	}
	cleared.suspicion = nil
	n.suspects = slices.DeleteFunc(n.suspects, func(e *entry) bool { return e == cleared })
}
