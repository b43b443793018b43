package membership

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// The longest time of a suspicion, in shortest ones: members that confirm it shorten it.
const suspicionStretch = 3

// confirmationsWanted is how many other members must confirm a suspicion for it to take the shortest time.
const confirmationsWanted = 2

// suspicion is a member's last time to refute.
type suspicion struct {
	by       []string // names of those that found it silent
	wanted   int      // confirmations for the shortest time
	started  time.Duration
	shortest time.Duration
	deadline time.Duration
}

// hear takes in another member's suspicion, and tells whether that is news worth passing on.
func (s *suspicion) hear(update Update) bool {
	news := s.confirm(update.From)
	if update.Confirmed && !s.sure() {
		s.wanted = len(s.by) - 1
		s.schedule()
		return true
	}
	return news
}

// confirm notes one more member that found it silent, and tells whether that is news worth passing on.
func (s *suspicion) confirm(by string) bool {
	if s.sure() || slices.Contains(s.by, by) {
		return false
	}
	s.by = append(s.by, by)
	s.schedule()
	return true
}

// sure tells whether enough members have confirmed it.
func (s *suspicion) sure() bool { return len(s.by) > s.wanted }

// shorten gives it the shortest time: others already take the member for dead.
func (s *suspicion) shorten() { s.deadline = s.started + s.shortest }

func (s *suspicion) postpone(by time.Duration) {
	s.started += by
	s.deadline += by
}

// schedule sets the deadline between the longest and the shortest time by the logarithm of the confirmations.
func (s *suspicion) schedule() {
	confirmed := 1.0
	if !s.sure() {
		confirmed = math.Log(float64(len(s.by))) / math.Log(float64(s.wanted+1))
	}
	longest := float64(s.shortest * suspicionStretch)
	s.deadline = s.started + time.Duration(longest-(longest-float64(s.shortest))*confirmed)
}

// suspect begins a suspicion that another member or this one has voiced.
func (n *Node) suspect(suspected *entry, update Update) {
	before := suspected.Member
	suspected.State = StateSuspect
	suspected.since = n.now
	suspected.suspicion = &suspicion{
		by:       []string{update.From},
		wanted:   min(confirmationsWanted, max(n.table.living-2, 0)),
		started:  n.now,
		shortest: n.widened(n.suspicionTimeout()),
	}
	if update.Confirmed {
		suspected.suspicion.wanted = 0
	}
	suspected.suspicion.schedule()
	n.suspects = append(n.suspects, suspected)
	n.table.members = nil
	n.announce = true
	n.report(MemberSuspected, before, suspected.Member)
	n.broadcastSuspicion(suspected, update.From)
}

func (n *Node) broadcastSuspicion(suspected *entry, by string) {
	n.tell(n.urgent, Update{Member: suspected.Member, From: by, Confirmed: suspected.suspicion.sure()})
}

// suspicionTimeout grows with the number of members, as news then takes longer to reach all.
func (n *Node) suspicionTimeout() time.Duration {
	const unscaled = 4 // doublings: up to 16 members
	doublings := bits.Len(uint(n.table.living))
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
		n.bury(suspected, StateDead, suspected.Incarnation) // takes it out of suspects
	}
}

// bury notes that a member is gone.
func (n *Node) bury(gone *entry, state State, incarnation uint64) {
	before := gone.Member
	member := before
	member.State = state
	member.Incarnation = incarnation
	n.clearSuspicion(gone)
	n.table.replace(gone, member, n.now)
	n.prober.gone = append(n.prober.gone, gone)
	n.dropProbe(gone.Name)
	n.changed()
	n.tell(n.regular, updateOf(member))
	kind := MemberDied
	if state == StateLeft {
		kind = MemberLeft
	}
	n.report(kind, before, member)
}

func (n *Node) clearSuspicion(cleared *entry) {
	if cleared.suspicion == nil {
		return
	}
	cleared.suspicion = nil
	n.suspects = slices.DeleteFunc(n.suspects, func(e *entry) bool { return e == cleared })
}

func (n *Node) report(kind EventKind, before, after Member) {
	n.effects.Events = append(n.effects.Events, Event{kind, before, after})
}
