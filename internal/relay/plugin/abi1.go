package plugin

import (
	"context"
	"encoding/base64"
	"fmt"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tidwall/gjson"
)

// ABI 1: the host asks the module to allocate a buffer, writes one JSON object into it and passes it to inspect or ended.
// ABI 1 is kept for existing modules, which can only reject and log.

// moduleABI1 is the import module name of ABI 1.
const moduleABI1 = "mastusher"

// allocABI1 is the function that each ABI 1 module exports: (size i32) -> i32, the address where the host may write size bytes.
const allocABI1 = "alloc"

// exportsABI1 has the function that an ABI 1 module may export for each phase.
var exportsABI1 = map[Phase]string{Arrival: "inspect", End: "ended"}

// statusABI1 is the HTTP status for a message that an ABI 1 module rejects.
const statusABI1 = 422

// defineImportsABI1 defines the host functions of ABI 1 in a runtime.
func defineImportsABI1(ctx context.Context, r wazero.Runtime) error {
	builder := r.NewHostModuleBuilder(moduleABI1)
	textParams := []api.ValueType{i32, i32}
	builder.NewFunctionBuilder().WithGoModuleFunction(textFunctionABI1((*worker).setReason), textParams, nil).Export("reason")
	builder.NewFunctionBuilder().WithGoModuleFunction(textFunctionABI1((*worker).log), textParams, nil).Export("log")
	_, err := builder.Instantiate(ctx)
	return err
}

// textFunctionABI1 returns a host function whose parameters are the address and size of a text. It reads at most PluginReason
// bytes, and ignores a text outside the module's memory, because ABI 1 never trapped on that.
func textFunctionABI1(do func(w *worker, text string)) api.GoModuleFunc {
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

// phasesABI1 returns the mask of phases that the module exports functions for.
func (w *worker) phasesABI1() (mask Phase) {
	for phase, function := range w.functions {
		if function != nil {
			mask |= phase
		}
	}
	return mask
}

// callABI1 calls a phase function of an ABI 1 module and takes over its verdict.
func (w *worker) callABI1(ctx context.Context, function api.Function) error {
	text := callJSON(w.call)
	address, err := w.alloc.Call(ctx, uint64(len(text)))
	if err != nil {
		return engineError(err)
	}
	if len(address) != 1 || !w.module.Memory().Write(uint32(address[0]), text) {
		return ErrAllocFailed
	}
	verdict, err := function.Call(ctx, address[0], uint64(len(text)))
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

// callJSON encodes a call as the JSON object that ABI 1 passes to the module.
func callJSON(c *Call) []byte {
	b := gjson.AppendJSONString([]byte(`{"abi":1,"front":`), c.Front)
	b = gjson.AppendJSONString(append(b, `,"id":`...), c.ID)
	if c.Phase == End {
		return append(gjson.AppendJSONString(append(b, `,"end":`...), c.Result), '}')
	}
	b = fmt.Appendf(b, `,"class":%d,"dest":%d,"left_ms":%d,"again":%t,"body":"`, c.Class, c.Partner,
		c.TimeLeft.Milliseconds(), c.Resubmitted)
	return append(base64.StdEncoding.AppendEncode(b, c.Body), `"}`...)
}
