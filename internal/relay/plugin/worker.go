package plugin

import (
	"context"
	"errors"
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

// worker runs one instance, on a thread of its own that gives way to the relay's. A call that fails ends the
// instance: nothing that it has left behind is seen by the next.
type worker struct {
	version *version
	jobs    chan *job

	// Of the worker's goroutine:
	module    api.Module
	memory    *memory
	functions map[Phase]api.Function
	alloc     api.Function
	stack     [2]uint64
	ctx       context.Context // hands the host functions their worker
	rng       *rand.Rand
	now       time.Time
	call      *Call
	outcome   Outcome
	tx        *store.Tx
	copied    int // bytes on the relay's heap
}

// job is one call on its way through a worker.
type job struct {
	call     *Call
	deadline time.Time
	ticket   gate.Ticket
	done     chan jobDone // holds one: the worker never waits for whoever asked
}

type jobDone struct {
	out Outcome
	err error
}

type workerKey struct{}

func newWorker(v *version) *worker {
	w := &worker{version: v, jobs: make(chan *job)}
	w.ctx = experimental.WithMemoryAllocator(context.WithValue(context.Background(), workerKey{}, w),
		experimental.MemoryAllocatorFunc(func(_, most uint64) experimental.LinearMemory {
			w.memory = v.host.memories.Allocate(min(most, uint64(v.cfg.MemoryMB)<<20))
			return w.memory
		}))
	go w.run()
	return w
}

func workerOf(ctx context.Context) *worker { return ctx.Value(workerKey{}).(*worker) }

// run serves jobs until there are no more to come. The thread is not used for anything else afterwards.
func (w *worker) run() {
	runtime.LockOSThread()
	if w.version.host.limits.PluginYields {
		yieldToOthers()
	}
	for j := range w.jobs {
		from := threadTime()
		err := w.do(j)
		w.outcome.CPU = threadTime() - from
		out := w.outcome
		if err != nil {
			out = Outcome{CPU: w.outcome.CPU, Logs: w.outcome.Logs}
			w.dropInstance()
		}
		w.call, w.tx, w.outcome = nil, nil, Outcome{}
		w.version.finish(w, j, out, err)
		j.done <- jobDone{out, err}
	}
	w.dropInstance()
	w.version.workersDone.Done()
}

// startError marks a failure to start an instance.
type startError struct{ error }

func (e startError) Unwrap() error { return e.error }

func (w *worker) do(j *job) error {
	w.call, w.outcome, w.now, w.copied = j.call, Outcome{Shape: j.call.Shape}, j.call.Now, 0
	if w.module != nil && w.module.IsClosed() { // its last call ended just as its time did
		w.dropInstance()
	}
	if w.module == nil {
		if err := w.start(); err != nil {
			return startError{err}
		}
	}
	w.seed(j.call.ID, j.call.Phase)
	if j.call.Phase == 0 {
		return w.readPhases(j.deadline)
	}
	fn := w.functions[j.call.Phase]
	if fn == nil {
		return nil
	}
	w.tx = w.version.store.Begin(w.now)
	ctx, cancel := context.WithDeadline(w.ctx, j.deadline)
	defer cancel()
	var err error
	if w.version.abi == 1 {
		err = w.callABI1(ctx, fn)
	} else {
		if err = fn.CallWithStack(ctx, w.stack[:]); err == nil && uint32(w.stack[0]) != 0 {
			err = fmt.Errorf("%w: %d", ErrPluginFailure, int32(w.stack[0]))
		}
	}
	if err != nil {
		return withoutTrace(err)
	}
	if err := w.tx.Commit(); err != nil {
		w.refuse("store", refusal(err))
	}
	return nil
}

// readPhases finds which phases the module takes part in; it is called while the version is warmed up.
func (w *worker) readPhases(by time.Time) error {
	if w.version.abi == 1 {
		for phase, fn := range w.functions {
			if fn != nil {
				w.version.phases |= phase
			}
		}
		return nil
	}
	ctx, cancel := context.WithDeadline(w.ctx, by)
	defer cancel()
	if err := w.module.ExportedFunction(markerABI2).CallWithStack(ctx, w.stack[:]); err != nil {
		return fmt.Errorf("%s: %w", markerABI2, withoutTrace(err))
	}
	mask := Phase(w.stack[0])
	if mask&^(Arrival|Answer|End) != 0 {
		return fmt.Errorf("%s: the mask %#x has phases that this relay does not know", markerABI2, uint32(w.stack[0]))
	}
	for phase, name := range exportsABI2 {
		if mask&phase != 0 && w.functions[phase] == nil {
			return fmt.Errorf("%s: the mask names a phase without its export %s", markerABI2, name)
		}
	}
	w.version.phases = mask
	return nil
}

// seed makes all that is random in a call depend on the relay's seed, the plug-in, the phase and the message, so
// that a run can be repeated exactly on whichever instance; a start has no message, and phase 0.
func (w *worker) seed(id string, phase Phase) {
	w.rng = rand.New(rand.NewPCG(w.version.host.seed^xxhash.Sum64String(w.version.cfg.Name), xxhash.Sum64String(id)^uint64(phase)))
}

// Read is the source of random bytes that WASI hands out.
func (w *worker) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(w.rng.Uint32())
	}
	return len(b), nil
}

// start makes an instance, within the time for that.
func (w *worker) start() error {
	ctx, cancel := context.WithTimeout(w.ctx, w.version.host.limits.PluginStart)
	defer cancel()
	w.seed("", 0)
	m, err := w.version.runtime.InstantiateModule(ctx, w.version.code, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize").WithRandSource(w).
		WithWalltime(func() (int64, int32) { return w.now.Unix(), int32(w.now.Nanosecond()) }, wasys.ClockResolution(1)).
		WithNanotime(func() int64 { return w.now.UnixNano() }, wasys.ClockResolution(1)))
	if err != nil {
		w.dropInstance()
		return fmt.Errorf("start: %w", withoutTrace(err))
	}
	w.module, w.functions = m, map[Phase]api.Function{}
	if w.version.abi == 1 {
		w.alloc = m.ExportedFunction("alloc")
		w.functions[Arrival], w.functions[End] = m.ExportedFunction("inspect"), m.ExportedFunction("ended")
		return nil
	}
	for phase, name := range exportsABI2 {
		w.functions[phase] = m.ExportedFunction(name)
	}
	return nil
}

// dropInstance ends the instance and gives its memory back, also where the engine has left that to a call that never came.
func (w *worker) dropInstance() {
	if w.module != nil {
		_ = w.module.Close(context.Background())
	}
	if w.memory != nil {
		w.memory.Free()
	}
	w.module, w.memory, w.functions, w.alloc = nil, nil, nil, nil
}

// withoutTrace cuts the engine's stack trace off an error and names a time-out.
func withoutTrace(err error) error {
	var exit *wasys.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == wasys.ExitCodeDeadlineExceeded {
		return ErrTimeout
	}
	for _, own := range []error{ErrOutOfBounds, ErrCopyLimit} {
		if errors.Is(err, own) {
			return own
		}
	}
	text := err.Error()
	for i := range len(text) {
		if text[i] == '\n' {
			text = text[:i]
			break
		}
	}
	return errors.New(text)
}
