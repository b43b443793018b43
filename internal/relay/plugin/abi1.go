package plugin

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tidwall/gjson"
)

// ABI 1: the host asks the module for room, writes one JSON object there and hands it to inspect or ended. It is kept
// for the modules that there are; what they may do is reject and log.

const moduleABI1 = "mastusher"

// exportABI1 makes the imports of ABI 1 known to a runtime.
func exportABI1(ctx context.Context, r wazero.Runtime) error {
	text := func(do func(w *worker, s string)) api.GoModuleFunc {
		return func(ctx context.Context, m api.Module, s []uint64) {
			// More than is kept is not read: this ABI never trapped on it.
			if w := workerOf(ctx); w.call != nil && m.Memory() != nil {
				if b, ok := m.Memory().Read(uint32(s[0]), min(uint32(s[1]), uint32(w.version.host.limits.PluginReason))); ok {
					do(w, string(b))
				}
			}
		}
	}
	b := r.NewHostModuleBuilder(moduleABI1)
	pair := []api.ValueType{i32, i32}
	b.NewFunctionBuilder().WithGoModuleFunction(text(func(w *worker, s string) {
		w.outcome.Reason = truncate(s, w.version.host.limits.PluginReason)
	}), pair, nil).Export("reason")
	b.NewFunctionBuilder().WithGoModuleFunction(text((*worker).log), pair, nil).Export("log")
	_, err := b.Instantiate(ctx)
	return err
}

// callABI1 makes a call of ABI 1.
func (w *worker) callABI1(ctx context.Context, fn api.Function) error {
	text := describe(w.call)
	got, err := w.alloc.Call(ctx, uint64(len(text)))
	if err != nil {
		return err
	}
	if len(got) != 1 || !w.module.Memory().Write(uint32(got[0]), text) {
		return errors.New("alloc gave no room")
	}
	out, err := fn.Call(ctx, got[0], uint64(len(text)))
	if err != nil {
		return err
	}
	if w.call.Phase == Arrival && len(out) == 1 && uint32(out[0]) != 0 {
		w.outcome.Reject, w.outcome.Status = true, 422
		if w.outcome.Reason == "" {
			w.outcome.Reason = "rejected by " + w.version.cfg.Name
		}
	}
	return nil
}

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
