package membership

// EventKind tells what has become of a member.
type EventKind string

// The kinds of change.
const (
	MemberJoined    EventKind = "joined"    // it is new, or back
	MemberUpdated   EventKind = "updated"   // it is another process now, or it refuted a suspicion
	MemberSuspected EventKind = "suspected" // StateSuspect
	MemberDied      EventKind = "died"      // StateDead
	MemberLeft      EventKind = "departed"  // StateLeft
)

// Event reports a member whose state or description is new.
type Event struct {
	Kind     EventKind
	Previous Member // zero when the member was not known
	Member   Member
}

func (n *Node) emit(kind EventKind, before, after Member) {
	n.effects.Events = append(n.effects.Events, Event{kind, before, after})
}
