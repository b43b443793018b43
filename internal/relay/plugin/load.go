package plugin

import (
	"context"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/gate"
	"mastusher/internal/relay/plugin/wasm"
)

// load checks and compiles a module and starts its instances. That may take a second of processor time.
func (h *Host) load(cfg config.Plugin, module []byte) (*version, error) {
	pluginStore, err := h.storeOf(&cfg)
	if err != nil {
		return nil, err
	}
	v := &version{
		host: h, cfg: cfg, hash: hashOf(module), store: pluginStore,
		gate: gate.New(h.gateLimits(&cfg)), changed: make(chan struct{}),
		idle: make(chan *worker, cfg.Instances), deferred: make(chan *Call, h.limits.PluginEndQueue),
	}
	if err := v.compile(module); err != nil {
		v.close()
		return nil, err
	}
	v.startWorkers()
	if err := v.startInstances(); err != nil {
		v.close()
		return nil, err
	}
	v.deferredDone.Add(1)
	go v.runDeferred()
	return v, nil
}

// compile inserts the checks of package wasm into a module, compiles and checks it, and defines the host functions of its ABI.
func (v *version) compile(module []byte) error {
	bounded, err := wasm.Bounded(module, uint32(v.host.limits.PluginStack))
	if err != nil {
		return err
	}
	ctx := context.Background()
	v.runtime = wazero.NewRuntimeWithConfig(ctx, v.host.runtimeConfig())
	if v.code, err = v.runtime.CompileModule(ctx, bounded); err != nil {
		return engineError(err)
	}
	if v.abi, err = check(v.code, &v.cfg); err != nil {
		return err
	}
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, v.runtime); err != nil {
		return err
	}
	if v.abi == 1 {
		return defineImportsABI1(ctx, v.runtime)
	}
	return defineImportsABI2(ctx, v.runtime)
}

// runtimeConfig makes the engine stop calls at their deadlines, and disables SIMD, which package wasm does not support.
func (h *Host) runtimeConfig() wazero.RuntimeConfig {
	cfg := wazero.NewRuntimeConfig().WithCloseOnContextDone(true).WithDebugInfoEnabled(false).
		WithCoreFeatures(api.CoreFeaturesV2.SetEnabled(api.CoreFeatureSIMD, false))
	if h.cache != nil {
		cfg = cfg.WithCompilationCache(h.cache)
	}
	return cfg
}

// startWorkers starts one worker for each instance. The workers have no instance yet.
func (v *version) startWorkers() {
	for range v.cfg.Instances {
		w := newWorker(v)
		v.workersDone.Add(1)
		v.workers = append(v.workers, w)
		v.idle <- w
	}
}

// startInstances starts all instances and reads the module's phases, so that a module that can't start is refused here.
func (v *version) startInstances() error {
	for _, w := range v.workers {
		now := time.Now()
		start := newJob(&Call{Phase: phaseStart, Now: now}, now.Add(v.host.limits.PluginStart))
		w.jobs <- start
		if r := <-start.done; r.err != nil {
			return r.err
		}
	}
	if len(v.cfg.Phases) > 0 {
		v.phases &= phaseMask(v.cfg.Phases)
	}
	if v.phases == 0 {
		return ErrNoPhase
	}
	return nil
}
