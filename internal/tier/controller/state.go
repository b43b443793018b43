package controller

import (
	"encoding/json"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// Place replaces the placement of shards, if what it was derived from still stands.
type Place struct {
	Base        uint64                `json:"base"`        // index of the entry that brought the placement before; 0: none yet
	Retirements uint64                `json:"retirements"` // index of the newest entry about retirements; 0: none yet
	Shards      []view.ShardPlacement `json:"shards"`
}

// Machine is what the configuration shard's members agree on. It implements group.StateMachine.
type Machine struct {
	register         *configuration.Register
	placement        []view.ShardPlacement
	placementIndex   uint64
	rollouts         *rollout.Register
	rolloutsIndex    uint64
	retirements      *decommission.Register
	retirementsIndex uint64
	changed          func() // told after each change; must not block
}

// NewMachine returns an empty state. Changed is told after each change and must not block.
func NewMachine(changed func()) *Machine {
	return &Machine{register: configuration.New(), rollouts: rollout.New(), retirements: decommission.New(), changed: changed}
}

// Apply folds one command in. What it returns is a verdict of the package that the order belongs to.
func (s *Machine) Apply(index uint64, raw json.RawMessage) any {
	command, err := readCommand(raw)
	if err != nil {
		return err
	}
	defer s.changed()
	switch {
	case command.Configure != nil:
		return s.register.Apply(index, command.Configure)
	case command.Place != nil:
		s.place(index, command.Place)
	case command.Rollout != nil:
		s.rolloutsIndex = index
		return s.rollouts.Order(index, *command.Rollout)
	case command.Seen != nil:
		s.rolloutsIndex = index
		s.rollouts.See(*command.Seen)
	case command.Decide != nil:
		s.rolloutsIndex = index
		s.rollouts.Decide(*command.Decide)
	case command.Retire != nil:
		s.retirementsIndex = index
		return s.retirements.Order(index, *command.Retire)
	case command.Retired != nil && command.Retired.Placement == s.placementIndex:
		s.retirementsIndex = index
		s.retirements.Decide(*command.Retired)
	}
	return nil
}

// place takes a placement over unless an entry has come in between that it doesn't know of.
func (s *Machine) place(index uint64, place *Place) {
	if place.Base == s.placementIndex && place.Retirements == s.retirementsIndex {
		s.placement, s.placementIndex = place.Shards, index
	}
}

// Placement returns the placement that has been agreed on, with the index of its entry; 0 if there is none yet.
func (s *Machine) Placement() decommission.Placement {
	return decommission.Placement{Index: s.placementIndex, Shards: s.placement}
}

// usable lists the stores that may take replicas.
func (s *Machine) usable(stores []placement.Store) []placement.Store {
	var usable []placement.Store
	for _, store := range stores {
		if !s.retirements.Excludes(decommission.Machine{Node: store.Node, ID: store.ID}) {
			usable = append(usable, store)
		}
	}
	return usable
}

// retiring lists the identities of replicas that must leave their machines.
func (s *Machine) retiring() map[string]bool {
	leaving := map[string]bool{}
	for _, shard := range s.placement {
		for _, r := range shard.Replicas {
			if s.retirements.Excludes(decommission.Machine{Node: r.Node, ID: r.ID}) {
				leaving[r.ID] = true
			}
		}
	}
	return leaving
}

// saved is the state as a snapshot holds it. The configuration stands before the rest, so that it needn't be read again when
// a snapshot is written.
type saved struct {
	Raw              json.RawMessage       `json:"raw,omitempty"`
	Register         configuration.State   `json:"register"`
	Placement        []view.ShardPlacement `json:"placement"`
	PlacementIndex   uint64                `json:"placementIndex"`
	Rollouts         rollout.Saved         `json:"rollouts"`
	RolloutsIndex    uint64                `json:"rolloutsIndex"`
	Retirements      decommission.Saved    `json:"retirements"`
	RetirementsIndex uint64                `json:"retirementsIndex"`
}

// Snapshot implements group.StateMachine.
func (s *Machine) Snapshot() (json.RawMessage, error) {
	register := s.register.State()
	raw := register.Current.Raw
	register.Current.Raw = nil
	rest, err := json.Marshal(saved{Register: register, Placement: s.placement, PlacementIndex: s.placementIndex,
		Rollouts: s.rollouts.Saved(), RolloutsIndex: s.rolloutsIndex,
		Retirements: s.retirements.Saved(), RetirementsIndex: s.retirementsIndex})
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
func (s *Machine) Restore(raw json.RawMessage) error {
	var from saved
	if err := json.Unmarshal(raw, &from); err != nil {
		return err
	}
	from.Register.Current.Raw = from.Raw
	register, err := configuration.Restore(from.Register)
	if err != nil {
		return err
	}
	s.register = register
	s.placement, s.placementIndex = from.Placement, from.PlacementIndex
	s.rollouts, s.rolloutsIndex = rollout.Restore(from.Rollouts), from.RolloutsIndex
	s.retirements, s.retirementsIndex = decommission.Restore(from.Retirements), from.RetirementsIndex
	s.changed()
	return nil
}

// Pieces returns what is to be spread of the agreed state, except for sections that are told already.
func (s *Machine) Pieces(told view.Digest) ([]view.Update, error) {
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
	if current := s.register.Current(); isNew(view.ConfigurationSection, current.Index) {
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
