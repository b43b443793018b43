package simulator

import (
	"time"

	"mastusher/control"
)

// Policy decides for one relay, as control.Sender does.
type Policy interface {
	Step(now time.Duration, events []control.Event, out []control.Action) []control.Action
}

// PolicyFactory makes a relay's policy. A policy that implements TruthObserver is shown the true state.
type PolicyFactory func(settings control.Settings, seed uint64) (Policy, error)

// DurablePolicy is a policy whose journal outlasts a crash: it knows itself what it holds.
type DurablePolicy interface {
	Successor() PolicyFactory   // makes the one that is started next
	Pending(ticket uint64) bool // tells whether that will take a message up again
}

// TruthObserver is a policy that is shown what no relay can see.
type TruthObserver interface {
	ObserveTruth(truth func(endpoint uint32) (free int, up bool))
}
