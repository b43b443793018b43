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

// Fault is what keeps a module from being loaded, a line each.
type Fault []string

func (f Fault) Error() string { return strings.Join(f, "; ") }

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
	if err := v.warm(); err != nil {
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
		return firstLine(err)
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
	var f Fault
	later := false
	exports := code.ExportedFunctions()
	for name := range exports {
		if v, ok := strings.CutPrefix(name, "mastusher_abi_"); ok && v != "2" {
			later = true
			f = append(f, fmt.Sprintf("export %s: the module speaks ABI %s; this relay speaks 1 and 2", name, v))
		}
	}
	known := map[string]map[string]string{"wasi_snapshot_preview1": nil, moduleOne: {"reason": "(i32, i32)", "log": "(i32, i32)"},
		moduleTwo: {}}
	for _, h := range hostFunctions {
		known[moduleTwo][h.name] = signature(h.params, h.results)
	}
	used := map[string]bool{}
	for _, d := range code.ImportedFunctions() {
		module, name, _ := d.Import()
		used[module] = true
		functions, ok := known[module]
		want, has := functions[name]
		switch got := signature(d.ParamTypes(), d.ResultTypes()); {
		case !ok:
			f = append(f, fmt.Sprintf("import %s.%s: this relay has no module of that name", module, name))
		case functions != nil && !has:
			f = append(f, fmt.Sprintf("import %s.%s: there is no such function", module, name))
		case functions != nil && got != want:
			f = append(f, fmt.Sprintf("import %s.%s: it is %s here, the module wants %s", module, name, want, got))
		}
	}
	for _, d := range code.ImportedMemories() {
		module, name, _ := d.Import()
		f = append(f, fmt.Sprintf("import %s.%s: a memory; the module must have its own", module, name))
	}
	memory := code.ExportedMemories()["memory"]
	if memory == nil {
		f = append(f, "export memory: missing")
	} else if pages := memory.Min(); int(pages) > cfg.MemoryMB*16 {
		f = append(f, fmt.Sprintf("memory: it begins with %.1f MB, memory_mb allows %d", float64(pages)/16, cfg.MemoryMB))
	}
	want := func(name, sig string, must bool) {
		if d := exports[name]; d == nil && must {
			f = append(f, fmt.Sprintf("export %s: missing", name))
		} else if d != nil && signature(d.ParamTypes(), d.ResultTypes()) != sig {
			f = append(f, fmt.Sprintf("export %s: want %s, not %s", name, sig, signature(d.ParamTypes(), d.ResultTypes())))
		}
	}
	switch {
	case exports[markTwo] != nil:
		abi = 2
		want(markTwo, "() -> i32", true)
		for _, name := range exportsTwo {
			want(name, "() -> i32", false)
		}
		if used[moduleOne] {
			f = append(f, "import mastusher: a module of ABI 2 imports from mastusher_v2")
		}
	case used[moduleTwo]:
		f = append(f, fmt.Sprintf("export %s: missing, though the module imports from %s", markTwo, moduleTwo))
	case !later:
		abi = 1
		want("alloc", "(i32) -> i32", true)
		want("inspect", "(i32, i32) -> i32", false)
		want("ended", "(i32, i32)", false)
	}
	if len(f) > 0 {
		slices.Sort(f)
		return abi, f
	}
	return abi, nil
}

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

// warm starts each instance and asks it for its phases: what can't run is found before it is let in.
func (v *version) warm() error {
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
