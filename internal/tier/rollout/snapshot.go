package rollout

import (
	"maps"
	"slices"
)

// Snapshot is the complete state of a StateMachine in its stored form.
type Snapshot struct {
	Current  map[string]string  `json:"current"`
	Rollouts map[string]Rollout `json:"rolls"`
	Recent   []RecentProposal   `json:"recent,omitempty"`
}

// Snapshot returns the complete state. It shares the state machine's maps and slice: the caller must encode it before the next
// entry is applied.
func (s *StateMachine) Snapshot() Snapshot {
	return Snapshot{Current: s.current, Rollouts: s.rollouts, Recent: s.recent}
}

// Restore returns a state machine with the state of a snapshot.
func Restore(snapshot Snapshot) *StateMachine {
	s := New()
	maps.Copy(s.current, snapshot.Current)
	maps.Copy(s.rollouts, snapshot.Rollouts)
	s.recent = slices.Clone(snapshot.Recent)
	return s
}
