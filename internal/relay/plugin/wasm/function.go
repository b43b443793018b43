package wasm

import "encoding/binary"

// maxLocals is the maximum number of local variables of a function. It is limited because all of them are set to 0 at each call.
const maxLocals = 50000

// frameOverhead is the stack that a call takes in addition to its locals, in values of eight bytes.
const frameOverhead = 16

// rewriteCode returns the code section with the checks inserted into each function.
func (w *rewriter) rewriteCode(s *section) ([]byte, error) {
	r := s.reader()
	count := r.u32()
	if r.err == nil && int(count) != len(w.functions) {
		r.failParse("the function and code sections differ in length")
		return nil, r.err
	}
	out := binary.AppendUvarint(make([]byte, 0, rewrittenCapacity(len(r.data))), uint64(count))
	var function []byte // buffer, reused for each function
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

// appendFunction appends a rewritten function: a prologue that adds the call's stack size to the global counter, the body in a block,
// and an epilogue that subtracts it again.
func (w *rewriter) appendFunction(out []byte, body span, typeIndex uint32) ([]byte, error) {
	r := &reader{span: body, section: SectionCode}
	locals := r.readLocals()
	if r.err != nil {
		return nil, r.err
	}
	out = append(out, r.data[:r.pos]...)
	// An estimate of the machine stack that a call takes: its locals, and a share of its code size for intermediate values.
	size := int64(frameOverhead+locals) + int64(len(r.data)/8)
	out = w.appendPrologue(out, size, typeIndex)
	out, err := appendBody(out, r)
	if err != nil {
		return nil, err
	}
	return w.appendEpilogue(out, size), nil
}

// readLocals reads the declarations of local variables and returns the number of variables.
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

// appendPrologue appends code that adds size to the stack counter and traps beyond the limit, an empty loop, which makes the engine
// check for a time-out, and the start of the block that encloses the body.
func (w *rewriter) appendPrologue(out []byte, size int64, typeIndex uint32) []byte {
	out = w.appendStackChange(out, opI32Add, size)
	out = w.appendStackGet(out)
	out = appendSigned(append(out, opI32Const), int64(w.maxStack))
	out = append(out, opI32GtU, opIf, emptyBlock, opUnreachable, opEnd)
	out = append(out, opLoop, emptyBlock, opEnd)
	out = append(out, opBlock)
	return append(out, w.blockType(typeIndex)...)
}

// appendEpilogue appends code that subtracts size from the stack counter, and the function's end.
func (w *rewriter) appendEpilogue(out []byte, size int64) []byte {
	out = w.appendStackChange(out, opI32Sub, size)
	return append(out, opEnd)
}

// appendStackChange appends code that changes the stack counter by size; operation is opI32Add or opI32Sub.
func (w *rewriter) appendStackChange(out []byte, operation byte, size int64) []byte {
	out = w.appendStackGet(out)
	out = appendSigned(append(out, opI32Const), size)
	out = append(out, operation)
	return binary.AppendUvarint(append(out, opGlobalSet), w.stackGlobal())
}

func (w *rewriter) appendStackGet(out []byte) []byte {
	return binary.AppendUvarint(append(out, opGlobalGet), w.stackGlobal())
}

// appendBody appends a function's code including its final end, which closes the block that the prologue opened. Each return is
// replaced by a branch to that end, so that the epilogue is run.
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
					r.failCode(r.pos, "code after the function's end")
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

// blockType returns the encoded type of a block with the results of a function type. A block type can be empty or a single value type;
// for several results a function type without parameters is added to the module.
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
