package fleettest

import (
	"encoding/json"

	"mastusher/internal/tier/configuration"
	core "mastusher/internal/tier/controller"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
)

// committedState is the part of the configuration group's state that operators can read.
type committedState struct {
	Raw           json.RawMessage        `json:"raw"` // the register's configuration
	Register      configuration.Snapshot `json:"register"`
	Rollouts      rollout.Snapshot       `json:"rollouts"`
	Decommissions json.RawMessage        `json:"retirements"`
}

// decodeState decodes the state of the configuration group.
func decodeState(machine *core.StateMachine) (committedState, error) {
	var read committedState
	state, err := machine.Snapshot()
	if err == nil {
		err = json.Unmarshal(state, &read)
	}
	read.Register.Current.Raw = read.Raw
	return read, err
}

// decommissionOf returns the state of the order to decommission a node, and whether there is one.
func (s *committedState) decommissionOf(node string) (decommission.Operation, bool) {
	var saved decommission.Snapshot
	if err := json.Unmarshal(s.Decommissions, &saved); err != nil {
		return decommission.Operation{}, false
	}
	return decommission.Restore(saved).Operation(node)
}
