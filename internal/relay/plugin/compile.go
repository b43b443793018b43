package plugin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/gate"
	"mastusher/internal/relay/plugin/wasm"
)

// ModuleError is what keeps a module from being loaded, a line each.
type ModuleError []string

func (f ModuleError) Error() string { return strings.Join(f, "; ") }

// load reads, checks, compiles and warms up a module. It takes processor time, on a thread that gives way.
func (h *Host) load(cfg config.Plugin, text []byte) (v *version, err error) {
	v = &version{host: h, cfg: cfg, hash: hashOf(text), changed: make(chan struct{}),
		idle: make(chan *worker, cfg.Instances), afterwards: make(chan *Call, h.limits.PluginEndQueue)}
	v.gate = gate.New(h.gateLimits(&cfg))
	if v.store, err = h.storeOf(&cfg); err != nil {
		return nil, err
	}
	if err := v.compile(text); err != nil {
		v.close()
		return nil, err
	}
	for range cfg.Instances {
		w := newWorker(v)
		v.workersDone.Add(1)
		v.workers = append(v.workers, w)
		v.idle <- w
	}
	if err := v.startInstances(); err != nil {
		v.close()
		return nil, err
	}
	v.afterwardsDone.Add(1)
	go v.runAfterwards()
	return v, nil
}

func (v *version) compile(text []byte) error {
	bounded, err := wasm.Bounded(text, uint32(v.host.limits.PluginStack))
	if err != nil {
		return err
	}
	ctx := context.Background()
	cfg := wazero.NewRuntimeConfig().WithCloseOnContextDone(true).WithDebugInfoEnabled(false).
		WithCoreFeatures(api.CoreFeaturesV2.SetEnabled(api.CoreFeatureSIMD, false))
	if v.host.cache != nil {
		cfg = cfg.WithCompilationCache(v.host.cache)
	}
	v.runtime = wazero.NewRuntimeWithConfig(ctx, cfg)
	if v.code, err = v.runtime.CompileModule(ctx, bounded); err != nil {
		return withoutTrace(err)
	}
	if v.abi, err = check(v.code, &v.cfg); err != nil {
		return err
	}
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, v.runtime); err != nil {
		return err
	}
	if v.abi == 1 {
		return exportABI1(ctx, v.runtime)
	}
	return exportABI2(ctx, v.runtime)
}

// check names all imports, exports and limits at fault, and tells which ABI a module speaks.
func check(code wazero.CompiledModule, cfg *config.Plugin) (abi int, err error) {
	c := &moduleCheck{code: code, exports: code.ExportedFunctions()}
	later := c.laterABI()
	used := c.imports()
	c.memory(cfg.MemoryMB)
	switch {
	case c.exports[markerABI2] != nil:
		abi = 2
		c.export(markerABI2, "() -> i32", true)
		for _, name := range exportsABI2 {
			c.export(name, "() -> i32", false)
		}
		if used[moduleABI1] {
			c.fail("import mastusher: a module of ABI 2 imports from mastusher_v2")
		}
	case used[moduleABI2]:
		c.fail("export %s: missing, though the module imports from %s", markerABI2, moduleABI2)
	case !later:
		abi = 1
		c.export("alloc", "(i32) -> i32", true)
		c.export("inspect", "(i32, i32) -> i32", false)
		c.export("ended", "(i32, i32)", false)
	}
	if len(c.faults) > 0 {
		slices.Sort(c.faults) // maps have been walked
		return abi, c.faults
	}
	return abi, nil
}

// moduleCheck gathers what keeps a module from being loaded.
type moduleCheck struct {
	code    wazero.CompiledModule
	exports map[string]api.FunctionDefinition
	faults  ModuleError
}

func (c *moduleCheck) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// laterABI tells whether the module speaks an ABI that this relay does not know, which is a fault.
func (c *moduleCheck) laterABI() (later bool) {
	for name := range c.exports {
		if v, ok := strings.CutPrefix(name, "mastusher_abi_"); ok && v != "2" {
			later = true
			c.fail("export %s: the module speaks ABI %s; this relay speaks 1 and 2", name, v)
		}
	}
	return later
}

// imports checks what the module imports and returns the modules that it imports from.
func (c *moduleCheck) imports() map[string]bool {
	known := map[string]map[string]string{"wasi_snapshot_preview1": nil, moduleABI1: {"reason": "(i32, i32)", "log": "(i32, i32)"},
		moduleABI2: {}}
	for _, h := range hostFunctions {
		known[moduleABI2][h.name] = signature(h.params, h.results)
	}
	used := map[string]bool{}
	for _, d := range c.code.ImportedFunctions() {
		module, name, _ := d.Import()
		used[module] = true
		functions, ok := known[module]
		want, has := functions[name]
		switch got := signature(d.ParamTypes(), d.ResultTypes()); {
		case !ok:
			c.fail("import %s.%s: this relay has no module of that name", module, name)
		case functions != nil && !has:
			c.fail("import %s.%s: there is no such function", module, name)
		case functions != nil && got != want:
			c.fail("import %s.%s: it is %s here, the module wants %s", module, name, want, got)
		}
	}
	for _, d := range c.code.ImportedMemories() {
		module, name, _ := d.Import()
		c.fail("import %s.%s: a memory; the module must have its own", module, name)
	}
	return used
}

// memory checks the module's own memory against what the configuration allows.
func (c *moduleCheck) memory(allowedMB int) {
	memory := c.code.ExportedMemories()["memory"]
	if memory == nil {
		c.fail("export memory: missing")
	} else if pages := memory.Min(); int(pages) > allowedMB*16 {
		c.fail("memory: it begins with %.1f MB, memory_mb allows %d", float64(pages)/16, allowedMB)
	}
}

// export checks a function that the module exports, or must.
func (c *moduleCheck) export(name, want string, required bool) {
	if d := c.exports[name]; d == nil && required {
		c.fail("export %s: missing", name)
	} else if d != nil && signature(d.ParamTypes(), d.ResultTypes()) != want {
		c.fail("export %s: want %s, not %s", name, want, signature(d.ParamTypes(), d.ResultTypes()))
	}
}

// signature is a function's type as messages write it.
func signature(params, results []api.ValueType) string {
	names := func(all []api.ValueType) string {
		var s []string
		for _, t := range all {
			s = append(s, api.ValueTypeName(t))
		}
		return strings.Join(s, ", ")
	}
	s := "(" + names(params) + ")"
	if len(results) > 0 {
		s += " -> " + names(results)
	}
	return s
}

// startInstances starts each instance and asks it for its phases: what can't run is found before it is let in.
func (v *version) startInstances() error {
	for _, w := range v.workers {
		j := &job{call: &Call{Now: time.Now()}, deadline: time.Now().Add(v.host.limits.PluginStart), done: make(chan jobDone, 1)}
		w.jobs <- j
		if d := <-j.done; d.err != nil {
			return d.err
		}
	}
	if len(v.cfg.Phases) > 0 {
		mask := Phase(0)
		for _, name := range v.cfg.Phases {
			p, _ := ParsePhase(name)
			mask |= p
		}
		v.phases &= mask
	}
	if v.phases == 0 {
		return errors.New("it takes part in none of the phases that the configuration gives it")
	}
	return nil
}
