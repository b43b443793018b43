package plugin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/gate"
	"mastusher/internal/relay/plugin/store"
	"mastusher/internal/relay/plugin/wasm"
)

// version is one module under one configuration, compiled and ready. It does not change; a reload puts another in
// its place.
type version struct {
	host   *Host
	cfg    config.Plugin
	hash   uint64 // of the module's bytes
	abi    int
	phases Phase

	runtime        wazero.Runtime
	code           wazero.CompiledModule
	store          *store.Store
	idle           chan *worker
	workers        []*worker
	afterwards     chan *Call // what is told after the fact
	afterwardsDone sync.WaitGroup

	workersDone sync.WaitGroup
	users       int         // generations that use it; the host's lock
	closing     atomic.Bool // what is in the line is dropped

	mu       sync.Mutex // of the gate
	gate     *gate.Gate
	changed  chan struct{} // closed when a call has left while others wait
	logLines logBucket

	counts counts
}

// counts is what a plug-in has done, for logs and status.
type counts struct {
	Calls, Failures, Skipped, Rejected, Refused, Dropped atomic.Uint64
	CPU                                                  atomic.Int64 // ns
}

// logBucket lets so many log lines through a second.
type logBucket struct {
	left float64
	at   time.Time
	lost uint64
}

func (l *logBucket) take(now time.Time, rate float64) bool {
	l.left = min(2*rate, l.left+now.Sub(l.at).Seconds()*rate)
	l.at = now
	if l.left < 1 {
		l.lost++
		return false
	}
	l.left--
	return true
}

// Fault is what keeps a module from being loaded, a line each.
type Fault []string

func (f Fault) Error() string { return strings.Join(f, "; ") }

// key tells versions apart: what has the same is the same.
func (v *version) key() string { return fmt.Sprintf("%x %+v", v.hash, v.cfg) }

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

// applies tells whether a message is within the scope that the configuration gives the plug-in.
func (v *version) applies(phase Phase, front string, partner, class int) bool {
	c := &v.cfg
	return v.phases&phase != 0 && (len(c.Fronts) == 0 || slices.Contains(c.Fronts, front)) &&
		(len(c.Partners) == 0 || slices.Contains(c.Partners, partner)) &&
		(len(c.Classes) == 0 || slices.Contains(c.Classes, class))
}

// attempt makes one call, by the deadline at the latest. Nothing else waits for it than whoever asked: instances, the
// part of them that one partner may have, and breakers are the gate's to give out.
func (v *version) attempt(c *Call, by time.Time) (Outcome, error) {
	now := time.Now()
	if most := now.Add(v.cfg.Timeout); by.After(most) {
		by = most
	}
	return v.attemptBy(c, by)
}

func (v *version) attemptBy(c *Call, by time.Time) (Outcome, error) {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		now := time.Now()
		if !now.Before(by) {
			return v.skip(ErrBudget)
		}
		v.mu.Lock()
		ticket, verdict := v.gate.Enter(now, c.Partner)
		changed := v.changed
		v.mu.Unlock()
		switch verdict {
		case gate.Go:
			return v.send(<-v.idle, c, by, ticket)
		case gate.Open:
			return v.skip(ErrBreakerOpen)
		case gate.Dry:
			return v.skip(ErrCPUShareUsed)
		}
		select {
		case <-changed: // also when a breaker opens: whoever waits hears of it at once
		case <-timer.C:
			return v.skip(ErrNoInstanceFree)
		}
	}
}

func (v *version) skip(err error) (Outcome, error) {
	v.counts.Skipped.Add(1)
	return Outcome{}, err
}

// send hands a call to a worker. One that can't be stopped, since it is in the middle of an instruction that moves
// megabytes, is left to itself a little after its deadline; its instance comes back when it is done.
func (v *version) send(w *worker, c *Call, by time.Time, ticket gate.Ticket) (Outcome, error) {
	j := &job{call: c, deadline: by, ticket: ticket, done: make(chan jobDone, 1)}
	w.jobs <- j
	late := time.NewTimer(time.Until(by) + v.host.limits.PluginGrace)
	defer late.Stop()
	select {
	case d := <-j.done:
		return d.out, d.err
	case <-late.C:
		return Outcome{}, ErrNotStopped
	}
}

// left is called by a worker that has ended a call: it counts, and makes room for the next.
func (v *version) left(w *worker, j *job, out Outcome, err error) {
	if j.call.Phase == 0 {
		return
	}
	result := gate.Good
	if err != nil {
		v.counts.Failures.Add(1)
		switch result = gate.Failed; {
		case errors.As(err, new(errStart)):
			result = gate.Crashed
		case errors.Is(err, ErrTimeout):
			result = gate.Overran
		}
	}
	v.counts.Calls.Add(1)
	v.counts.Refused.Add(uint64(len(out.Refused)))
	v.counts.CPU.Add(int64(out.CPU))
	now := time.Now()
	v.mu.Lock()
	before := v.gate.Opens(now, j.call.Partner)
	v.gate.Leave(now, j.ticket, out.CPU, result)
	opened := !before && v.gate.Opens(now, j.call.Partner)
	v.idle <- w // has room for all of them
	close(v.changed)
	v.changed = make(chan struct{})
	var logs []string
	for _, text := range out.Logs {
		if v.logLines.take(now, float64(v.host.limits.PluginLines)) {
			logs = append(logs, text)
		}
	}
	warn := err != nil && v.logLines.take(now, float64(v.host.limits.PluginLines))
	v.mu.Unlock()
	for _, text := range logs {
		v.host.log.Info("plug-in log", "plugin", v.cfg.Name, "says", text)
	}
	if warn {
		v.host.log.Warn("plug-in call failed", "plugin", v.cfg.Name, "phase", j.call.Phase.String(), "partner", j.call.Partner,
			"id", j.call.ID, "err", err)
	}
	if opened {
		v.host.log.Warn("plug-in circuit breaker opened", "plugin", v.cfg.Name, "partner", j.call.Partner)
	}
}

// runAfterwards calls the plug-in for what is over, one after another. What can't be told in time is dropped and counted.
func (v *version) runAfterwards() {
	defer v.afterwardsDone.Done()
	for c := range v.afterwards {
		if v.closing.Load() { // nobody waits for seconds until a slow plug-in has heard everything
			v.counts.Dropped.Add(1)
			continue
		}
		c.Now = time.Now()
		if _, err := v.attempt(c, c.Now.Add(v.cfg.Timeout)); err != nil {
			v.counts.Dropped.Add(1)
		}
	}
}

// later puts a call in the line, if there is room.
func (v *version) later(c *Call) {
	select {
	case v.afterwards <- c:
	default:
		v.counts.Dropped.Add(1)
	}
}

// close ends the version. No call may be made or put in the line any more.
func (v *version) close() {
	v.closing.Store(true)
	close(v.afterwards)
	v.afterwardsDone.Wait()
	for range v.workers {
		close((<-v.idle).jobs)
	}
	v.workersDone.Wait()
	if c := &v.counts; v.phases != 0 {
		v.host.log.Info("plug-in stopped", "plugin", v.cfg.Name, "calls", c.Calls.Load(), "failures", c.Failures.Load(),
			"skipped", c.Skipped.Load(), "rejected", c.Rejected.Load(), "refused", c.Refused.Load(),
			"dropped", c.Dropped.Load(), "cpu", time.Duration(c.CPU.Load()))
	}
	if v.runtime != nil {
		_ = v.runtime.Close(context.Background())
	}
}
