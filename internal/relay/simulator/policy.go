package simulator

import (
	"time"

	"mastusher/control"
)

// Policy decides for one relay, as control.Sender does: Step is called once a turn, with the events since the last one in order, and
// appends its actions to out. It must not keep events or out.
type Policy interface {
	Step(now time.Duration, events []control.Event, out []control.Action) []control.Action
}

// PolicyFactory makes a relay's policy; the same arguments must make policies that decide alike.
type PolicyFactory func(settings control.Settings, seed uint64) (Policy, error)

// DurablePolicy is a policy with a journal that outlasts a crash, from which it recovers its messages itself.
type DurablePolicy interface {
	Successor() PolicyFactory   // factory of the policy that a restart runs on the same journal
	Pending(ticket uint64) bool // reports whether the journal has the submission, so that a restart recovers it
}

// TruthObserver is a policy, such as an oracle, that sees the true state of endpoints, which no real relay can.
type TruthObserver interface {
	ObserveTruth(truth func(endpoint uint32) (free int, up bool))
}
