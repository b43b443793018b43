package simulator

import (
	"time"

	"mastusher/control"
)

// Policy makes the decisions of one relay, as control.Sender does: Step is called once per turn with the events since the last turn, in
// order, and appends its actions to out. It must not retain events or out.
type Policy interface {
	Step(now time.Duration, events []control.Event, out []control.Action) []control.Action
}

// PolicyFactory creates the policy of a relay; the same arguments must create policies that make the same decisions.
type PolicyFactory func(settings control.Settings, seed uint64) (Policy, error)

// DurablePolicy is a policy with a journal that survives a crash, from which it recovers its messages itself.
type DurablePolicy interface {
	Successor() PolicyFactory       // factory of the policy that runs on the same journal after a restart
	Pending(submission uint64) bool // reports whether the journal holds a submission, so that a restarted policy recovers it
}

// TruthObserver is a policy, such as an oracle, that sees the true state of endpoints, which no real relay can.
type TruthObserver interface {
	ObserveTruth(truth func(endpoint uint32) (free int, up bool))
}
