package wasm

import (
	"encoding/binary"
	"fmt"
)

// Magic is the header of a module: the magic number and the version of the binary format.
const Magic = "\x00asm\x01\x00\x00\x00"

// magicSize is the size in bytes of the magic number, which the version follows.
const magicSize = 4

// Section is the id of a module's section.
type Section byte

// The sections that are read, rewritten or removed; others are copied.
const (
	SectionCustom   Section = 0
	SectionType     Section = 1
	SectionImport   Section = 2
	SectionFunction Section = 3
	SectionGlobal   Section = 6
	SectionCode     Section = 10
)

// Kinds of imports.
const (
	importFunction = 0
	importTable    = 1
	importMemory   = 2
	importGlobal   = 3
)

// Encodings of types and of the end of an expression.
const (
	functionType = 0x60
	typeI32      = 0x7f
	mutable      = 1
	emptyBlock   = 0x40 // type of a block without results
)

// section is one section of a module.
type section struct {
	id   Section
	body span
}

func (s *section) reader() *reader { return &reader{span: s.body, section: s.id} }

// readSections splits a module into its sections, without custom ones.
func readSections(module []byte) ([]section, error) {
	if len(module) < len(Magic) || string(module[:magicSize]) != Magic[:magicSize] {
		return nil, &ParseError{Reason: "invalid magic number"}
	}
	if string(module[:len(Magic)]) != Magic {
		version := binary.LittleEndian.Uint32(module[magicSize:])
		return nil, &ParseError{Offset: magicSize, Reason: fmt.Sprintf("binary format version %d, want 1", version)}
	}
	r := &reader{span: span{data: module}, pos: len(Magic)}
	var all []section
	for r.err == nil && !r.done() {
		id := Section(r.byte())
		body := r.vector()
		if id != SectionCustom {
			all = append(all, section{id, body})
		}
	}
	return all, r.err
}

func appendSection(b []byte, id Section, body []byte) []byte {
	b = binary.AppendUvarint(append(b, byte(id)), uint64(len(body)))
	return append(b, body...)
}

// declarations has what a module declares in the sections before its code, as far as rewriting needs it.
type declarations struct {
	results       [][]byte // results of each function type, encoded as a vector
	types         []byte   // all function types, encoded, without their count
	functions     []uint32 // type index of each function that the module defines
	globals       uint32   // number of imported and defined globals
	ownGlobals    uint32   // number of defined globals
	ownGlobalBody []byte   // defined globals, encoded, without their count
}

// read reads the declarations of one section. It ignores sections that have none.
func (d *declarations) read(s *section) error {
	r := s.reader()
	switch s.id {
	case SectionType:
		d.readTypes(r)
	case SectionImport:
		d.readImports(r)
	case SectionFunction:
		d.readFunctions(r)
	case SectionGlobal:
		d.readGlobals(r)
	}
	return r.err
}

func (d *declarations) readTypes(r *reader) {
	count := r.u32()
	start := r.pos
	for range count {
		if r.byte() != functionType || r.err != nil {
			r.failParse("a type that is not a function type")
			return
		}
		r.vector() // parameters
		from := r.pos
		r.vector() // results
		if r.err != nil {
			return
		}
		d.results = append(d.results, r.data[from:r.pos])
	}
	d.types = r.data[start:]
}

func (d *declarations) readImports(r *reader) {
	for range r.u32() {
		r.vector() // module
		r.vector() // name
		switch r.byte() {
		case importFunction:
			r.u32()
		case importTable:
			r.byte()
			r.skipLimits()
		case importMemory:
			r.skipLimits()
		case importGlobal:
			r.take(2)
			d.globals++
		default:
			r.failParse("an import of unknown kind")
		}
		if r.err != nil {
			return
		}
	}
}

func (d *declarations) readFunctions(r *reader) {
	for range r.u32() {
		typeIndex := r.u32()
		if r.err == nil && int(typeIndex) >= len(d.results) {
			r.failParse("a function with an undefined type index")
		}
		if r.err != nil {
			return
		}
		d.functions = append(d.functions, typeIndex)
	}
}

func (d *declarations) readGlobals(r *reader) {
	d.ownGlobals = r.u32()
	d.globals += d.ownGlobals
	if r.err == nil {
		d.ownGlobalBody = r.data[r.pos:]
	}
}
