// Package wasmtest has a small assembler for WebAssembly modules, and plug-ins made with it, many of them hostile, for tests and for
// cmd/plugin-benchmark. It shares no code with package wasm, whose tests use it. It does not check the code that it assembles.
//
// asm.go has modules, instructions.go instructions, plugins.go the plug-ins.
package wasmtest

import (
	"encoding/binary"
	"slices"
)

// Value types.
const (
	I32 byte = 0x7f
	I64 byte = 0x7e
)

// Sig is a function's type.
type Sig struct{ Params, Results []byte }

// Some signatures.
var (
	None  = Sig{}
	ToI32 = Sig{nil, []byte{I32}}
	ToI64 = Sig{nil, []byte{I64}}
)

// I32s returns the type of a function with n parameters of type i32 and one i32 result.
func I32s(n int) Sig { return Sig{slices.Repeat([]byte{I32}, n), []byte{I32}} }

// I32sOut returns the type of a function with n parameters of type i32 and no result.
func I32sOut(n int) Sig { return Sig{slices.Repeat([]byte{I32}, n), nil} }

// Ids of sections.
const (
	sectionType     = 1
	sectionImport   = 2
	sectionFunction = 3
	sectionMemory   = 5
	sectionGlobal   = 6
	sectionExport   = 7
	sectionStart    = 8
	sectionCode     = 10
	sectionData     = 11
)

// Kinds of imports and exports.
const (
	kindFunction = 0
	kindMemory   = 2
)

// noStart is Module.start where there is no start function.
const noStart = -1

// Module is a module that is being assembled. All imports must be added before the first function.
type Module struct {
	types     []Sig
	imports   []byte
	importNo  uint32
	functions []uint32 // type index of each function
	bodies    [][]byte // of the functions
	exports   []byte
	exportNo  uint32
	globals   uint32
	pages     uint32 // initial size of the memory in pages of 64 KB
	maxPages  uint32
	data      []byte
	dataNo    uint32
	start     int // index of the start function, or noStart
}

// New returns a module that exports a memory as "memory". Its initial and maximum sizes are in pages of 64 KB.
func New(pages, maxPages uint32) *Module {
	m := &Module{pages: pages, maxPages: maxPages, start: noStart}
	m.exports = append(appendName(m.exports, "memory"), kindMemory, 0)
	m.exportNo = 1
	return m
}

// appendName appends a name, or another vector of bytes.
func appendName(b []byte, name string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(name))), name...)
}

// typeIndex returns the index of a signature among the module's types. It adds the signature if need be.
func (m *Module) typeIndex(s Sig) uint32 {
	for i, t := range m.types {
		if slices.Equal(t.Params, s.Params) && slices.Equal(t.Results, s.Results) {
			return uint32(i)
		}
	}
	m.types = append(m.types, s)
	return uint32(len(m.types) - 1)
}

// Import adds an imported function and returns its index.
func (m *Module) Import(module, fn string, s Sig) uint32 {
	m.imports = append(appendName(appendName(m.imports, module), fn), kindFunction)
	m.imports = binary.AppendUvarint(m.imports, uint64(m.typeIndex(s)))
	m.importNo++
	return m.importNo - 1
}

// Func adds a function with a number of i32 locals, and returns its index. The final end instruction is added to the code.
func (m *Module) Func(s Sig, locals uint32, code ...[]byte) uint32 {
	body := []byte{0}
	if locals > 0 {
		body = append(binary.AppendUvarint([]byte{1}, uint64(locals)), I32)
	}
	body = append(append(body, slices.Concat(code...)...), opEnd)
	m.functions = append(m.functions, m.typeIndex(s))
	m.bodies = append(m.bodies, body)
	return m.Next() - 1
}

// Next returns the index that the next function will have.
func (m *Module) Next() uint32 { return m.importNo + uint32(len(m.functions)) }

// Export exports a function.
func (m *Module) Export(as string, fn uint32) *Module {
	m.exports = binary.AppendUvarint(append(appendName(m.exports, as), kindFunction), uint64(fn))
	m.exportNo++
	return m
}

// Global adds a mutable i32 global with the value 0 and returns its index.
func (m *Module) Global() uint32 {
	m.globals++
	return m.globals - 1
}

// Start sets the start function.
func (m *Module) Start(fn uint32) *Module {
	m.start = int(fn)
	return m
}

// Data adds text as a data segment at an address, and returns code that pushes the address and the size.
func (m *Module) Data(at int32, text string) []byte {
	const activeInMemory0 = 0
	m.data = append(append(append(m.data, activeInMemory0), Const(at)...), opEnd)
	m.data = appendName(m.data, text)
	m.dataNo++
	return slices.Concat(Const(at), Const(int32(len(text))))
}

// Bytes returns the module in the binary format.
func (m *Module) Bytes() []byte {
	out := []byte("\x00asm\x01\x00\x00\x00")
	out = appendSection(out, sectionType, uint32(len(m.types)), m.typeBodies())
	out = appendSection(out, sectionImport, m.importNo, m.imports)
	out = appendSection(out, sectionFunction, uint32(len(m.functions)), m.functionTypes())
	out = appendSection(out, sectionMemory, 1, m.memoryLimits())
	out = appendSection(out, sectionGlobal, m.globals, slices.Repeat([]byte{I32, 1, opI32Const, 0, opEnd}, int(m.globals)))
	out = appendSection(out, sectionExport, m.exportNo, m.exports)
	if m.start != noStart {
		function := binary.AppendUvarint(nil, uint64(m.start))
		out = append(append(out, sectionStart, byte(len(function))), function...)
	}
	out = appendSection(out, sectionCode, uint32(len(m.functions)), m.code())
	return appendSection(out, sectionData, m.dataNo, m.data)
}

// appendSection appends a section with a number of elements, unless that number is 0.
func appendSection(out []byte, id byte, elements uint32, body []byte) []byte {
	if elements == 0 {
		return out
	}
	vector := append(binary.AppendUvarint(nil, uint64(elements)), body...)
	out = binary.AppendUvarint(append(out, id), uint64(len(vector)))
	return append(out, vector...)
}

func (m *Module) typeBodies() (b []byte) {
	const functionType = 0x60
	for _, t := range m.types {
		b = append(b, functionType)
		b = appendName(b, string(t.Params))
		b = appendName(b, string(t.Results))
	}
	return b
}

func (m *Module) functionTypes() (b []byte) {
	for _, index := range m.functions {
		b = binary.AppendUvarint(b, uint64(index))
	}
	return b
}

func (m *Module) memoryLimits() []byte {
	const hasMax = 1
	b := binary.AppendUvarint([]byte{hasMax}, uint64(m.pages))
	return binary.AppendUvarint(b, uint64(m.maxPages))
}

func (m *Module) code() (b []byte) {
	for _, body := range m.bodies {
		b = appendName(b, string(body))
	}
	return b
}
