package fleettest

import (
	"encoding/json"

	"mastusher/internal/system/configuration"
	core "mastusher/internal/system/controller"
	"mastusher/internal/system/retire"
	"mastusher/internal/system/rollout"
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
func (v *agreedView) retirementOf(node string) (retire.Retirement, bool) {
	var saved retire.Saved
	if err := json.Unmarshal(v.Retirements, &saved); err != nil {
		return retire.Retirement{}, false
	}
	return retire.Restore(saved).Retirement(node)
}
