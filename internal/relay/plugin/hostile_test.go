package plugin

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/plugin/wasmtest"
)

// failsOnArrival returns an ABI 2 module whose on_arrival returns a status.
func failsOnArrival(status int32) []byte {
	return wasmtest.Plugin(1, 1, 1).On("arrival", 0, wasmtest.Const(status)).Bytes()
}

// TestHost_HostileModule_MessagePasses: whatever a module does on arrival, the message is accepted unchanged, the failure is counted, and
// the next plug-in is called.
func TestHost_HostileModule_MessagePasses(t *testing.T) {
	for name, c := range map[string]struct {
		module []byte
		fails  bool
		keys   string
	}{
		"loop without end":       {wasmtest.Loops(1), true, `"timeout": "50ms"`},
		"trap":                   {wasmtest.Traps(1), true, ""},
		"exit, as a panic in Go": {wasmtest.Exits(), true, ""},
		"recursion without end":  {wasmtest.Recurses(), true, ""},
		"recursion that fans out, without a loop": {wasmtest.Fans(), true, `"timeout": "50ms"`},
		"as much memory as it can get":            {wasmtest.Hoards(), false, ""}, // growing stops at the limit; using all of it is no failure
		"failure status":                          {failsOnArrival(9), true, ""},
		"pointer outside of memory":               {wasmtest.CallsWith("arrival", 1, "log", 65536, 1), true, ""},
		"length outside of memory":                {wasmtest.CallsWith("arrival", 1, "log", 1, 65536), true, ""},
		"length of 2^32-1":                        {wasmtest.CallsWith("arrival", 1, "log", 8, -1), true, ""},
		"pointer at 2^32-1":                       {wasmtest.CallsWith("arrival", 1, "get", 0, -1, 8), true, ""},
		"result buffer past the end of memory":    {wasmtest.CallsWith("arrival", 1, "get", 4, 65535, 2), true, ""},
		"name and value that overlap":             {wasmtest.CallsWith("arrival", 1, "set_header", 0, 4, 2, 4), false, ""},
		"store value past the end of memory":      {wasmtest.CallsWith("arrival", 1, "store_set", 0, 4, 65530, 100), true, ""},
		"unknown field":                           {wasmtest.CallsWith("arrival", 1, "get", 99, 0, 8), false, ""},
		"alloc past the end of memory":            {wasmtest.ABI1(65530, 1), true, ""},
		"alloc at 2^32-1":                         {wasmtest.ABI1(-1, 1), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("bad", c.module, c.keys).with("good", wasmtest.Header("X-Desk", "sports"), "").host()
			m := message("m", 7)
			if d := cmp.Diff(engine.Ruling{}, h.OnArrival("platform", m)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff([]string{"X-Desk", "sports"}, m.ExtraHeaders); d != "" {
				t.Errorf("headers set by the next plug-in (-want +got)\n%s", d)
			}
			if string(m.Body) != "body" {
				t.Errorf("the body is %q, want it unchanged", m.Body)
			}
			want := uint64(0)
			if c.fails {
				want = 1
			}
			if got := versionAt(h, 0).counts.Failures.Load(); got != want {
				t.Errorf("%d failures, want %d", got, want)
			}
			if r := h.OnArrival("platform", message("n", 8)); r.Verdict != engine.Accepted { // on a new instance
				t.Errorf("the next message: %+v, want it accepted", r)
			}
		})
	}
}

// TestHost_FloodingModule_ReasonIsCut: a module that keeps logging and rejecting with a long reason does reject the message, and its
// reason is truncated to the limit.
func TestHost_FloodingModule_ReasonIsCut(t *testing.T) {
	h := newSetup(t).with("bad", wasmtest.Floods(), "").with("good", wasmtest.Header("X-Desk", "sports"), "").host()
	r := h.OnArrival("platform", message("m", 7))
	if r.Verdict != engine.Rejected || len(r.Reason) > h.limits.PluginReason {
		t.Errorf("got %+v, want a rejection with a reason of at most PluginReason bytes", r)
	}
}

// TestCallOnce_FailedCall_TellsCause: CallOnce returns a distinct error for each cause of a failed call, in one line.
func TestCallOnce_FailedCall_TellsCause(t *testing.T) {
	for name, c := range map[string]struct {
		module []byte
		keys   string
		want   error
		text   string
	}{
		"loop without end":           {wasmtest.Loops(1), `"timeout": "50ms"`, ErrTimeout, "plugin: the call timed out"},
		"failure status":             {failsOnArrival(-9), "", ErrPluginFailure, "plugin: the module returned a failure status: -9"},
		"pointer outside of memory":  {wasmtest.CallsWith("arrival", 1, "log", 65536, 1), "", ErrOutOfBounds, "plugin: a pointer or length is outside the module's memory"},
		"ABI 1, alloc past the end":  {wasmtest.ABI1(65530, 1), "", ErrAllocFailed, "alloc returned no usable buffer"},
		"trap":                       {wasmtest.Traps(1), "", nil, "wasm error: unreachable"},
		"recursion without end":      {wasmtest.Recurses(), "", nil, "wasm error: unreachable"},
		"more copied than the limit": {exceedsCopyLimit(), "", ErrCopyLimit, "plugin: the call passed more bytes to the relay than the limit allows"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("p", c.module, c.keys).host()
			_, err := h.CallOnce("p", Call{Phase: Arrival, Front: "platform", ID: "m", Now: time.Now()})
			var engineError *EngineError
			if c.want != nil && !errors.Is(err, c.want) || c.want == nil && !errors.As(err, &engineError) {
				t.Fatalf("error %#v, want %v", err, c.want)
			}
			if err.Error() != c.text {
				t.Errorf("error %q, want %q", err, c.text)
			}
		})
	}
}

// exceedsCopyLimit returns a module that logs 2 KB in an endless loop.
func exceedsCopyLimit() []byte {
	p := wasmtest.Plugin(1, 1, 1, "log")
	return p.On("arrival", 0, wasmtest.Loop(p.Do("log", wasmtest.Const(0), wasmtest.Const(2<<10)), wasmtest.Const(1), wasmtest.BrIf(0)), wasmtest.Const(0)).Bytes()
}

// TestHost_LoopInAnswerOrEndPhase_IsNotAwaited: a plug-in that loops in the answer and end phases does not change the answer, and the
// queue of deferred calls stays bounded.
func TestHost_LoopInAnswerOrEndPhase_IsNotAwaited(t *testing.T) {
	h := newSetup(t).with("bad", wasmtest.Loops(1), `"timeout": "50ms"`).host()
	step := engine.NewAttempt(engine.Destination{Name: "s-1", Partner: 7}, h.SampleBytes("platform", 7, 0), engine.Item{ID: "m"})
	step.ObserveAnswer(503, nil, nil)
	outs := []engine.Outcome{{Result: control.Throttled, RetryAfter: time.Second}}
	h.OnAnswer("platform", step, outs)
	if d := cmp.Diff([]engine.Outcome{{Result: control.Throttled, RetryAfter: time.Second}}, outs); d != "" {
		t.Error(d)
	}
	for i := range 3 * h.limits.PluginEndQueue {
		h.OnEnd("platform", engine.End{ID: fmt.Sprint(i), Partner: 7, Result: "delivered"})
	}
	if v := versionAt(h, 0); v.counts.Dropped.Load() == 0 {
		t.Error("no call was dropped, want the queue of deferred calls bounded")
	}
}

// TestHost_ModuleTraps_IsStartedAnew: an instance that traps at its thousandth call is replaced by a new one, which works.
func TestHost_ModuleTraps_IsStartedAnew(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.WorksUntil(999), `"instances": 1`).host()
	for i := range 1500 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7))
	}
	if c := &versionAt(h, 0).counts; c.Failures.Load() != 1 || c.Calls.Load() != 1500 {
		t.Errorf("%d calls, want 1500; %d failures, want 1", c.Calls.Load(), c.Failures.Load())
	}
}

// TestHost_Memory_IsBoundedAndGivenBack: the memory of all instances together is bounded, and freed when the host is closed.
func TestHost_Memory_IsBoundedAndGivenBack(t *testing.T) {
	s := newSetup(t).with("a", wasmtest.Hoards(), "").with("b", wasmtest.Hoards(), "")
	s.hostKeys = `, "memory_mb": 3`
	h := s.host()
	for i := range 8 {
		h.OnArrival("platform", message(fmt.Sprint(i), i))
	}
	if n := h.memories.used.Load(); n > 3<<20 || n < 2<<20 {
		t.Errorf("the instances use %d bytes, want 2 to 3 MB", n)
	}
	h.Close()
	if n := h.memories.used.Load(); n != 0 {
		t.Errorf("%d bytes are still in use after Close, want 0", n)
	}
}
