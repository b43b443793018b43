// Package hook runs plug-ins in WebAssembly that look at messages on arrival and are told of their ends.
// docs/hooks.md describes what a plug-in exports and imports.
package hook

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"github.com/tidwall/gjson"

	"mastusher/internal/config"
	"mastusher/internal/relay"
)

// Hook is one plug-in. What goes wrong in it is counted and logged, and the message goes on as if it were not
// there: a plug-in may reject, but its failure may not.
type Hook struct {
	name    string
	timeout time.Duration
	lim     *config.Limits
	log     *slog.Logger
	runtime wazero.Runtime
	code    wazero.CompiledModule
	turn    chan struct{} // held by whoever uses the instance
	ends    chan []byte
	stopped chan struct{}

	// Of the one who holds turn:
	instance api.Module
	why      string // what the plug-in gave as its reason
	failed   int    // failures in a row
	restAt   time.Time

	Failures atomic.Uint64 // calls that trapped, ran too long or did not fit
	Skipped  atomic.Uint64 // messages and ends that it was not shown
}

// Load compiles a plug-in and starts it once, so that one that can't run is found at the start.
func Load(cfg *config.Hook, lim *config.Limits, log *slog.Logger) (*Hook, error) {
	text, err := os.ReadFile(cfg.File)
	if err != nil {
		return nil, err
	}
	ctx := context.Background()
	h := &Hook{name: cfg.Name, timeout: cfg.Timeout, lim: lim, log: log, turn: make(chan struct{}, 1),
		ends: make(chan []byte, lim.HookEnds), stopped: make(chan struct{})}
	h.runtime = wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().
		WithCloseOnContextDone(true).WithMemoryLimitPages(uint32(cfg.MemoryMB)*16))
	fail := func(err error) (*Hook, error) {
		_ = h.runtime.Close(ctx)
		return nil, fmt.Errorf("hook %s: %w", cfg.Name, err)
	}
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, h.runtime); err != nil {
		return fail(err)
	}
	_, err = h.runtime.NewHostModuleBuilder("mastusher").
		NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, at, n uint32) {
		if b, ok := m.Memory().Read(at, min(n, uint32(lim.HookReason))); ok {
			h.why = string(b)
		}
	}).Export("reason").
		NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, at, n uint32) {
		if b, ok := m.Memory().Read(at, min(n, uint32(lim.HookReason))); ok {
			log.Info("hook", "name", h.name, "says", string(b))
		}
	}).Export("log").Instantiate(ctx)
	if err != nil {
		return fail(err)
	}
	if h.code, err = h.runtime.CompileModule(ctx, text); err != nil {
		return fail(err)
	}
	starting, cancel := context.WithTimeout(ctx, lim.HookStart)
	defer cancel()
	if err := h.start(starting); err != nil {
		return fail(err)
	}
	if f := h.instance.ExportedFunction("alloc"); f == nil || h.instance.Memory() == nil {
		return fail(errors.New("exports no alloc, or no memory"))
	}
	go h.tellEnds()
	return h, nil
}

// Close stops the plug-in.
func (h *Hook) Close() {
	close(h.stopped)
	h.turn <- struct{}{}
	_ = h.runtime.Close(context.Background())
	h.log.Info("the hook has stopped", "name", h.name, "failures", h.Failures.Load(), "skipped", h.Skipped.Load())
}

func (h *Hook) start(ctx context.Context) error {
	m, err := h.runtime.InstantiateModule(ctx, h.code, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize").WithSysWalltime().WithSysNanotime())
	if err == nil {
		h.instance = m
	}
	return err
}

// Inspect shows the plug-in a message on arrival.
func (h *Hook) Inspect(front string, m *relay.Message) (bool, string) {
	select {
	case h.turn <- struct{}{}:
	case <-time.After(h.timeout):
		h.Skipped.Add(1)
		return true, ""
	}
	defer func() { <-h.turn }()
	b := describe(front, m.ID)
	b = fmt.Appendf(b, `,"class":%d,"dest":%d,"left_ms":%d,"again":%t,"body":"`, m.Class, m.Partner,
		time.Until(m.Deadline).Milliseconds(), m.Again)
	b = append(base64.StdEncoding.AppendEncode(b, m.Body), `"}`...)
	h.why = ""
	verdict, ok := h.call("inspect", b)
	if !ok || verdict == 0 {
		return true, ""
	}
	if h.why == "" {
		h.why = "rejected by " + h.name
	}
	return false, h.why
}

func describe(front, id string) []byte {
	b := gjson.AppendJSONString([]byte(`{"abi":1,"front":`), front)
	return gjson.AppendJSONString(append(b, `,"id":`...), id)
}

// Ended notes that a message has ended; the plug-in is told later, and not at all if it can't keep up.
func (h *Hook) Ended(front, id, how string) {
	b := append(gjson.AppendJSONString(append(describe(front, id), `,"end":`...), how), '}')
	select {
	case h.ends <- b:
	default:
		h.Skipped.Add(1)
	}
}

func (h *Hook) tellEnds() {
	for {
		select {
		case <-h.stopped:
			return
		case b := <-h.ends:
			h.turn <- struct{}{}
			h.call("ended", b)
			<-h.turn
		}
	}
}

// call hands b to one of the plug-in's functions; false: it has none, rests, or failed. A plug-in that failed
// is started anew, after a rest that grows.
func (h *Hook) call(name string, b []byte) (verdict uint32, ok bool) {
	if time.Now().Before(h.restAt) {
		h.Skipped.Add(1)
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.timeout)
	defer cancel()
	err := h.try(ctx, name, b, &verdict)
	if err == nil {
		h.failed = 0
		return verdict, true
	}
	h.Failures.Add(1)
	h.restAt = time.Now().Add(h.lim.HookRest << min(h.failed, 6))
	h.failed++
	h.log.Warn("hook failed", "name", h.name, "in", name, "error", err)
	if h.instance != nil {
		_ = h.instance.Close(context.Background())
		h.instance = nil
	}
	return 0, false
}

func (h *Hook) try(ctx context.Context, name string, b []byte, verdict *uint32) error {
	if h.instance == nil {
		starting, cancel := context.WithTimeout(context.Background(), h.lim.HookStart)
		defer cancel()
		if err := h.start(starting); err != nil {
			return err
		}
	}
	f := h.instance.ExportedFunction(name)
	if f == nil {
		return nil
	}
	at, err := h.instance.ExportedFunction("alloc").Call(ctx, uint64(len(b)))
	if err != nil {
		return err
	}
	if len(at) != 1 || !h.instance.Memory().Write(uint32(at[0]), b) {
		return errors.New("alloc gave no room")
	}
	out, err := f.Call(ctx, at[0], uint64(len(b)))
	if err == nil && len(out) == 1 {
		*verdict = uint32(out[0])
	}
	return err
}
