package wasm_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tetratelabs/wazero"

	"mastusher/internal/relay/plugin/wasm"
	w "mastusher/internal/relay/plugin/wasmtest"
)

// run rewrites a module and calls its export "f".
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

// TestBounded_Functions_ReturnTheSame: a rewritten function returns the same results as the original, whether it returns at its end, by a
// return or by a branch.
func TestBounded_Functions_ReturnTheSame(t *testing.T) {
	two := w.Sig{Results: []byte{w.I32, w.I64}}
	for name, c := range map[string]struct {
		sig  w.Sig
		code [][]byte
		arg  []uint64
		want []uint64
	}{
		"end without return":                 {w.ToI32, [][]byte{w.Const(7)}, nil, []uint64{7}},
		"return at the outermost level":      {w.ToI32, [][]byte{w.Const(7), w.Return, w.Unreachable}, nil, []uint64{7}},
		"return from a nested block":         {w.I32s(1), [][]byte{w.Loop(w.Get(0), w.If(w.Const(3), w.Return)), w.Const(4)}, []uint64{1}, []uint64{3}},
		"nested return not taken":            {w.I32s(1), [][]byte{w.Loop(w.Get(0), w.If(w.Const(3), w.Return)), w.Const(4)}, []uint64{0}, []uint64{4}},
		"return of two results":              {two, [][]byte{w.Const(1), w.Const64(-2), w.Return}, nil, []uint64{1, 1<<64 - 2}},
		"end with two results":               {two, [][]byte{w.Const(1), w.Const64(-2)}, nil, []uint64{1, 1<<64 - 2}},
		"no result":                          {w.None, [][]byte{w.Const(1), w.Drop}, nil, []uint64{}},
		"branch to the function's own label": {w.I32s(1), [][]byte{w.Const(5), w.Get(0), w.BrIf(0), w.Drop, w.Const(9)}, []uint64{1}, []uint64{5}},
		"constants with the byte of return":  {w.ToI32, [][]byte{w.Const(0x0f0f), w.Const64(0x0f), w.Drop}, nil, []uint64{0x0f0f}},
		"return with values left below":      {w.ToI32, [][]byte{w.Const(1), w.Const(2), w.Return}, nil, []uint64{2}},
		"negative constant":                  {w.ToI32, [][]byte{w.Const(-1)}, nil, []uint64{1<<32 - 1}},
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

// TestBounded_Recursion_EndsAtStackLimit: recursion traps at the stack limit, and calls that have returned no longer count.
func TestBounded_Recursion_EndsAtStackLimit(t *testing.T) {
	m := w.New(1, 1)
	self := m.Next()
	m.Func(w.I32s(1), 0, w.Get(0), w.Eqz, w.If(w.Const(0), w.Return), w.Get(0), w.Const(1), w.Sub, w.Call(self), w.Const(1), w.Add)
	// Two recursions of the same depth, one after the other: the second must have the whole stack available again.
	m.Export("f", m.Func(w.I32s(1), 0, w.Get(0), w.Call(self), w.Get(0), w.Call(self), w.Add))
	if got, err := run(t, m, 4000, 100); err != nil || got[0] != 200 {
		t.Errorf("result %v, %v; want 200", got, err)
	}
	if _, err := run(t, m, 4000, 1000); err == nil || !strings.Contains(err.Error(), "unreachable") {
		t.Errorf("error %v, want a trap", err)
	}
}

// TestBounded_CutModule_NeverPanics: Bounded does not panic for a module that is truncated anywhere.
func TestBounded_CutModule_NeverPanics(*testing.T) {
	module := w.Hoards()
	for size := range module {
		_, _ = wasm.Bounded(module[:size], 1000)
	}
}

func TestBounded_UnsupportedCode_NamesFunctionAndInstruction(t *testing.T) {
	for name, c := range map[string]struct {
		code []byte
		want string
	}{
		"tail call":                      {[]byte{0x12, 0}, "wasm: function 1: tail calls are not supported"},
		"vector instruction":             {[]byte{0xfd, 12}, "wasm: function 1: vector instructions are not supported"},
		"atomic instruction":             {[]byte{0xfe, 0}, "wasm: function 1: threads are not supported"},
		"unknown instruction":            {[]byte{0xff}, "wasm: function 1: unknown instruction 0xff"},
		"unknown instruction of a group": {[]byte{0xfc, 18}, "wasm: function 1: unknown instruction fc 18"},
		"instruction after the last end": {[]byte{0x0b, 0x0b}, "wasm: function 1: code after the function's end"},
	} {
		t.Run(name, func(t *testing.T) {
			m := w.New(1, 1)
			m.Func(w.None, 0, w.Const(1), w.Drop)
			m.Export("f", m.Func(w.None, 0, c.code))
			_, err := wasm.Bounded(m.Bytes(), 1000)
			var function *wasm.FunctionError
			if !errors.As(err, &function) || function.Index != 1 || err.Error() != c.want {
				t.Fatalf("error %v, want %s", err, c.want)
			}
			var code *wasm.CodeError
			if !errors.As(err, &code) {
				t.Fatalf("error %#v, want a *CodeError", function.Err)
			}
			if name != "instruction after the last end" && m.Bytes()[code.Offset] != c.code[0] {
				t.Errorf("byte %#x is at the error's offset %d, want the instruction", m.Bytes()[code.Offset], code.Offset)
			}
		})
	}
}

func TestBounded_MalformedModule_NamesSectionAndOffset(t *testing.T) {
	of := func(sections ...byte) []byte { return append([]byte(wasm.Magic), sections...) }
	for name, c := range map[string]struct {
		module []byte
		want   wasm.ParseError
	}{
		"no header":                  {nil, wasm.ParseError{Reason: "invalid magic number"}},
		"another file":               {[]byte("\x7fELF\x01\x00\x00\x00"), wasm.ParseError{Reason: "invalid magic number"}},
		"another version":            {[]byte("\x00asm\x0d\x00\x01\x00"), wasm.ParseError{Offset: 4, Reason: "binary format version 65549, want 1"}},
		"section past the end":       {of(1, 9), wasm.ParseError{Offset: 10, Reason: "unexpected end or invalid number"}},
		"type that is no function's": {of(1, 2, 1, 0x5f), wasm.ParseError{Section: wasm.SectionType, Offset: 12, Reason: "a type that is not a function type"}},
		"import of unknown kind":     {of(2, 4, 1, 0, 0, 9), wasm.ParseError{Section: wasm.SectionImport, Offset: 14, Reason: "an import of unknown kind"}},
		"function without a type":    {of(3, 2, 1, 7), wasm.ParseError{Section: wasm.SectionFunction, Offset: 12, Reason: "a function with an undefined type index"}},
		"code without a function": {of(10, 1, 1),
			wasm.ParseError{Section: wasm.SectionCode, Offset: 11, Reason: "the function and code sections differ in length"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := wasm.Bounded(c.module, 1000)
			var got *wasm.ParseError
			if !errors.As(err, &got) {
				t.Fatalf("error %v, want a ParseError", err)
			}
			if d := cmp.Diff(c.want, *got); d != "" {
				t.Errorf("error (-want +got)\n%s", d)
			}
			if want := "wasm: " + c.want.Reason; err.Error() != want {
				t.Errorf("error %q, want %q", err, want)
			}
		})
	}
}

// TestBounded_CodeCutShort_NamesFunction: for a function whose code has no end, the error names the function, and wraps a ParseError with
// the offset.
func TestBounded_CodeCutShort_NamesFunction(t *testing.T) {
	module := append([]byte(wasm.Magic), 1, 4, 1, 0x60, 0, 0, 3, 2, 1, 0, 10, 5, 1, 3, 0, 0x41, 0x80)
	_, err := wasm.Bounded(module, 1000)
	var parse *wasm.ParseError
	if !errors.As(err, &parse) || parse.Offset != len(module) || err.Error() != "wasm: function 0: wasm: unexpected end or invalid number" {
		t.Errorf("error %v (%+v), want one of function 0 at the module's end", err, parse)
	}
}

// FuzzBounded: no input makes Bounded panic, and a valid module is still valid after rewriting.
func FuzzBounded(f *testing.F) {
	for _, m := range [][]byte{w.Hoards(), w.Fans(), w.Floods(), w.Header("X-A", "b"), w.ABI1(1, 2), w.LoopsAtStart()} {
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
				t.Errorf("a valid module is invalid after rewriting: %v", err)
			}
		}
	})
}
