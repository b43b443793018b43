package wasmtest

import "slices"

// The phases of ABI 2.
const (
	Arrival = 1
	Answer  = 2
	End     = 4
)

// Host is a plug-in of ABI 2 that is being put together, with the numbers of its imports by name.
type Host struct {
	*Module
	imports map[string]uint32
}

// Signatures are the types of the imports of ABI 2, by name.
var Signatures = map[string]Sig{"get": I32s(3), "number": {[]byte{I32}, []byte{I64}}, "get_header": I32s(4), "out_header": I32s(4),
	"set_header": I32s(4), "remove_header": I32s(2), "set_body": I32s(2), "reject": I32s(3), "wait": {[]byte{I64}, []byte{I32}},
	"refuse": ToI32, "log": I32sOut(2), "random": ToI64, "store_get": I32s(4),
	"store_set": {[]byte{I32, I32, I32, I32, I64}, []byte{I32}}, "store_delete": I32sOut(2)}

// Plugin begins a plug-in of ABI 2 that takes part in the phases of a mask and imports what is named.
func Plugin(mask int32, pages, maxPages uint32, imports ...string) *Host {
	h := &Host{New(pages, maxPages), map[string]uint32{}}
	for _, name := range imports {
		h.imports[name] = h.Import("mastusher_v2", name, Signatures[name])
	}
	h.Export("mastusher_abi_2", h.Func(ToI32, 0, Const(mask)))
	return h
}

// Do calls an import with arguments that are on the stack already, or given here.
func (h *Host) Do(name string, args ...[]byte) []byte {
	return slices.Concat(slices.Concat(args...), Call(h.imports[name]))
}

// On gives a phase its code, which leaves an i32: 0 for all is well.
func (h *Host) On(phase string, locals uint32, code ...[]byte) *Host {
	h.Export("on_"+phase, h.Func(ToI32, locals, code...))
	return h
}

// Passing does nothing at all.
func Passing() []byte { return Plugin(Arrival, 1, 1).On("arrival", 0, Const(0)).Bytes() }

// Header sets a header to a value.
func Header(key, value string) []byte {
	h := Plugin(Arrival, 1, 1, "set_header")
	k, v := h.Data(64, key), h.Data(512, value)
	return h.On("arrival", 0, h.Do("set_header", k, v), Drop, Const(0)).Bytes()
}

// Settings sets a header to its own configuration.
func Settings(key string) []byte {
	h := Plugin(Arrival, 1, 1, "set_header", "get")
	k := h.Data(64, key)
	return h.On("arrival", 0, k, Const(512), h.Do("get", Const(7), Const(512), Const(64)), h.Do("set_header"), Drop, Const(0)).Bytes()
}

// every runs code at each n-th call.
func every(h *Host, n int32, code ...[]byte) []byte {
	g := h.Global()
	return slices.Concat(GetGlobal(g), Const(1), Add, SetGlobal(g), GetGlobal(g), Const(n), Rem, Eqz, If(code...))
}

// Loops loops without end at each n-th call of each phase.
func Loops(n int32) []byte {
	h := Plugin(Arrival|Answer|End, 1, 1)
	for _, phase := range []string{"arrival", "answer", "end"} {
		h.On(phase, 0, every(h, n, Forever), Const(0))
	}
	return h.Bytes()
}

// LoopsAtStart never comes up.
func LoopsAtStart() []byte {
	h := Plugin(Arrival, 1, 1).On("arrival", 0, Const(0))
	h.Start(h.Func(None, 0, Forever))
	return h.Bytes()
}

// LoopsInPhaseMask loops when it is asked for its phases.
func LoopsInPhaseMask() []byte {
	h := New(1, 1)
	h.Export("mastusher_abi_2", h.Func(ToI32, 0, Forever, Const(0)))
	return h.Export("on_arrival", h.Func(ToI32, 0, Const(0))).Bytes()
}

// Traps traps at each n-th call.
func Traps(n int32) []byte {
	h := Plugin(Arrival, 1, 1)
	return h.On("arrival", 0, every(h, n, Unreachable), Const(0)).Bytes()
}

// WorksUntil is a plug-in that works until call n, and traps from then on.
func WorksUntil(n int32) []byte {
	h := Plugin(Arrival, 1, 1)
	g := h.Global()
	return h.On("arrival", 0, GetGlobal(g), Const(1), Add, SetGlobal(g), GetGlobal(g), Const(n), GtU, If(Unreachable), Const(0)).Bytes()
}

// FailsFor traps for one partner only.
func FailsFor(partner int32) []byte {
	h := Plugin(Arrival, 1, 1, "number")
	return h.On("arrival", 0, h.Do("number", Const(1)), Wrap, Const(partner), Eq, If(Unreachable), Const(0)).Bytes()
}

// LoopsFor loops for one partner only.
func LoopsFor(partner int32) []byte {
	h := Plugin(Arrival, 1, 1, "number")
	return h.On("arrival", 0, h.Do("number", Const(1)), Wrap, Const(partner), Eq, If(Forever), Const(0)).Bytes()
}

// Recurses calls itself without end.
func Recurses() []byte {
	h := Plugin(Arrival, 1, 1)
	self := h.Next()
	h.Func(ToI32, 0, Call(self), Const(1), Add)
	return h.On("arrival", 0, Call(self)).Bytes()
}

// Fans calls itself twice from each call, 60 deep: no loop, and no end in a lifetime.
func Fans() []byte {
	h := Plugin(Arrival, 1, 1)
	self := h.Next()
	h.Func(Sig{[]byte{I32}, []byte{I32}}, 0, Get(0), Eqz, If(Const(0), Return),
		Get(0), Const(1), Sub, Call(self), Drop, Get(0), Const(1), Sub, Call(self))
	return h.On("arrival", 0, Const(60), Call(self)).Bytes()
}

// Hoards grows its memory page by page until it gets none, writes to all of it, and keeps it.
func Hoards() []byte {
	h := Plugin(Arrival, 1, 65536)
	return h.On("arrival", 1, Loop(Const(1), Grow, Const(-1), Eq, Eqz, BrIf(0)),
		Const(0), Const(7), []byte{0x3f, 0}, Const(65536), []byte{0x6c}, Fill, Const(0)).Bytes()
}

// Floods logs and rejects with a long reason, over and over.
func Floods() []byte {
	h := Plugin(Arrival, 2, 2, "log", "reject")
	return h.On("arrival", 1, Const(0), Const(65), Const(65536), Fill,
		Loop(h.Do("log", Const(0), Const(65536)), h.Do("reject", Const(422), Const(0), Const(65536)), Drop,
			Get(0), Const(1), Add, Set(0), Const(50), Get(0), GtU, BrIf(0)), Const(0)).Bytes()
}

// CallsWith makes one call to an import, with arguments as they are given; those that are not are 0.
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

// ABI1 is a plug-in of ABI 1 whose alloc returns at, and whose inspect returns verdict.
func ABI1(at, verdict int32) []byte {
	m := New(1, 1)
	m.Export("alloc", m.Func(I32s(1), 0, Const(at)))
	return m.Export("inspect", m.Func(I32s(2), 0, Const(verdict))).Bytes()
}

// Later speaks an ABI that is not there yet.
func Later() []byte {
	m := New(1, 1)
	m.Export("mastusher_abi_3", m.Func(ToI32, 0, Const(1)))
	return m.Export("on_arrival", m.Func(ToI32, 0, Const(0))).Bytes()
}

// Asks is an answer's phase that calls wait and refuse.
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

// Counts adds 1 to a byte of its store at each call, and logs nothing.
func Counts(key string) []byte {
	h := Plugin(Arrival|End, 1, 1, "store_get", "store_set")
	k := h.Data(64, key)
	code := [][]byte{h.Do("store_get", k, Const(256), Const(1)), Drop,
		Const(256), Const(256), Load8, Const(1), Add, {0x3a, 0, 0},
		h.Do("store_set", k, Const(256), Const(1), Const64(0)), Drop, Const(0)}
	h.On("arrival", 0, code...)
	return h.On("end", 0, code...).Bytes()
}

// Exits ends its process, as a panic in Go does.
func Exits() []byte {
	m := New(1, 1)
	exit := m.Import("wasi_snapshot_preview1", "proc_exit", I32sOut(1))
	m.Export("mastusher_abi_2", m.Func(ToI32, 0, Const(Arrival)))
	m.Export("on_arrival", m.Func(ToI32, 0, Const(2), Call(exit), Const(0)))
	return m.Bytes()
}
