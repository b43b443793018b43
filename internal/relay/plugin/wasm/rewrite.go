// Package wasm rewrites WebAssembly modules so that no code in them can run without end or deepen the call
// stack without bound. It is a pure function from bytes to bytes.
//
// The engine checks for a time-out at the head of each loop only, and lets a call stack grow to 50 MB. A module
// that recurses without a loop is therefore given, at the start of each function, an empty loop (which brings the
// engine's check with it) and a count of the stack that all open calls may take, kept in a global of its own.
//
// Source: WebAssembly Core Specification 2.0, chapter 5 (binary format).
package wasm

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The ids of the sections that matter here.
const (
	secCustom   = 0
	secType     = 1
	secImport   = 2
	secFunction = 3
	secGlobal   = 6
	secCode     = 10
)

// Magic is how each module begins, with the version of the binary format.
const Magic = "\x00asm\x01\x00\x00\x00"

var errShort = errors.New("wasm: cut short")

// reader takes a module apart; the first error sticks.
type reader struct {
	b   []byte
	at  int
	err error
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) byte() byte {
	if r.err != nil || r.at >= len(r.b) {
		r.fail(errShort)
		return 0
	}
	r.at++
	return r.b[r.at-1]
}

func (r *reader) u32() uint32 {
	v, n := binary.Uvarint(r.b[min(r.at, len(r.b)):])
	if r.err != nil || n <= 0 || n > 5 || v > 1<<32-1 {
		r.fail(errShort)
		return 0
	}
	r.at += n
	return uint32(v)
}

// leb skips a signed number of at most n bytes.
func (r *reader) leb(n int) {
	for range n {
		if r.byte() < 0x80 {
			return
		}
	}
	r.fail(errors.New("wasm: a number is too long"))
}

func (r *reader) take(n uint32) []byte {
	if r.err != nil || uint64(n) > uint64(len(r.b)-r.at) {
		r.fail(errShort)
		return nil
	}
	r.at += int(n)
	return r.b[r.at-int(n) : r.at]
}

// section is one section as it stands in a module.
type section struct {
	id   byte
	body []byte
}

// Bounded returns module with the checks in place; stack is how many values of eight bytes all open calls
// together may take. Custom sections are left out: nothing that runs needs them. A module that uses what the
// engine here has switched off (threads, vectors, tail calls) is refused by name.
func Bounded(module []byte, stack uint32) ([]byte, error) {
	if len(module) < len(Magic) || string(module[:4]) != Magic[:4] {
		return nil, errors.New("wasm: invalid magic number")
	}
	if string(module[:8]) != Magic {
		return nil, fmt.Errorf("wasm: version %d of the format, want 1", binary.LittleEndian.Uint32(module[4:]))
	}
	r := &reader{b: module, at: 8}
	var all []section
	for r.err == nil && r.at < len(r.b) {
		id := r.byte()
		body := r.take(r.u32())
		if id != secCustom {
			all = append(all, section{id, body})
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	w := &rewriter{stack: stack}
	for _, s := range all {
		if err := w.readSection(s); err != nil {
			return nil, err
		}
	}
	out := append(make([]byte, 0, len(module)+len(module)/4), Magic...)
	wroteGlobals := false
	globals := func() {
		if !wroteGlobals && len(w.funcs) > 0 {
			wroteGlobals = true
			out = appendSection(out, secGlobal, w.globalSection())
		}
	}
	var code []byte
	for _, s := range all {
		if s.id == secCode {
			var err error
			if code, err = w.code(s.body); err != nil {
				return nil, err
			}
		}
	}
	for _, s := range all {
		// Sections stand in the order of their ids, but for one with the number of data segments (12), which
		// goes before the code.
		if s.id > secGlobal {
			globals()
		}
		switch s.id {
		case secType:
			s.body = w.typeSection()
		case secGlobal:
			globals()
			continue
		case secCode:
			s.body = code
		}
		out = appendSection(out, s.id, s.body)
	}
	return out, nil
}

func appendSection(b []byte, id byte, body []byte) []byte {
	return append(binary.AppendUvarint(append(b, id), uint64(len(body))), body...)
}

// rewriter knows of a module what its functions' new heads need.
type rewriter struct {
	stack    uint32
	types    [][]byte // the results of each type, encoded as a vector
	rawTypes []byte   // all of them, without their count
	extra    []byte   // types that were added
	added    map[string]uint32
	funcs    []uint32 // types of the functions defined here
	globals  uint32   // imported and defined, without the one added
	defined  uint32
	rawGlob  []byte
}

func (w *rewriter) readSection(s section) error {
	r := &reader{b: s.body}
	switch s.id {
	case secType:
		n := r.u32()
		start := r.at
		for range n {
			if r.byte() != 0x60 || r.err != nil {
				r.fail(errors.New("wasm: a type that is no function's"))
				return r.err
			}
			r.take(r.u32())
			from := r.at
			r.take(r.u32())
			if r.err != nil {
				return r.err
			}
			w.types = append(w.types, r.b[from:r.at])
		}
		w.rawTypes = s.body[start:]
	case secImport:
		for range r.u32() {
			r.take(r.u32())
			r.take(r.u32())
			switch r.byte() {
			case 0:
				r.u32()
			case 1:
				r.byte()
				r.limits()
			case 2:
				r.limits()
			case 3:
				r.take(2)
				w.globals++
			default:
				r.fail(errors.New("wasm: an import of unknown kind"))
			}
			if r.err != nil {
				return r.err
			}
		}
	case secFunction:
		for range r.u32() {
			t := r.u32()
			if r.err == nil && int(t) >= len(w.types) {
				r.fail(errors.New("wasm: a function of no type"))
			}
			if r.err != nil {
				return r.err
			}
			w.funcs = append(w.funcs, t)
		}
	case secGlobal:
		w.defined = r.u32()
		w.globals += w.defined
		if r.err == nil {
			w.rawGlob = s.body[r.at:]
		}
	}
	return r.err
}

func (r *reader) limits() {
	flags := r.byte()
	r.u32()
	if flags&1 != 0 {
		r.u32()
	}
}

func (w *rewriter) typeSection() []byte {
	b := binary.AppendUvarint(nil, uint64(len(w.types)+len(w.added)))
	return append(append(b, w.rawTypes...), w.extra...)
}

func (w *rewriter) globalSection() []byte {
	b := binary.AppendUvarint(nil, uint64(w.defined)+1)
	return append(append(b, w.rawGlob...), 0x7f, 1, 0x41, 0, 0x0b) // a variable i32 that starts at 0
}

// blockType is the type of a block with the results of function type t.
func (w *rewriter) blockType(t uint32) []byte {
	results := w.types[t]
	switch results[0] {
	case 0:
		return []byte{0x40}
	case 1:
		return results[1:2]
	}
	n, ok := w.added[string(results)]
	if !ok {
		if w.added == nil {
			w.added = map[string]uint32{}
		}
		n = uint32(len(w.types) + len(w.added))
		w.added[string(results)] = n
		w.extra = append(append(w.extra, 0x60, 0), results...)
	}
	return appendSigned(nil, int64(n))
}

func appendSigned(b []byte, v int64) []byte {
	for {
		c := byte(v & 0x7f)
		v >>= 7
		if v == 0 && c&0x40 == 0 || v == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func (w *rewriter) code(body []byte) ([]byte, error) {
	r := &reader{b: body}
	n := r.u32()
	if r.err == nil && int(n) != len(w.funcs) {
		return nil, errors.New("wasm: functions and their code differ in number")
	}
	out := binary.AppendUvarint(make([]byte, 0, len(body)+len(body)/4), uint64(n))
	var fn []byte
	for i := range n {
		text := r.take(r.u32())
		if r.err != nil {
			return nil, r.err
		}
		var err error
		if fn, err = w.function(fn[:0], text, w.funcs[i]); err != nil {
			return nil, fmt.Errorf("wasm: function %d: %w", i, err)
		}
		out = append(binary.AppendUvarint(out, uint64(len(fn))), fn...)
	}
	return out, r.err
}

// function appends one function with its new head and tail. A return becomes a branch to the tail.
func (w *rewriter) function(out, text []byte, t uint32) ([]byte, error) {
	r := &reader{b: text}
	locals := uint64(0)
	for range r.u32() {
		locals += uint64(r.u32())
		r.byte()
		if r.err != nil {
			return nil, r.err
		}
	}
	if locals > 50000 {
		return nil, errors.New("too many locals")
	}
	out = append(out, text[:r.at]...)
	// What a call takes of the machine's stack: its locals, and some of what it computes.
	weight := int64(16+locals) + int64(len(text)/8)
	count := func(op byte) {
		out = binary.AppendUvarint(append(out, 0x23), uint64(w.globals))
		out = append(appendSigned(append(out, 0x41), weight), op)
		out = binary.AppendUvarint(append(out, 0x24), uint64(w.globals))
	}
	count(0x6a)
	out = binary.AppendUvarint(append(out, 0x23), uint64(w.globals))
	out = appendSigned(append(out, 0x41), int64(w.stack))
	out = append(out, 0x4b, 0x04, 0x40, 0x00, 0x0b, 0x03, 0x40, 0x0b, 0x02) // if over it: trap; loop; block
	out = append(out, w.blockType(t)...)
	depth, from := uint32(0), r.at
	for {
		at := r.at
		op := r.byte()
		switch op {
		case 0x02, 0x03, 0x04:
			depth++
		case 0x0b:
			if depth == 0 {
				out = append(out, text[from:r.at]...)
				if r.at != len(text) {
					return nil, errors.New("code after its end")
				}
				count(0x6b)
				return append(out, 0x0b), r.err
			}
			depth--
		case 0x0f:
			out = append(out, text[from:at]...)
			out = binary.AppendUvarint(append(out, 0x0c), uint64(depth))
			from = r.at
		}
		r.immediates(op)
		if r.err != nil {
			return nil, r.err
		}
	}
}

// immediates skips what belongs to an instruction.
func (r *reader) immediates(op byte) {
	switch {
	case op >= 0x02 && op <= 0x04: // a block's type
		r.leb(5)
	case op == 0x0c || op == 0x0d || op == 0x10 || op >= 0x20 && op <= 0x26 || op == 0xd2:
		r.u32()
	case op == 0x0e:
		for range uint64(r.u32()) + 1 {
			if r.u32(); r.err != nil {
				return
			}
		}
	case op == 0x11 || op >= 0x28 && op <= 0x3e:
		r.u32()
		r.u32()
	case op == 0x12 || op == 0x13:
		r.fail(errors.New("tail calls are not supported"))
	case op == 0x1c:
		r.take(r.u32())
	case op == 0x3f || op == 0x40 || op == 0xd0:
		r.byte()
	case op == 0x41:
		r.leb(5)
	case op == 0x42:
		r.leb(10)
	case op == 0x43:
		r.take(4)
	case op == 0x44:
		r.take(8)
	case op == 0xfc:
		switch sub := r.u32(); {
		case sub <= 7:
		case sub == 8, sub == 10, sub == 12, sub == 14:
			r.u32()
			r.u32()
		case sub == 9, sub == 11, sub == 13, sub >= 15 && sub <= 17:
			r.u32()
		default:
			r.fail(fmt.Errorf("unknown instruction fc %d", sub))
		}
	case op == 0xfd:
		r.fail(errors.New("vector instructions are not supported"))
	case op == 0xfe:
		r.fail(errors.New("threads are not supported"))
	case op <= 0x01, op == 0x05, op == 0x0b, op == 0x0f, op == 0x1a, op == 0x1b, op >= 0x45 && op <= 0xc4, op == 0xd1:
	default:
		r.fail(fmt.Errorf("unknown instruction %#x", op))
	}
}
