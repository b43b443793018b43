package wasm_test

import (
	"context"
	"strings"
	"testing"

	"github.com/tetratelabs/wazero"

	"mastusher/internal/relay/plugin/wasm"
	w "mastusher/internal/relay/plugin/wasmtest"
)

// run calls "f" of a module that was rewritten.
func run(t *testing.T, m *w.Module, stack uint32, args ...uint64) ([]uint64, error) {
	t.Helper()
	b, err := wasm.Bounded(m.Bytes(), stack)
	if err != nil {
		t.Fatal(err)
	}
	r := wazero.NewRuntime(t.Context())
	t.Cleanup(func() { _ = r.Close(context.Background()) })
	i, err := r.Instantiate(t.Context(), b)
	if err != nil {
		t.Fatal(err)
	}
	return i.ExportedFunction("f").Call(t.Context(), args...)
}

// TestBounded_Functions_ReturnTheSame: what a function returns is what it returned before, by whichever way it leaves.
func TestBounded_Functions_ReturnTheSame(t *testing.T) {
	two := w.Sig{Results: []byte{w.I32, w.I64}}
	for name, c := range map[string]struct {
		sig  w.Sig
		code [][]byte
		arg  []uint64
		want []uint64
	}{
		"falls off its end":         {w.ToI32, [][]byte{w.Const(7)}, nil, []uint64{7}},
		"returns":                   {w.ToI32, [][]byte{w.Const(7), w.Return, w.Unreachable}, nil, []uint64{7}},
		"returns from inside":       {w.I32s(1), [][]byte{w.Loop(w.Get(0), w.If(w.Const(3), w.Return)), w.Const(4)}, []uint64{1}, []uint64{3}},
		"goes past the inside":      {w.I32s(1), [][]byte{w.Loop(w.Get(0), w.If(w.Const(3), w.Return)), w.Const(4)}, []uint64{0}, []uint64{4}},
		"two results":               {two, [][]byte{w.Const(1), w.Const64(-2), w.Return}, nil, []uint64{1, 1<<64 - 2}},
		"two results, at its end":   {two, [][]byte{w.Const(1), w.Const64(-2)}, nil, []uint64{1, 1<<64 - 2}},
		"none":                      {w.None, [][]byte{w.Const(1), w.Drop}, nil, []uint64{}},
		"a branch out of all":       {w.I32s(1), [][]byte{w.Const(5), w.Get(0), w.Again(0), w.Drop, w.Const(9)}, []uint64{1}, []uint64{5}},
		"looks like a return":       {w.ToI32, [][]byte{w.Const(0x0f0f), w.Const64(0x0f), w.Drop}, nil, []uint64{0x0f0f}},
		"returns with more on top":  {w.ToI32, [][]byte{w.Const(1), w.Const(2), w.Return}, nil, []uint64{2}},
		"several constants in data": {w.ToI32, [][]byte{w.Const(-1)}, nil, []uint64{1<<32 - 1}},
	} {
		t.Run(name, func(t *testing.T) {
			m := w.New(1, 1)
			m.Export("f", m.Func(c.sig, 1, c.code...))
			got, err := run(t, m, 1000, c.arg...)
			if err != nil || len(got) != len(c.want) {
				t.Fatalf("%v, %v", got, err)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("result %d is %#x, want %#x", i, got[i], c.want[i])
				}
			}
		})
	}
}

// TestBounded_Recursion_EndsAtStackLimit: recursion ends where the stack that it was given does, and what has returned is given back.
func TestBounded_Recursion_EndsAtStackLimit(t *testing.T) {
	m := w.New(1, 1)
	self := m.Next()
	m.Func(w.I32s(1), 0, w.Get(0), w.Eqz, w.If(w.Const(0), w.Return), w.Get(0), w.Const(1), w.Sub, w.Call(self), w.Const(1), w.Add)
	// Twice the same depth, one after another: the second must find the whole stack again.
	m.Export("f", m.Func(w.I32s(1), 0, w.Get(0), w.Call(self), w.Get(0), w.Call(self), w.Add))
	if got, err := run(t, m, 4000, 100); err != nil || got[0] != 200 {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := run(t, m, 4000, 1000); err == nil || !strings.Contains(err.Error(), "unreachable") {
		t.Errorf("error %v, want a trap", err)
	}
}

func TestBounded_InvalidModule_IsRefused(t *testing.T) {
	whole := w.Hoards()
	for i := range whole { // cut anywhere: an error or a module, never a panic
		_, _ = wasm.Bounded(whole[:i], 1000)
	}
	for name, c := range map[string]struct {
		code []byte
		want string
	}{
		"tail call": {[]byte{0x12, 0}, "tail calls"}, "vector": {[]byte{0xfd, 12}, "vector"}, "thread": {[]byte{0xfe, 0}, "threads"},
		"no such thing": {[]byte{0xff}, "unknown instruction 0xff"}, "after the end": {[]byte{0x0b, 0x0b}, "code after its end"},
	} {
		m := w.New(1, 1)
		m.Export("f", m.Func(w.None, 0, c.code))
		if _, err := wasm.Bounded(m.Bytes(), 1000); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzBounded: no input makes it panic, and what it makes of a module that is valid is valid too.
func FuzzBounded(f *testing.F) {
	for _, m := range [][]byte{w.Hoards(), w.Fans(), w.Floods(), w.Header("X-A", "b"), w.One(1, 2), w.LoopsAtStart()} {
		f.Add(m)
	}
	cfg := wazero.NewRuntimeConfigInterpreter()
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := wasm.Bounded(b, 1000)
		if err != nil {
			return
		}
		ctx := t.Context()
		r := wazero.NewRuntimeWithConfig(ctx, cfg)
		defer r.Close(ctx)
		if _, err := r.CompileModule(ctx, b); err == nil {
			if _, err := r.CompileModule(ctx, out); err != nil {
				t.Errorf("it was valid, and is not now: %v", err)
			}
		}
	})
}
