package membership

// EventKind is what happened to a member. Log lines contain its text.
type EventKind string

// The kinds of event.
const (
	MemberJoined    EventKind = "joined"    // the member was unknown, dead or had left
	MemberUpdated   EventKind = "updated"   // the member refuted a suspicion, or a new process has its name
	MemberSuspected EventKind = "suspected" // the state became StateSuspect
	MemberDied      EventKind = "died"      // the state became StateDead
	MemberLeft      EventKind = "departed"  // the state became StateLeft
)

// Event reports a member whose state or description has changed.
type Event struct {
	Kind     EventKind
	Previous Member // before the change; zero if the member was unknown
	Member   Member // after the change
}

// emit adds an event to the effects of this Step.
func (n *Node) emit(kind EventKind, previous, current Member) {
	n.effects.Events = append(n.effects.Events, Event{kind, previous, current})
}
