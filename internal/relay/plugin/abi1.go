package plugin

import (
	"context"
	"encoding/base64"
	"fmt"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tidwall/gjson"
)

// ABI 1: the host asks the module for room, writes one JSON object there and hands it to inspect or ended. It is kept
// for the modules that there are; what they may do is reject and log.

// moduleABI1 is the name that a module of ABI 1 imports from.
const moduleABI1 = "mastusher"

// allocABI1 is exported by each module of ABI 1: (size i32) -> i32, where the host may write so many bytes.
const allocABI1 = "alloc"

// exportsABI1 are the functions that a module of ABI 1 may have for phases.
var exportsABI1 = map[Phase]string{Arrival: "inspect", End: "ended"}

// statusABI1 is the status of a message that a module of ABI 1 rejects.
const statusABI1 = 422

// exportABI1 makes the imports of ABI 1 known to a runtime.
func exportABI1(ctx context.Context, r wazero.Runtime) error {
	builder := r.NewHostModuleBuilder(moduleABI1)
	textParams := []api.ValueType{i32, i32}
	builder.NewFunctionBuilder().WithGoModuleFunction(takesTextABI1((*worker).setReason), textParams, nil).Export("reason")
	builder.NewFunctionBuilder().WithGoModuleFunction(takesTextABI1((*worker).log), textParams, nil).Export("log")
	_, err := builder.Instantiate(ctx)
	return err
}

// takesTextABI1 is an import that is handed a text as its place and size. More than is kept is not read, and what lies
// outside the memory is passed over: this ABI never trapped on it.
func takesTextABI1(do func(w *worker, text string)) api.GoModuleFunc {
	return func(ctx context.Context, m api.Module, stack []uint64) {
		w := workerOf(ctx)
		if w.call == nil || m.Memory() == nil {
			return
		}
		size := min(uint32(stack[1]), uint32(w.version.host.limits.PluginReason))
		if b, ok := m.Memory().Read(uint32(stack[0]), size); ok {
			do(w, string(b))
		}
	}
}

func (w *worker) setReason(text string) {
	w.outcome.Reason = truncate(text, w.version.host.limits.PluginReason)
}

// phasesABI1 are the phases that the module has functions for.
func (w *worker) phasesABI1() (mask Phase) {
	for phase, function := range w.functions {
		if function != nil {
			mask |= phase
		}
	}
	return mask
}

// callABI1 makes a call of ABI 1.
func (w *worker) callABI1(ctx context.Context, function api.Function) error {
	text := describe(w.call)
	place, err := w.alloc.Call(ctx, uint64(len(text)))
	if err != nil {
		return engineError(err)
	}
	if len(place) != 1 || !w.module.Memory().Write(uint32(place[0]), text) {
		return ErrAllocFailed
	}
	verdict, err := function.Call(ctx, place[0], uint64(len(text)))
	if err != nil {
		return engineError(err)
	}
	if w.call.Phase == Arrival && len(verdict) == 1 && uint32(verdict[0]) != 0 {
		w.outcome.Reject, w.outcome.Status = true, statusABI1
		if w.outcome.Reason == "" {
			w.outcome.Reason = "rejected by " + w.version.cfg.Name
		}
	}
	return nil
}

// describe is the JSON object that a module of ABI 1 is handed.
func describe(c *Call) []byte {
	b := gjson.AppendJSONString([]byte(`{"abi":1,"front":`), c.Front)
	b = gjson.AppendJSONString(append(b, `,"id":`...), c.ID)
	if c.Phase == End {
		return append(gjson.AppendJSONString(append(b, `,"end":`...), c.Result), '}')
	}
	b = fmt.Appendf(b, `,"class":%d,"dest":%d,"left_ms":%d,"again":%t,"body":"`, c.Class, c.Partner,
		c.TimeLeft.Milliseconds(), c.Resubmitted)
	return append(base64.StdEncoding.AppendEncode(b, c.Body), `"}`...)
}
