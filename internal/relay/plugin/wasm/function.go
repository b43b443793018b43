package wasm

import "encoding/binary"

// maxLocals is how many local variables a function may have. All of them are set to 0 at each call.
const maxLocals = 50000

// frameOverhead is what a call takes of the stack beside its locals, in values of eight bytes.
const frameOverhead = 16

// rewriteCode returns the code section with each function bounded.
func (w *rewriter) rewriteCode(s *section) ([]byte, error) {
	r := s.reader()
	count := r.u32()
	if r.err == nil && int(count) != len(w.functions) {
		r.failParse("functions and their code differ in number")
		return nil, r.err
	}
	out := binary.AppendUvarint(make([]byte, 0, rewrittenCapacity(len(r.data))), uint64(count))
	var function []byte // used for one after another
	for i := range count {
		body := r.vector()
		if r.err != nil {
			return nil, r.err
		}
		var err error
		if function, err = w.appendFunction(function[:0], body, w.functions[i]); err != nil {
			return nil, &FunctionError{Index: i, Err: err}
		}
		out = binary.AppendUvarint(out, uint64(len(function)))
		out = append(out, function...)
	}
	return out, r.err
}

// appendFunction appends one function, its body in a block between a prologue that takes stack and an epilogue that
// gives it back.
func (w *rewriter) appendFunction(out []byte, body span, typeIndex uint32) ([]byte, error) {
	r := &reader{span: body, section: SectionCode}
	locals := r.readLocals()
	if r.err != nil {
		return nil, r.err
	}
	out = append(out, r.data[:r.pos]...)
	// What a call takes of the machine's stack: its locals, and some of what it computes.
	size := int64(frameOverhead+locals) + int64(len(r.data)/8)
	out = w.appendPrologue(out, size, typeIndex)
	out, err := appendBody(out, r)
	if err != nil {
		return nil, err
	}
	return w.appendEpilogue(out, size), nil
}

// readLocals reads the declarations of local variables and returns how many there are.
func (r *reader) readLocals() (locals uint64) {
	for range r.u32() {
		locals += uint64(r.u32())
		r.byte() // their type
		if r.err != nil {
			return 0
		}
	}
	if locals > maxLocals {
		r.failCode(r.pos, "too many locals")
	}
	return locals
}

// appendPrologue takes size from the stack, traps where that is over the limit, and opens the block that the body
// stands in. The empty loop makes the engine check for a time-out.
func (w *rewriter) appendPrologue(out []byte, size int64, typeIndex uint32) []byte {
	out = w.appendStackChange(out, opI32Add, size)
	out = w.appendStackGet(out)
	out = appendSigned(append(out, opI32Const), int64(w.maxStack))
	out = append(out, opI32GtU, opIf, emptyBlock, opUnreachable, opEnd)
	out = append(out, opLoop, emptyBlock, opEnd)
	out = append(out, opBlock)
	return append(out, w.blockType(typeIndex)...)
}

// appendEpilogue gives size back to the stack and ends the function.
func (w *rewriter) appendEpilogue(out []byte, size int64) []byte {
	out = w.appendStackChange(out, opI32Sub, size)
	return append(out, opEnd)
}

// appendStackChange adds size to the global that counts the stack, or subtracts it.
func (w *rewriter) appendStackChange(out []byte, operation byte, size int64) []byte {
	out = w.appendStackGet(out)
	out = appendSigned(append(out, opI32Const), size)
	out = append(out, operation)
	return binary.AppendUvarint(append(out, opGlobalSet), w.stackGlobal())
}

func (w *rewriter) appendStackGet(out []byte) []byte {
	return binary.AppendUvarint(append(out, opGlobalGet), w.stackGlobal())
}

// appendBody appends a function's code to its last end, which closes the block of the prologue. A return becomes a
// branch to that end.
func appendBody(out []byte, r *reader) ([]byte, error) {
	depth, copied := uint32(0), r.pos
	for {
		at := r.pos
		opcode := r.byte()
		switch opcode {
		case opBlock, opLoop, opIf:
			depth++
		case opEnd:
			if depth == 0 {
				if !r.done() {
					r.failCode(r.pos, "code after its end")
				}
				return append(out, r.data[copied:r.pos]...), r.err
			}
			depth--
		case opReturn:
			out = append(out, r.data[copied:at]...)
			out = binary.AppendUvarint(append(out, opBr), uint64(depth))
			copied = r.pos
		}
		r.skipImmediates(opcode)
		if r.err != nil {
			return nil, r.err
		}
	}
}

// blockType is the type of a block with the results of a function type. One type may stand there as it is; for several
// a function type without parameters is added.
func (w *rewriter) blockType(typeIndex uint32) []byte {
	results := w.results[typeIndex]
	switch count := results[0]; count {
	case 0:
		return []byte{emptyBlock}
	case 1:
		return results[1:2]
	}
	index, ok := w.addedIndex[string(results)]
	if !ok {
		index = w.addType(results)
	}
	return appendSigned(nil, int64(index))
}

// addType adds a function type without parameters and returns its index.
func (w *rewriter) addType(results []byte) uint32 {
	const noParameters = 0
	if w.addedIndex == nil {
		w.addedIndex = map[string]uint32{}
	}
	index := uint32(len(w.results) + len(w.addedIndex))
	w.addedIndex[string(results)] = index
	w.addedTypes = append(w.addedTypes, functionType, noParameters)
	w.addedTypes = append(w.addedTypes, results...)
	return index
}
