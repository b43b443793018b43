package plugin

import (
	"context"
	"fmt"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
)

// ABI 2: the host calls a function without arguments for each phase, and the module asks for what it needs. The host
// never allocates in the module and writes only into room that the module offers in that very call.

// moduleABI2 is the name that a module of ABI 2 imports from.
const moduleABI2 = "mastusher_v2"

// markerABI2 is exported by each module of ABI 2: () -> i32, the mask of phases that it takes part in.
const markerABI2 = "mastusher_abi_2"

// exportsABI2 are the functions that a module of ABI 2 may have for phases: () -> i32, 0 for success.
var exportsABI2 = map[Phase]string{Arrival: "on_arrival", Answer: "on_answer", End: "on_end"}

// Fields of a call, by their numbers in the interface.
const (
	fieldFront = iota
	fieldID
	fieldKey
	fieldClass
	fieldBody
	fieldDestination
	fieldResult
	fieldConfig
	fieldName
)

// Numbers of a call, by their numbers in the interface.
const (
	numberPhase = iota
	numberPartner
	numberTimeLeft // ms
	numberResubmitted
	numberStatus
	numberRetryAfter // ms that the destination has told
	numberResult
	numberNow // Unix ms
)

// exportABI2 makes the imports of ABI 2 known to a runtime.
func exportABI2(ctx context.Context, r wazero.Runtime) error {
	builder := r.NewHostModuleBuilder(moduleABI2)
	for _, f := range hostFunctions {
		builder.NewFunctionBuilder().WithGoModuleFunction(api.GoModuleFunc(func(ctx context.Context, m api.Module, stack []uint64) {
			w := workerOf(ctx)
			if w.call == nil || w.tx == nil { // while it starts there is no message to speak of
				panic(ErrNoMessage)
			}
			f.do(w, m.Memory(), stack)
		}), f.params, f.results).Export(f.name)
	}
	_, err := builder.Instantiate(ctx)
	return err
}

// phasesABI2 asks the module for its phases.
func (w *worker) phasesABI2(ctx context.Context) (Phase, error) {
	if err := w.module.ExportedFunction(markerABI2).CallWithStack(ctx, w.stack[:]); err != nil {
		return 0, fmt.Errorf("%s: %w", markerABI2, engineError(err))
	}
	mask := uint32(w.stack[0])
	phases := Phase(mask)
	if phases&^(Arrival|Answer|End) != 0 {
		return 0, &PhaseMaskError{Mask: mask}
	}
	for phase, name := range exportsABI2 {
		if phases&phase != 0 && w.functions[phase] == nil {
			return 0, &PhaseMaskError{Mask: mask, MissingExport: name}
		}
	}
	return phases, nil
}

// callABI2 makes a call of ABI 2.
func (w *worker) callABI2(ctx context.Context, function api.Function) error {
	if err := function.CallWithStack(ctx, w.stack[:]); err != nil {
		return engineError(err)
	}
	if status := api.DecodeI32(w.stack[0]); status != 0 {
		return fmt.Errorf("%w: %d", ErrPluginFailure, status)
	}
	return nil
}

// field is a text of the call; false: it has none of that number.
func (w *worker) field(number uint32) (string, bool) {
	c := w.call
	switch number {
	case fieldFront:
		return c.Front, true
	case fieldID:
		return c.ID, true
	case fieldKey:
		return c.Key, c.Key != ""
	case fieldClass:
		return c.ClassName, true
	case fieldDestination:
		return c.Destination, c.Phase == Answer
	case fieldResult:
		return c.Result, c.Phase == End
	case fieldConfig:
		return w.version.cfg.Config, w.version.cfg.Config != ""
	case fieldName:
		return w.version.cfg.Name, true
	}
	return "", false
}

// number is a number of the call; rules.Absent: it has none of that number.
func (w *worker) number(number uint32) int64 {
	c := w.call
	switch number {
	case numberPhase:
		return int64(c.Phase)
	case numberPartner:
		return int64(c.Partner)
	case numberTimeLeft:
		return c.TimeLeft.Milliseconds()
	case numberResubmitted:
		if c.Resubmitted {
			return 1
		}
		return 0
	case numberStatus:
		return int64(c.Status)
	case numberRetryAfter:
		return c.Answer.RetryAfter.Milliseconds()
	case numberResult:
		return int64(c.Answer.Result)
	case numberNow:
		return c.Now.UnixMilli()
	}
	return int64(rules.Absent)
}
