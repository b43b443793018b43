// Package wasm rewrites WebAssembly modules so that the engine can stop their code at any time, and so that their call stack is
// bounded. It has no state and is safe for concurrent use. Package plugin calls it once for each module that it loads.
//
// The engine checks for a time-out only at the head of each loop, and lets a call stack grow to 50 MB. A module that recurses without a
// loop would be bounded by neither. Therefore each function gets, at its start, an empty loop, which makes the engine check for a
// time-out, and code that counts the stack used by all active calls in an added global and traps beyond a limit.
//
// Source: WebAssembly Core Specification 2.0, chapter 5 (binary format).
package wasm

import "encoding/binary"

// Bounded returns module with the checks inserted. stack is the limit for all active calls together, in values of eight bytes. Custom
// sections are removed, because running the module does not need them. A module that uses threads, vector instructions or tail calls,
// which are disabled in the engine, is refused with an error that names the feature.
//
// Errors are *ParseError and *FunctionError. Code is validated only as far as rewriting requires; the engine does the rest.
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
	// The code is rewritten before the type section is written, because it may add types.
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

// rewrittenCapacity returns the capacity of a buffer that most code of a size fits in after rewriting.
func rewrittenCapacity(size int) int { return size + size/4 }

// rewriter rewrites one module.
type rewriter struct {
	declarations
	maxStack   uint32            // values of eight bytes
	addedTypes []byte            // function types that the module does not have
	addedIndex map[string]uint32 // index of each added type, by its encoded results
}

// stackGlobal returns the index of the added global that counts the stack. It follows the module's own globals.
func (w *rewriter) stackGlobal() uint64 { return uint64(w.globals) }

// appendModule appends the rewritten module. If there are functions, it writes a global section even where the module has none.
func (w *rewriter) appendModule(out []byte, sections []section, code []byte) []byte {
	out = append(out, Magic...)
	wroteGlobals := len(w.functions) == 0
	for i := range sections {
		s := &sections[i]
		// Sections are ordered by their ids, except the data count section (12), which precedes the code section.
		if s.id >= SectionGlobal && !wroteGlobals {
			out = appendSection(out, SectionGlobal, w.globalSection())
			wroteGlobals = true
		}
		switch s.id {
		case SectionType:
			out = appendSection(out, s.id, w.typeSection())
		case SectionGlobal: // written above
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
