package controller

import (
	"encoding/json"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// Placement replaces the placement of shards, if what it was derived from still stands.
type PlacementProposal struct {
	BaseIndex          uint64                `json:"base"`        // index of the entry that brought the placement before; 0: none yet
	DecommissionsIndex uint64                `json:"retirements"` // index of the newest entry about retirements; 0: none yet
	Shards             []view.ShardPlacement `json:"shards"`
}

// StateMachine is what the configuration shard's members agree on. It implements group.Machine.
type StateMachine struct {
	configuration      *configuration.StateMachine
	placement          []view.ShardPlacement
	placementIndex     uint64
	rollouts           *rollout.StateMachine
	rolloutsIndex      uint64
	decommissions      *decommission.StateMachine
	decommissionsIndex uint64
	changed            func() // published after each change; must not block
}

// NewStateMachine returns an empty state. Changed is told after each change and must not block.
func NewStateMachine(changed func()) *StateMachine {
	return &StateMachine{configuration: configuration.New(), rollouts: rollout.New(), decommissions: decommission.New(), changed: changed}
}

// Apply folds one command in. What it returns is a verdict of the package that the order belongs to.
func (s *StateMachine) Apply(index uint64, raw json.RawMessage) any {
	command, err := decodeCommand(raw)
	if err != nil {
		return err
	}
	defer s.changed()
	switch {
	case command.Configuration != nil:
		return s.configuration.Apply(index, command.Configuration)
	case command.Placement != nil:
		s.applyPlacement(index, command.Placement)
	case command.Rollout != nil:
		s.rolloutsIndex = index
		return s.rollouts.ApplyProposal(index, *command.Rollout)
	case command.ObservedVersion != nil:
		s.rolloutsIndex = index
		s.rollouts.ApplyObservedVersion(*command.ObservedVersion)
	case command.RolloutDecision != nil:
		s.rolloutsIndex = index
		s.rollouts.ApplyDecision(*command.RolloutDecision)
	case command.Decommission != nil:
		s.decommissionsIndex = index
		return s.decommissions.ApplyProposal(index, *command.Decommission)
	case command.DecommissionDecision != nil && command.DecommissionDecision.PlacementIndex == s.placementIndex:
		s.decommissionsIndex = index
		s.decommissions.ApplyDecision(*command.DecommissionDecision)
	}
	return nil
}

// desiredPlacement takes a placement over unless an entry has come in between that it doesn't know of.
func (s *StateMachine) applyPlacement(index uint64, place *PlacementProposal) {
	if place.BaseIndex == s.placementIndex && place.DecommissionsIndex == s.decommissionsIndex {
		s.placement, s.placementIndex = place.Shards, index
	}
}

// Placement returns the placement that has been agreed on, with the index of its entry; 0 if there is none yet.
func (s *StateMachine) Placement() decommission.Placement {
	return decommission.Placement{Index: s.placementIndex, Shards: s.placement}
}

// usableStores lists the stores that may take replicas.
func (s *StateMachine) usableStores(stores []placement.Store) []placement.Store {
	var usable []placement.Store
	for _, store := range stores {
		if !s.decommissions.Excludes(decommission.Store{Node: store.Node, ID: store.ID}) {
			usable = append(usable, store)
		}
	}
	return usable
}

// drainingReplicas lists the identities of replicas that must leave their machines.
func (s *StateMachine) drainingReplicas() map[string]bool {
	leaving := map[string]bool{}
	for _, shard := range s.placement {
		for _, r := range shard.Replicas {
			if s.decommissions.Excludes(decommission.Store{Node: r.Node, ID: r.ID}) {
				leaving[r.ID] = true
			}
		}
	}
	return leaving
}

// snapshot is the state as a snapshot holds it. The configuration stands before the rest, so that it needn't be read again when
// a snapshot is written.
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

// Snapshot implements group.Machine.
func (s *StateMachine) Snapshot() (json.RawMessage, error) {
	register := s.configuration.Snapshot()
	raw := register.Current.Raw
	register.Current.Raw = nil
	rest, err := json.Marshal(snapshot{Configuration: register, Placement: s.placement, PlacementIndex: s.placementIndex,
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

// Restore implements group.Machine.
func (s *StateMachine) Restore(raw json.RawMessage) error {
	var from snapshot
	if err := json.Unmarshal(raw, &from); err != nil {
		return err
	}
	from.Configuration.Current.Raw = from.Raw
	register, err := configuration.Restore(from.Configuration)
	if err != nil {
		return err
	}
	s.configuration = register
	s.placement, s.placementIndex = from.Placement, from.PlacementIndex
	s.rollouts, s.rolloutsIndex = rollout.Restore(from.Rollouts), from.RolloutsIndex
	s.decommissions, s.decommissionsIndex = decommission.Restore(from.Decommissions), from.DecommissionsIndex
	s.changed()
	return nil
}

// UnpublishedSections returns what is to be spread of the agreed state, except for sections that are told already.
func (s *StateMachine) UnpublishedSections(told view.Digest) ([]view.Update, error) {
	var pieces []view.Update
	isNew := func(section view.Section, index uint64) bool {
		return index != 0 && told[section] != view.Stamp{Sequence: index}
	}
	add := func(section view.Section, index uint64, content any) error {
		if !isNew(section, index) {
			return nil
		}
		body, err := json.Marshal(content)
		if err == nil {
			pieces = append(pieces, view.Update{Section: section, Stamp: view.Stamp{Sequence: index}, Body: body})
		}
		return err
	}
	if current := s.configuration.Current(); isNew(view.ConfigurationSection, current.Index) {
		pieces = append(pieces, view.Update{Section: view.ConfigurationSection, Stamp: view.Stamp{Sequence: current.Index},
			Body: view.Config{Raw: current.Raw}.JSON()})
	}
	if err := add(view.PlacementSection, s.placementIndex, view.Placement{Shards: s.placement}); err != nil {
		return nil, err
	}
	if err := add(view.RolloutsSection, s.rolloutsIndex, s.rollouts.Versions()); err != nil {
		return nil, err
	}
	return pieces, nil
}
