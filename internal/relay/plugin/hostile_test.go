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

// failsOnArrival is a module of ABI 2 whose arrival returns a status of its own.
func failsOnArrival(status int32) []byte {
	return wasmtest.Plugin(1, 1, 1).On("arrival", 0, wasmtest.Const(status)).Bytes()
}

// TestHost_HostileModule_MessagePasses: whatever a module does on arrival, the message passes as it came, the failure is counted, and the
// well-behaved plug-in behind it has its say.
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
		"as much memory as it can get":            {wasmtest.Hoards(), false, ""}, // it gets none beyond its limit, and may keep that
		"status of its own":                       {failsOnArrival(9), true, ""},
		"pointer outside of memory":               {wasmtest.CallsWith("arrival", 1, "log", 65536, 1), true, ""},
		"length outside of memory":                {wasmtest.CallsWith("arrival", 1, "log", 1, 65536), true, ""},
		"length of 2^32-1":                        {wasmtest.CallsWith("arrival", 1, "log", 8, -1), true, ""},
		"pointer at 2^32-1":                       {wasmtest.CallsWith("arrival", 1, "get", 0, -1, 8), true, ""},
		"room for a result over the end":          {wasmtest.CallsWith("arrival", 1, "get", 4, 65535, 2), true, ""},
		"name and value that overlap":             {wasmtest.CallsWith("arrival", 1, "set_header", 0, 4, 2, 4), false, ""},
		"value of a key over the end":             {wasmtest.CallsWith("arrival", 1, "store_set", 0, 4, 65530, 100), true, ""},
		"field that there is not":                 {wasmtest.CallsWith("arrival", 1, "get", 99, 0, 8), false, ""},
		"alloc over the end":                      {wasmtest.ABI1(65530, 1), true, ""},
		"alloc at 2^32-1":                         {wasmtest.ABI1(-1, 1), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("bad", c.module, c.keys).with("good", wasmtest.Header("X-Desk", "sports"), "").host()
			m := message("m", 7)
			if d := cmp.Diff(engine.Ruling{}, h.OnArrival("platform", m)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff([]string{"X-Desk", "sports"}, m.ExtraHeaders); d != "" {
				t.Errorf("the plug-in behind it (-want +got)\n%s", d)
			}
			if string(m.Body) != "body" {
				t.Errorf("the body is %q", m.Body)
			}
			want := uint64(0)
			if c.fails {
				want = 1
			}
			if got := versionAt(h, 0).counts.Failures.Load(); got != want {
				t.Errorf("%d failures, want %d", got, want)
			}
			if r := h.OnArrival("platform", message("n", 8)); r.Verdict != engine.Accepted { // on a new instance
				t.Errorf("the next message: %+v", r)
			}
		})
	}
}

// TestHost_FloodingModule_ReasonIsCut: a module that logs and rejects with a long reason, over and over, is taken at its word, of which as
// much is kept as there may be.
func TestHost_FloodingModule_ReasonIsCut(t *testing.T) {
	h := newSetup(t).with("bad", wasmtest.Floods(), "").with("good", wasmtest.Header("X-Desk", "sports"), "").host()
	r := h.OnArrival("platform", message("m", 7))
	if r.Verdict != engine.Rejected || len(r.Reason) > h.limits.PluginReason {
		t.Errorf("got %+v", r)
	}
}

// TestCallOnce_FailedCall_TellsCause: who tries a plug-in out can tell why a call has failed, and reads it in one line.
func TestCallOnce_FailedCall_TellsCause(t *testing.T) {
	for name, c := range map[string]struct {
		module []byte
		keys   string
		want   error
		text   string
	}{
		"loop without end":           {wasmtest.Loops(1), `"timeout": "50ms"`, ErrTimeout, "plugin: it ran over its time"},
		"status of its own":          {failsOnArrival(-9), "", ErrPluginFailure, "plugin: it returned a failure of its own: -9"},
		"pointer outside of memory":  {wasmtest.CallsWith("arrival", 1, "log", 65536, 1), "", ErrOutOfBounds, "plugin: a pointer or length lies outside its memory"},
		"alloc over the end, ABI 1":  {wasmtest.ABI1(65530, 1), "", ErrAllocFailed, "alloc gave no room"},
		"trap":                       {wasmtest.Traps(1), "", nil, "wasm error: unreachable"},
		"trap without end of stack":  {wasmtest.Recurses(), "", nil, "wasm error: unreachable"},
		"more copied than there may": {copiesTooMuch(), "", ErrCopyLimit, "plugin: it has had the relay copy more than one call may"},
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

// copiesTooMuch is a module that logs 2 KB over and over.
func copiesTooMuch() []byte {
	p := wasmtest.Plugin(1, 1, 1, "log")
	return p.On("arrival", 0, wasmtest.Loop(p.Do("log", wasmtest.Const(0), wasmtest.Const(2<<10)), wasmtest.Const(1), wasmtest.BrIf(0)), wasmtest.Const(0)).Bytes()
}

// TestHost_LoopAfterTheFact_IsNotAwaited: a plug-in that loops upon answers and ends holds nobody up, and the answer stands.
func TestHost_LoopAfterTheFact_IsNotAwaited(t *testing.T) {
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
		t.Error("ends pile up without bound")
	}
}

// TestHost_ModuleTraps_IsStartedAnew: a module that works until its thousandth call is started anew, and works again.
func TestHost_ModuleTraps_IsStartedAnew(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.WorksUntil(999), `"instances": 1`).host()
	for i := range 1500 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7))
	}
	if c := &versionAt(h, 0).counts; c.Failures.Load() != 1 || c.Calls.Load() != 1500 {
		t.Errorf("%d calls, %d failures", c.Calls.Load(), c.Failures.Load())
	}
}

// TestHost_Memory_IsBoundedAndGivenBack: what all instances hold together is bounded, and given back when they end.
func TestHost_Memory_IsBoundedAndGivenBack(t *testing.T) {
	s := newSetup(t).with("a", wasmtest.Hoards(), "").with("b", wasmtest.Hoards(), "")
	s.extra = `, "memory_mb": 3`
	h := s.host()
	for i := range 8 {
		h.OnArrival("platform", message(fmt.Sprint(i), i))
	}
	if n := h.memories.used.Load(); n > 3<<20 || n < 2<<20 {
		t.Errorf("the instances hold %d bytes of 3 MB", n)
	}
	h.Close()
	if n := h.memories.used.Load(); n != 0 {
		t.Errorf("%d bytes are not given back", n)
	}
}
