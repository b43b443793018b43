package plugin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/experimental"
	wasys "github.com/tetratelabs/wazero/sys"

	"mastusher/internal/relay/plugin/gate"
	"mastusher/internal/relay/plugin/store"
)

// phaseStart is the phase of the job that starts an instance and reads its mask of phases. That job has no message.
const phaseStart Phase = 0

// worker runs one instance on a thread of its own, which has a lower priority than the relay's. The instance is closed when a call
// fails, so that the next call finds nothing that the failed one has left behind.
type worker struct {
	version *version
	jobs    chan *job // closed by version.close, which ends the worker's goroutine

	// The fields below belong to the worker's goroutine. The instance, if there is one:
	ctx       context.Context // passes the worker to the host functions
	module    api.Module
	memory    *memory
	functions map[Phase]api.Function
	alloc     api.Function // ABI 1 only
	stack     [2]uint64    // parameters and results of a call into the module

	// The call in progress, if there is one:
	call    *Call
	outcome Outcome
	tx      *store.Tx
	now     time.Time
	rng     *rand.Rand
	copied  int // bytes copied from the module's memory to the relay's heap, with copyOverhead for each copy
}

// job is one call that is passed to a worker.
type job struct {
	call     *Call
	deadline time.Time
	ticket   gate.Ticket
	done     chan jobResult // with capacity 1, so that the worker never waits for the caller
}

// jobResult is the result of a job. After a failed call the outcome has only CPU and Logs.
type jobResult struct {
	outcome Outcome
	err     error
}

func newJob(c *Call, deadline time.Time) *job {
	return &job{call: c, deadline: deadline, done: make(chan jobResult, 1)}
}

// workerKey is the context key under which a call's context has its worker.
type workerKey struct{}

// newWorker starts a worker, which ends when its jobs channel is closed.
func newWorker(v *version) *worker {
	w := &worker{version: v, jobs: make(chan *job)}
	allocate := func(_, maxBytes uint64) experimental.LinearMemory {
		w.memory = v.host.memories.Allocate(min(maxBytes, uint64(v.cfg.MemoryMB)<<20))
		return w.memory
	}
	ctx := context.WithValue(context.Background(), workerKey{}, w)
	w.ctx = experimental.WithMemoryAllocator(ctx, experimental.MemoryAllocatorFunc(allocate))
	go w.run()
	return w
}

func workerOf(ctx context.Context) *worker { return ctx.Value(workerKey{}).(*worker) }

// run serves jobs until the channel is closed. Its thread then ends with the goroutine and is not reused by the runtime.
func (w *worker) run() {
	runtime.LockOSThread()
	if w.version.host.limits.PluginYields {
		lowerThreadPriority()
	}
	for j := range w.jobs {
		result := w.serve(j)
		w.version.finish(w, j, result)
		j.done <- result
	}
	w.dropInstance()
	w.version.workersDone.Done()
}

// serve runs one job, and clears the worker's state of the call afterwards.
func (w *worker) serve(j *job) jobResult {
	from := threadCPUTime()
	err := w.do(j)
	w.outcome.CPU = threadCPUTime() - from
	outcome := w.outcome
	if err != nil {
		outcome = Outcome{CPU: w.outcome.CPU, Logs: w.outcome.Logs}
		w.dropInstance()
	}
	w.call, w.tx, w.outcome = nil, nil, Outcome{}
	return jobResult{outcome, err}
}

// do makes the call of a job. It starts an instance first if there is none.
func (w *worker) do(j *job) error {
	w.call, w.outcome, w.now, w.copied = j.call, Outcome{ExtraHeaders: j.call.ExtraHeaders}, j.call.Now, 0
	if w.module != nil && w.module.IsClosed() { // the last call succeeded, but its deadline passed just then and closed the instance
		w.dropInstance()
	}
	if w.module == nil {
		if err := w.start(); err != nil {
			return startError{err}
		}
	}
	w.seed(j.call.ID, j.call.Phase)
	if j.call.Phase == phaseStart {
		return w.readPhases(j.deadline)
	}
	function := w.functions[j.call.Phase]
	if function == nil {
		return nil
	}
	w.tx = w.version.store.Begin(w.now)
	if err := w.invoke(function, j.deadline); err != nil {
		return err
	}
	if err := w.tx.Commit(); err != nil {
		w.refuse("store", storeRefusal(err))
	}
	return nil
}

// invoke calls the module's function for a phase.
func (w *worker) invoke(function api.Function, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(w.ctx, deadline)
	defer cancel()
	if w.version.abi == 1 {
		return w.callABI1(ctx, function)
	}
	return w.callABI2(ctx, function)
}

// readPhases sets the version's mask of phases to those that the module handles. It is called while the version is being loaded.
func (w *worker) readPhases(deadline time.Time) error {
	if w.version.abi == 1 {
		w.version.phases |= w.phasesABI1()
		return nil
	}
	ctx, cancel := context.WithDeadline(w.ctx, deadline)
	defer cancel()
	phases, err := w.phasesABI2(ctx)
	if err != nil {
		return err
	}
	w.version.phases = phases
	return nil
}

// seed makes a call's random numbers depend only on the relay's seed, the plug-in, the phase and the message, so that a run can be
// repeated exactly, with any instance. When an instance is started the message id is "" and the phase is phaseStart.
func (w *worker) seed(id string, phase Phase) {
	pluginSeed := w.version.host.seed ^ xxhash.Sum64String(w.version.cfg.Name)
	callSeed := xxhash.Sum64String(id) ^ uint64(phase)
	w.rng = rand.New(rand.NewPCG(pluginSeed, callSeed))
}

// Read fills b with the random bytes that WASI functions return. It implements io.Reader.
func (w *worker) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(w.rng.Uint32())
	}
	return len(b), nil
}

// start creates an instance, within the time limit PluginStart.
func (w *worker) start() error {
	ctx, cancel := context.WithTimeout(w.ctx, w.version.host.limits.PluginStart)
	defer cancel()
	w.seed("", phaseStart)
	module, err := w.version.runtime.InstantiateModule(ctx, w.version.code, w.moduleConfig())
	if err != nil {
		w.dropInstance()
		return fmt.Errorf("start: %w", engineError(err))
	}
	w.module, w.functions = module, map[Phase]api.Function{}
	exports := exportsABI2
	if w.version.abi == 1 {
		w.alloc = module.ExportedFunction(allocABI1)
		exports = exportsABI1
	}
	for phase, name := range exports {
		w.functions[phase] = module.ExportedFunction(name)
	}
	return nil
}

// moduleConfig makes an instance use the clock and the random numbers of the worker's call.
func (w *worker) moduleConfig() wazero.ModuleConfig {
	return wazero.NewModuleConfig().WithName("").WithStartFunctions("_initialize").WithRandSource(w).
		WithWalltime(func() (int64, int32) { return w.now.Unix(), int32(w.now.Nanosecond()) }, wasys.ClockResolution(1)).
		WithNanotime(func() int64 { return w.now.UnixNano() }, wasys.ClockResolution(1))
}

// dropInstance closes the instance and frees its memory, in case the engine has not done so itself.
func (w *worker) dropInstance() {
	if w.module != nil {
		_ = w.module.Close(context.Background())
	}
	if w.memory != nil {
		w.memory.Free()
	}
	w.module, w.memory, w.functions, w.alloc = nil, nil, nil, nil
}
