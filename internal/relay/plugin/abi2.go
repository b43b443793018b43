package plugin

import (
	"context"
	"fmt"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
)

// ABI 2: the host calls a function without arguments for each phase, and the module calls host functions to read what it
// needs. The host never allocates in the module. It writes only into a buffer that the module passes to a host function.

// moduleABI2 is the import module name of ABI 2.
const moduleABI2 = "mastusher_v2"

// markerABI2 is the function that each ABI 2 module exports: () -> i32, the mask of the phases that it handles.
const markerABI2 = "mastusher_abi_2"

// exportsABI2 has the function that an ABI 2 module may export for each phase: () -> i32, 0 for success.
var exportsABI2 = map[Phase]string{Arrival: "on_arrival", Answer: "on_answer", End: "on_end"}

// Numbers of the text fields of a call, as the ABI defines them.
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

// Numbers of the numeric fields of a call, as the ABI defines them.
const (
	numberPhase = iota
	numberPartner
	numberTimeLeft // ms
	numberResubmitted
	numberStatus
	numberRetryAfter // ms, as the destination requested
	numberResult
	numberNow // Unix ms
)

// defineImportsABI2 defines the host functions of ABI 2 in a runtime.
func defineImportsABI2(ctx context.Context, r wazero.Runtime) error {
	builder := r.NewHostModuleBuilder(moduleABI2)
	for _, f := range hostFunctions {
		builder.NewFunctionBuilder().WithGoModuleFunction(api.GoModuleFunc(func(ctx context.Context, m api.Module, stack []uint64) {
			w := workerOf(ctx)
			if w.call == nil || w.tx == nil { // the instance is starting: there is no message yet
				panic(ErrNoMessage)
			}
			f.do(w, m.Memory(), stack)
		}), f.params, f.results).Export(f.name)
	}
	_, err := builder.Instantiate(ctx)
	return err
}

// phasesABI2 calls the module for its mask of phases, and checks that the module exports a function for each of them.
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

// callABI2 calls a phase function of an ABI 2 module.
func (w *worker) callABI2(ctx context.Context, function api.Function) error {
	if err := function.CallWithStack(ctx, w.stack[:]); err != nil {
		return engineError(err)
	}
	if status := api.DecodeI32(w.stack[0]); status != 0 {
		return fmt.Errorf("%w: %d", ErrPluginFailure, status)
	}
	return nil
}

// field returns a text field of the call; false: the call has no such field.
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

// number returns a numeric field of the call; rules.Absent: the call has no such field.
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
