// Package wasm rewrites WebAssembly modules so that no code in them can run without end or deepen the call
// stack without bound. It is a pure function from bytes to bytes, safe for concurrent use; package plugin calls it once
// for each module that it loads.
//
// The engine checks for a time-out at the head of each loop only, and lets a call stack grow to 50 MB. A module
// that recurses without a loop is therefore given, at the start of each function, an empty loop (which brings the
// engine's check with it) and a count of the stack that all open calls may take, kept in a global of its own.
//
// Source: WebAssembly Core Specification 2.0, chapter 5 (binary format).
package wasm

import "encoding/binary"

// Bounded returns module with the checks in place; stack is how many values of eight bytes all open calls
// together may take. Custom sections are left out: nothing that runs needs them. A module that uses what the
// engine here has switched off (threads, vectors, tail calls) is refused by name.
//
// Errors are *ParseError and *FunctionError. Code is not validated beyond what rewriting it needs: the engine does that.
func Bounded(module []byte, stack uint32) ([]byte, error) {
	sections, err := readSections(module)
	if err != nil {
		return nil, err
	}
	w := &rewriter{maxStack: stack}
	for i := range sections {
		if err = w.read(&sections[i]); err != nil {
			return nil, err
		}
	}
	// Code comes first: its blocks may need further types.
	var code []byte
	for i := range sections {
		if s := &sections[i]; s.id == SectionCode {
			if code, err = w.rewriteCode(s); err != nil {
				return nil, err
			}
		}
	}
	out := make([]byte, 0, rewrittenCapacity(len(module)))
	return w.appendModule(out, sections, code), nil
}

// rewrittenCapacity is a capacity that most rewritten code fits in.
func rewrittenCapacity(size int) int { return size + size/4 }

// rewriter rewrites one module.
type rewriter struct {
	declarations
	maxStack   uint32            // values of eight bytes
	addedTypes []byte            // function types that the module does not have
	addedIndex map[string]uint32 // of each of them, by its results
}

// stackGlobal is the index of the global that counts the stack, added behind the module's own.
func (w *rewriter) stackGlobal() uint64 { return uint64(w.globals) }

// appendModule puts the module together again. The global section is written even where the module has none.
func (w *rewriter) appendModule(out []byte, sections []section, code []byte) []byte {
	out = append(out, Magic...)
	wroteGlobals := len(w.functions) == 0
	for i := range sections {
		s := &sections[i]
		// Sections stand in the order of their ids, but for one with the number of data segments (12), which
		// goes before the code.
		if s.id >= SectionGlobal && !wroteGlobals {
			out = appendSection(out, SectionGlobal, w.globalSection())
			wroteGlobals = true
		}
		switch s.id {
		case SectionType:
			out = appendSection(out, s.id, w.typeSection())
		case SectionGlobal: // done
		case SectionCode:
			out = appendSection(out, s.id, code)
		default:
			out = appendSection(out, s.id, s.body.data)
		}
	}
	return out
}

func (w *rewriter) typeSection() []byte {
	b := binary.AppendUvarint(nil, uint64(len(w.results)+len(w.addedIndex)))
	b = append(b, w.types...)
	return append(b, w.addedTypes...)
}

func (w *rewriter) globalSection() []byte {
	b := binary.AppendUvarint(nil, uint64(w.ownGlobals)+1)
	b = append(b, w.ownGlobalBody...)
	return append(b, typeI32, mutable, opI32Const, 0, opEnd)
}
