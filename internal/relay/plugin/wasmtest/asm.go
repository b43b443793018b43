// Package wasmtest is a small assembler for WebAssembly modules and a set of hostile plug-ins made with it: stand-ins
// for what authors may hand in, for tests and for the measurement.
package wasmtest

import (
	"encoding/binary"
	"slices"
)

// Types of values.
const (
	I32 byte = 0x7f
	I64 byte = 0x7e
)

// Sig is a function's type.
type Sig struct{ Params, Results []byte }

// Some signatures.
var (
	None    = Sig{}
	ToI32   = Sig{nil, []byte{I32}}
	ToI64   = Sig{nil, []byte{I64}}
	I32s    = func(n int) Sig { return Sig{slices.Repeat([]byte{I32}, n), []byte{I32}} }
	I32sOut = func(n int) Sig { return Sig{slices.Repeat([]byte{I32}, n), nil} }
)

// Module is one that is being put together. Imports come before functions.
type Module struct {
	types   []Sig
	imports []byte
	nImport uint32
	funcs   []uint32
	bodies  [][]byte
	exports []byte
	nExport uint32
	globals uint32
	pages   [2]uint32
	data    []byte
	nData   uint32
	start   int
}

// New returns a module with a memory of pages, of at most most, exported as "memory".
func New(pages, most uint32) *Module {
	m := &Module{pages: [2]uint32{pages, most}, start: -1}
	m.exports = append(name(m.exports, "memory"), 2, 0)
	m.nExport = 1
	return m
}

func name(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }

func (m *Module) sig(s Sig) uint32 {
	for i, t := range m.types {
		if slices.Equal(t.Params, s.Params) && slices.Equal(t.Results, s.Results) {
			return uint32(i)
		}
	}
	m.types = append(m.types, s)
	return uint32(len(m.types) - 1)
}

// Import adds an import and returns its number.
func (m *Module) Import(module, fn string, s Sig) uint32 {
	m.imports = binary.AppendUvarint(append(name(name(m.imports, module), fn), 0), uint64(m.sig(s)))
	m.nImport++
	return m.nImport - 1
}

// Func adds a function with i32 locals and returns its number; the code needs no end.
func (m *Module) Func(s Sig, locals uint32, code ...[]byte) uint32 {
	body := []byte{0}
	if locals > 0 {
		body = append(binary.AppendUvarint([]byte{1}, uint64(locals)), I32)
	}
	body = append(append(body, slices.Concat(code...)...), 0x0b)
	m.funcs = append(m.funcs, m.sig(s))
	m.bodies = append(m.bodies, body)
	return m.nImport + uint32(len(m.funcs)) - 1
}

// Next is the number that the next function will have.
func (m *Module) Next() uint32 { return m.nImport + uint32(len(m.funcs)) }

// Export exports a function.
func (m *Module) Export(as string, fn uint32) *Module {
	m.exports = binary.AppendUvarint(append(name(m.exports, as), 0), uint64(fn))
	m.nExport++
	return m
}

// Global adds a variable i32 that starts at 0 and returns its number.
func (m *Module) Global() uint32 { m.globals++; return m.globals - 1 }

// Start sets the start function.
func (m *Module) Start(fn uint32) *Module { m.start = int(fn); return m }

// Data puts text at a place in memory and returns the place and size as constants.
func (m *Module) Data(at int32, text string) []byte {
	m.data = append(append(append(m.data, 0), Const(at)...), 0x0b)
	m.data = name(m.data, text)
	m.nData++
	return slices.Concat(Const(at), Const(int32(len(text))))
}

// Bytes is the module in the binary format.
func (m *Module) Bytes() []byte {
	out := []byte("\x00asm\x01\x00\x00\x00")
	section := func(id byte, n uint32, body []byte) {
		if n > 0 {
			b := append(binary.AppendUvarint(nil, uint64(n)), body...)
			out = append(binary.AppendUvarint(append(out, id), uint64(len(b))), b...)
		}
	}
	var types, funcs, code, globals []byte
	for _, t := range m.types {
		types = name(name(append(types, 0x60), string(t.Params)), string(t.Results))
	}
	for i, f := range m.funcs {
		funcs = binary.AppendUvarint(funcs, uint64(f))
		code = name(code, string(m.bodies[i]))
	}
	for range m.globals {
		globals = append(globals, I32, 1, 0x41, 0, 0x0b)
	}
	section(1, uint32(len(m.types)), types)
	section(2, m.nImport, m.imports)
	section(3, uint32(len(m.funcs)), funcs)
	section(5, 1, binary.AppendUvarint(binary.AppendUvarint([]byte{1}, uint64(m.pages[0])), uint64(m.pages[1])))
	section(6, m.globals, globals)
	section(7, m.nExport, m.exports)
	if m.start >= 0 {
		b := binary.AppendUvarint(nil, uint64(m.start))
		out = append(append(out, 8, byte(len(b))), b...)
	}
	section(10, uint32(len(m.funcs)), code)
	section(11, m.nData, m.data)
	return out
}

// Const pushes an i32.
func Const(v int32) []byte { return signed([]byte{0x41}, int64(v)) }

// Const64 pushes an i64.
func Const64(v int64) []byte { return signed([]byte{0x42}, v) }

func signed(b []byte, v int64) []byte {
	for {
		c := byte(v & 0x7f)
		if v >>= 7; v == 0 && c&0x40 == 0 || v == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

// Call calls a function.
func Call(fn uint32) []byte { return binary.AppendUvarint([]byte{0x10}, uint64(fn)) }

// Get pushes local n.
func Get(n uint32) []byte { return binary.AppendUvarint([]byte{0x20}, uint64(n)) }

// Set pops local n.
func Set(n uint32) []byte { return binary.AppendUvarint([]byte{0x21}, uint64(n)) }

// GetGlobal pushes global n.
func GetGlobal(n uint32) []byte { return binary.AppendUvarint([]byte{0x23}, uint64(n)) }

// SetGlobal pops global n.
func SetGlobal(n uint32) []byte { return binary.AppendUvarint([]byte{0x24}, uint64(n)) }

// Single instructions.
var (
	Unreachable = []byte{0x00}
	Return      = []byte{0x0f}
	Drop        = []byte{0x1a}
	Add         = []byte{0x6a}
	Sub         = []byte{0x6b}
	Rem         = []byte{0x70} // unsigned
	Eqz         = []byte{0x45}
	Eq          = []byte{0x46}
	GtU         = []byte{0x4b}
	Wrap        = []byte{0xa7} // i64 to i32
	Grow        = []byte{0x40, 0}
	Fill        = []byte{0xfc, 11, 0}
	Load8       = []byte{0x2d, 0, 0}
)

// Forever loops without end.
var Forever = []byte{0x03, 0x40, 0x0c, 0, 0x0b}

// If runs then if the i32 on top is not 0.
func If(then ...[]byte) []byte {
	return slices.Concat([]byte{0x04, 0x40}, slices.Concat(then...), []byte{0x0b})
}

// Loop repeats its body; Again within it, outside of inner blocks, goes back to its head.
func Loop(body ...[]byte) []byte {
	return slices.Concat([]byte{0x03, 0x40}, slices.Concat(body...), []byte{0x0b})
}

// Again branches to the head of the loop that it stands in, depth blocks out, if the i32 on top is not 0.
func Again(depth byte) []byte { return []byte{0x0d, depth} }
