package wasm

import "fmt"

// Opcodes of the instructions that are used here. Chapter 5.4 of the specification lists all.
const (
	opUnreachable        = 0x00
	opNop                = 0x01
	opBlock              = 0x02
	opLoop               = 0x03
	opIf                 = 0x04
	opElse               = 0x05
	opEnd                = 0x0b
	opBr                 = 0x0c
	opBrIf               = 0x0d
	opBrTable            = 0x0e
	opReturn             = 0x0f
	opCall               = 0x10
	opCallIndirect       = 0x11
	opReturnCall         = 0x12
	opReturnCallIndirect = 0x13
	opDrop               = 0x1a
	opSelect             = 0x1b
	opSelectTyped        = 0x1c
	opLocalGet           = 0x20
	opGlobalGet          = 0x23
	opGlobalSet          = 0x24
	opTableSet           = 0x26
	opI32Load            = 0x28 // the first of the loads and stores
	opI64Store32         = 0x3e // the last of the loads and stores
	opMemorySize         = 0x3f
	opMemoryGrow         = 0x40
	opI32Const           = 0x41
	opI64Const           = 0x42
	opF32Const           = 0x43
	opF64Const           = 0x44
	opI32Eqz             = 0x45 // the first of the numeric instructions
	opI32GtU             = 0x4b
	opI32Add             = 0x6a
	opI32Sub             = 0x6b
	opI64Extend32S       = 0xc4 // the last of the numeric instructions
	opRefNull            = 0xd0
	opRefIsNull          = 0xd1
	opRefFunc            = 0xd2
	opPrefixMisc         = 0xfc
	opPrefixVector       = 0xfd
	opPrefixThreads      = 0xfe
)

// Second opcodes of the instructions with opPrefixMisc.
const (
	miscI64TruncSatF64U = 7 // the last numeric one
	miscMemoryInit      = 8
	miscDataDrop        = 9
	miscMemoryCopy      = 10
	miscMemoryFill      = 11
	miscTableInit       = 12
	miscElemDrop        = 13
	miscTableCopy       = 14
	miscTableGrow       = 15
	miscTableSize       = 16
	miscTableFill       = 17
)

// skipImmediates skips the immediate arguments of an instruction. It fails for instructions that are disabled in the engine.
func (r *reader) skipImmediates(opcode byte) {
	switch {
	case opcode >= opI32Eqz && opcode <= opI64Extend32S:
	case opcode >= opBlock && opcode <= opIf: // block type
		r.skipSigned(maxLEB32)
	case opcode >= opLocalGet && opcode <= opTableSet:
		r.u32()
	case opcode >= opI32Load && opcode <= opI64Store32: // alignment, offset
		r.u32()
		r.u32()
	default:
		r.skipOtherImmediates(opcode)
	}
}

// skipOtherImmediates is skipImmediates for the instructions that are not in a range with the same kind of arguments.
func (r *reader) skipOtherImmediates(opcode byte) {
	at := r.pos - 1
	switch opcode {
	case opUnreachable, opNop, opElse, opEnd, opReturn, opDrop, opSelect, opRefIsNull:
	case opBr, opBrIf, opCall, opRefFunc:
		r.u32()
	case opBrTable:
		r.skipLabels()
	case opCallIndirect:
		r.u32()
		r.u32()
	case opReturnCall, opReturnCallIndirect:
		r.failCode(at, "tail calls are not supported")
	case opSelectTyped:
		r.vector()
	case opMemorySize, opMemoryGrow, opRefNull:
		r.byte()
	case opI32Const:
		r.skipSigned(maxLEB32)
	case opI64Const:
		r.skipSigned(maxLEB64)
	case opF32Const:
		r.take(4)
	case opF64Const:
		r.take(8)
	case opPrefixMisc:
		r.skipMiscImmediates()
	case opPrefixVector:
		r.failCode(at, "vector instructions are not supported")
	case opPrefixThreads:
		r.failCode(at, "threads are not supported")
	default:
		r.failCode(at, fmt.Sprintf("unknown instruction %#x", opcode))
	}
}

// skipLabels skips the labels of a br_table and its default.
func (r *reader) skipLabels() {
	for range uint64(r.u32()) + 1 {
		if r.u32(); r.err != nil {
			return
		}
	}
}

// skipMiscImmediates skips the second opcode and the arguments of an instruction with opPrefixMisc.
func (r *reader) skipMiscImmediates() {
	at := r.pos - 1
	opcode := r.u32()
	if opcode <= miscI64TruncSatF64U {
		return
	}
	switch opcode {
	case miscMemoryInit, miscMemoryCopy, miscTableInit, miscTableCopy:
		r.u32()
		r.u32()
	case miscDataDrop, miscMemoryFill, miscElemDrop, miscTableGrow, miscTableSize, miscTableFill:
		r.u32()
	default:
		r.failCode(at, fmt.Sprintf("unknown instruction fc %d", opcode))
	}
}
