package controller

import (
	"encoding/json"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// snapshot is the complete state as it is stored. The configuration's document is a field of its own and the first one, so that
// Snapshot can insert it without encoding megabytes again.
type snapshot struct {
	Raw                json.RawMessage        `json:"raw,omitempty"`
	Configuration      configuration.Snapshot `json:"register"`
	Placement          []view.ShardPlacement  `json:"placement"`
	PlacementIndex     uint64                 `json:"placementIndex"`
	Rollouts           rollout.Snapshot       `json:"rollouts"`
	RolloutsIndex      uint64                 `json:"rolloutsIndex"`
	Decommissions      decommission.Snapshot  `json:"retirements"`
	DecommissionsIndex uint64                 `json:"retirementsIndex"`
}

// Snapshot implements group.StateMachine.
func (s *StateMachine) Snapshot() (json.RawMessage, error) {
	current := s.configuration.Snapshot()
	raw := current.Current.Raw
	current.Current.Raw = nil
	rest, err := json.Marshal(snapshot{Configuration: current, Placement: s.placement, PlacementIndex: s.placementIndex,
		Rollouts: s.rollouts.Snapshot(), RolloutsIndex: s.rolloutsIndex,
		Decommissions: s.decommissions.Snapshot(), DecommissionsIndex: s.decommissionsIndex})
	if err != nil || len(raw) == 0 {
		return rest, err
	}
	const before, after = `{"raw":`, `,`
	state := make([]byte, 0, len(before)+len(raw)+len(after)+len(rest))
	state = append(state, before...)
	state = append(state, raw...)
	state = append(state, after...)
	return append(state, rest[1:]...), nil
}

// Restore implements group.StateMachine.
func (s *StateMachine) Restore(raw json.RawMessage) error {
	var from snapshot
	if err := json.Unmarshal(raw, &from); err != nil {
		return err
	}
	from.Configuration.Current.Raw = from.Raw
	restored, err := configuration.Restore(from.Configuration)
	if err != nil {
		return err
	}
	s.configuration = restored
	s.placement, s.placementIndex = from.Placement, from.PlacementIndex
	s.rollouts, s.rolloutsIndex = rollout.Restore(from.Rollouts), from.RolloutsIndex
	s.decommissions, s.decommissionsIndex = decommission.Restore(from.Decommissions), from.DecommissionsIndex
	s.changed()
	return nil
}
