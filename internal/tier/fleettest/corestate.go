package fleettest

import (
	"encoding/json"

	"mastusher/internal/tier/configuration"
	core "mastusher/internal/tier/controller"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
)

// agreedView is what is read of the agreed state for operators.
type agreedView struct {
	Raw         json.RawMessage     `json:"raw"` // the register's configuration
	Register    configuration.State `json:"register"`
	Rollouts    rollout.Saved       `json:"rollouts"`
	Retirements json.RawMessage     `json:"retirements"`
}

// viewOf reads the agreed state.
func viewOf(machine *core.Machine) (agreedView, error) {
	var read agreedView
	state, err := machine.Snapshot()
	if err == nil {
		err = json.Unmarshal(state, &read)
	}
	read.Register.Current.Raw = read.Raw
	return read, err
}

// retirementOf reads what has become of the order to empty a machine.
func (v *agreedView) retirementOf(node string) (decommission.Retirement, bool) {
	var saved decommission.Saved
	if err := json.Unmarshal(v.Retirements, &saved); err != nil {
		return decommission.Retirement{}, false
	}
	return decommission.Restore(saved).Retirement(node)
}
