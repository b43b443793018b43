package wasmtest

import "slices"

// The phases of ABI 2.
const (
	Arrival = 1
	Answer  = 2
	End     = 4
)

// Host is an ABI 2 plug-in that is being assembled, with the function indices of its imports by name.
type Host struct {
	*Module
	imports map[string]uint32
}

// Signatures has the types of the host functions of ABI 2, by name.
var Signatures = map[string]Sig{"get": I32s(3), "number": {[]byte{I32}, []byte{I64}}, "get_header": I32s(4), "out_header": I32s(4),
	"set_header": I32s(4), "remove_header": I32s(2), "set_body": I32s(2), "reject": I32s(3), "wait": {[]byte{I64}, []byte{I32}},
	"refuse": ToI32, "log": I32sOut(2), "random": ToI64, "store_get": I32s(4),
	"store_set": {[]byte{I32, I32, I32, I32, I64}, []byte{I32}}, "store_delete": I32sOut(2)}

// Plugin returns a new ABI 2 plug-in that handles the phases in a mask and has the named imports.
func Plugin(mask int32, pages, maxPages uint32, imports ...string) *Host {
	h := &Host{New(pages, maxPages), map[string]uint32{}}
	for _, name := range imports {
		h.imports[name] = h.Import("mastusher_v2", name, Signatures[name])
	}
	h.Export("mastusher_abi_2", h.Func(ToI32, 0, Const(mask)))
	return h
}

// Do returns code that calls an import. args is code that pushes arguments; it may be empty if they are on the stack already.
func (h *Host) Do(name string, args ...[]byte) []byte {
	return slices.Concat(slices.Concat(args...), Call(h.imports[name]))
}

// On adds the function of a phase. Its code pushes an i32 status, 0 for success.
func (h *Host) On(phase string, locals uint32, code ...[]byte) *Host {
	h.Export("on_"+phase, h.Func(ToI32, locals, code...))
	return h
}

// Passing returns a plug-in that does nothing.
func Passing() []byte { return Plugin(Arrival, 1, 1).On("arrival", 0, Const(0)).Bytes() }

// Header returns a plug-in that sets a header to a value.
func Header(key, value string) []byte {
	h := Plugin(Arrival, 1, 1, "set_header")
	k, v := h.Data(64, key), h.Data(512, value)
	return h.On("arrival", 0, h.Do("set_header", k, v), Drop, Const(0)).Bytes()
}

// Settings returns a plug-in that sets the header key to the plug-in's configuration.
func Settings(key string) []byte {
	h := Plugin(Arrival, 1, 1, "set_header", "get")
	k := h.Data(64, key)
	return h.On("arrival", 0, k, Const(512), h.Do("get", Const(7), Const(512), Const(64)), h.Do("set_header"), Drop, Const(0)).Bytes()
}

// every returns code that runs code at every n-th call.
func every(h *Host, n int32, code ...[]byte) []byte {
	g := h.Global()
	return slices.Concat(GetGlobal(g), Const(1), Add, SetGlobal(g), GetGlobal(g), Const(n), Rem, Eqz, If(code...))
}

// Loops returns a plug-in that loops without end at every n-th call of each phase.
func Loops(n int32) []byte {
	h := Plugin(Arrival|Answer|End, 1, 1)
	for _, phase := range []string{"arrival", "answer", "end"} {
		h.On(phase, 0, every(h, n, Forever), Const(0))
	}
	return h.Bytes()
}

// LoopsAtStart returns a plug-in whose start function loops without end.
func LoopsAtStart() []byte {
	h := Plugin(Arrival, 1, 1).On("arrival", 0, Const(0))
	h.Start(h.Func(None, 0, Forever))
	return h.Bytes()
}

// LoopsInPhaseMask returns a plug-in that loops without end when it is called for its mask of phases.
func LoopsInPhaseMask() []byte {
	h := New(1, 1)
	h.Export("mastusher_abi_2", h.Func(ToI32, 0, Forever, Const(0)))
	return h.Export("on_arrival", h.Func(ToI32, 0, Const(0))).Bytes()
}

// Traps returns a plug-in that traps at every n-th call.
func Traps(n int32) []byte {
	h := Plugin(Arrival, 1, 1)
	return h.On("arrival", 0, every(h, n, Unreachable), Const(0)).Bytes()
}

// WorksUntil returns a plug-in whose first n calls in an instance succeed and whose further calls trap.
func WorksUntil(n int32) []byte {
	h := Plugin(Arrival, 1, 1)
	g := h.Global()
	return h.On("arrival", 0, GetGlobal(g), Const(1), Add, SetGlobal(g), GetGlobal(g), Const(n), GtU, If(Unreachable), Const(0)).Bytes()
}

// FailsFor returns a plug-in that traps for one partner only.
func FailsFor(partner int32) []byte {
	h := Plugin(Arrival, 1, 1, "number")
	return h.On("arrival", 0, h.Do("number", Const(1)), Wrap, Const(partner), Eq, If(Unreachable), Const(0)).Bytes()
}

// LoopsFor returns a plug-in that loops without end for one partner only.
func LoopsFor(partner int32) []byte {
	h := Plugin(Arrival, 1, 1, "number")
	return h.On("arrival", 0, h.Do("number", Const(1)), Wrap, Const(partner), Eq, If(Forever), Const(0)).Bytes()
}

// Recurses returns a plug-in that recurses without end.
func Recurses() []byte {
	h := Plugin(Arrival, 1, 1)
	self := h.Next()
	h.Func(ToI32, 0, Call(self), Const(1), Add)
	return h.On("arrival", 0, Call(self)).Bytes()
}

// Fans returns a plug-in with a recursive function that calls itself twice, 60 levels deep. It has no loop and bounded stack, but would
// run for years.
func Fans() []byte {
	h := Plugin(Arrival, 1, 1)
	self := h.Next()
	h.Func(Sig{[]byte{I32}, []byte{I32}}, 0, Get(0), Eqz, If(Const(0), Return),
		Get(0), Const(1), Sub, Call(self), Drop, Get(0), Const(1), Sub, Call(self))
	return h.On("arrival", 0, Const(60), Call(self)).Bytes()
}

// Hoards returns a plug-in that grows its memory page by page until that fails, and writes to all of it.
func Hoards() []byte {
	h := Plugin(Arrival, 1, 65536)
	return h.On("arrival", 1, Loop(Const(1), Grow, Const(-1), Eq, Eqz, BrIf(0)),
		Const(0), Const(7), []byte{0x3f, 0}, Const(65536), []byte{0x6c}, Fill, Const(0)).Bytes()
}

// Floods returns a plug-in that logs a long line and rejects with a long reason, 50 times.
func Floods() []byte {
	h := Plugin(Arrival, 2, 2, "log", "reject")
	return h.On("arrival", 1, Const(0), Const(65), Const(65536), Fill,
		Loop(h.Do("log", Const(0), Const(65536)), h.Do("reject", Const(422), Const(0), Const(65536)), Drop,
			Get(0), Const(1), Add, Set(0), Const(50), Get(0), GtU, BrIf(0)), Const(0)).Bytes()
}

// CallsWith returns a plug-in that calls an import once with the given arguments. Missing arguments are 0.
func CallsWith(phase string, mask int32, name string, args ...int64) []byte {
	h := Plugin(mask, 1, 1, name)
	signature := Signatures[name]
	var code []byte
	for i, valueType := range signature.Params {
		argument := int64(0)
		if i < len(args) {
			argument = args[i]
		}
		if valueType == I64 {
			code = append(code, Const64(argument)...)
		} else {
			code = append(code, Const(int32(argument))...)
		}
	}
	code = append(code, h.Do(name)...)
	if len(signature.Results) > 0 {
		code = append(code, Drop...)
	}
	return h.On(phase, 0, code, Const(0)).Bytes()
}

// ABI1 returns an ABI 1 plug-in whose alloc returns at and whose inspect returns verdict.
func ABI1(at, verdict int32) []byte {
	m := New(1, 1)
	m.Export("alloc", m.Func(I32s(1), 0, Const(at)))
	return m.Export("inspect", m.Func(I32s(2), 0, Const(verdict))).Bytes()
}

// Later returns a plug-in that uses ABI 3, which does not exist yet.
func Later() []byte {
	m := New(1, 1)
	m.Export("mastusher_abi_3", m.Func(ToI32, 0, Const(1)))
	return m.Export("on_arrival", m.Func(ToI32, 0, Const(0))).Bytes()
}

// Asks returns a plug-in whose answer phase calls wait, unless ms is 0, and refuse if that is set.
func Asks(ms int64, refuse bool) []byte {
	h := Plugin(Answer, 1, 1, "wait", "refuse")
	var code []byte
	if ms != 0 {
		code = slices.Concat(h.Do("wait", Const64(ms)), Drop)
	}
	if refuse {
		code = append(code, slices.Concat(h.Do("refuse"), Drop)...)
	}
	return h.On("answer", 0, code, Const(0)).Bytes()
}

// Counts returns a plug-in that adds 1 to a byte in its store at each call.
func Counts(key string) []byte {
	h := Plugin(Arrival|End, 1, 1, "store_get", "store_set")
	k := h.Data(64, key)
	code := [][]byte{h.Do("store_get", k, Const(256), Const(1)), Drop,
		Const(256), Const(256), Load8, Const(1), Add, {0x3a, 0, 0},
		h.Do("store_set", k, Const(256), Const(1), Const64(0)), Drop, Const(0)}
	h.On("arrival", 0, code...)
	return h.On("end", 0, code...).Bytes()
}

// Exits returns a plug-in that calls proc_exit, as a panic in Go does.
func Exits() []byte {
	m := New(1, 1)
	exit := m.Import("wasi_snapshot_preview1", "proc_exit", I32sOut(1))
	m.Export("mastusher_abi_2", m.Func(ToI32, 0, Const(Arrival)))
	m.Export("on_arrival", m.Func(ToI32, 0, Const(2), Call(exit), Const(0)))
	return m.Bytes()
}
