package membership

// EventKind says what happened to a member. The text stands in log lines.
type EventKind string

// The kinds of event.
const (
	MemberJoined    EventKind = "joined"    // it was not known, or it was dead or had left
	MemberUpdated   EventKind = "updated"   // it refuted a suspicion, or another process has its name now
	MemberSuspected EventKind = "suspected" // it became StateSuspect
	MemberDied      EventKind = "died"      // it became StateDead
	MemberLeft      EventKind = "departed"  // it became StateLeft
)

// Event reports a member whose state or description has changed.
type Event struct {
	Kind     EventKind
	Previous Member // zero when the member was not known
	Member   Member // as it is now
}

// emit adds an event to the effects of this Step.
func (n *Node) emit(kind EventKind, previous, current Member) {
	n.effects.Events = append(n.effects.Events, Event{kind, previous, current})
}
