package controller

import (
	"encoding/json"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// PlacementProposal replaces the placement of shards. It is dropped if the placement or decommissioning has changed since it was made.
type PlacementProposal struct {
	BaseIndex          uint64                `json:"base"`        // log index of the placement that it replaces; 0: none
	DecommissionsIndex uint64                `json:"retirements"` // log index of the newest entry about decommissioning; 0: none
	Shards             []view.ShardPlacement `json:"shards"`
}

// StateMachine is the replicated state of the configuration shard. It implements group.StateMachine, and is not safe for
// concurrent use.
type StateMachine struct {
	configuration      *configuration.StateMachine
	placement          []view.ShardPlacement
	placementIndex     uint64
	rollouts           *rollout.StateMachine
	rolloutsIndex      uint64
	decommissions      *decommission.StateMachine
	decommissionsIndex uint64
	changed            func()
}

// NewStateMachine returns an empty state. changed is called after each change and must not block.
func NewStateMachine(changed func()) *StateMachine {
	return &StateMachine{configuration: configuration.New(), rollouts: rollout.New(), decommissions: decommission.New(), changed: changed}
}

// Apply applies a committed command. It returns the Result of the package that decides the proposal, nil for a command without a
// result, or an error if the entry can't be decoded.
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

// applyPlacement replaces the placement, unless the placement or decommissioning has changed since the proposal was made.
func (s *StateMachine) applyPlacement(index uint64, proposal *PlacementProposal) {
	if proposal.BaseIndex == s.placementIndex && proposal.DecommissionsIndex == s.decommissionsIndex {
		s.placement, s.placementIndex = proposal.Shards, index
	}
}

// Placement returns the committed placement, with index 0 if there is none yet.
func (s *StateMachine) Placement() decommission.Placement {
	return decommission.Placement{Index: s.placementIndex, Shards: s.placement}
}

// usableStores lists those of the stores that may get replicas.
func (s *StateMachine) usableStores(stores []placement.Store) []placement.Store {
	var usable []placement.Store
	for _, store := range stores {
		if !s.decommissions.Excludes(decommission.Store{Node: store.Node, ID: store.ID}) {
			usable = append(usable, store)
		}
	}
	return usable
}

// drainingReplicas returns the identities of replicas that must move away from their stores.
func (s *StateMachine) drainingReplicas() map[string]bool {
	draining := map[string]bool{}
	for _, shard := range s.placement {
		for _, r := range shard.Replicas {
			if s.decommissions.Excludes(decommission.Store{Node: r.Node, ID: r.ID}) {
				draining[r.ID] = true
			}
		}
	}
	return draining
}
