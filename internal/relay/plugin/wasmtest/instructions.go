package wasmtest

import (
	"encoding/binary"
	"slices"
)

// Opcodes of instructions with arguments, and the block type without results.
const (
	opLoop      = 0x03
	opIf        = 0x04
	opEnd       = 0x0b
	opBr        = 0x0c
	opBrIf      = 0x0d
	opCall      = 0x10
	opLocalGet  = 0x20
	opLocalSet  = 0x21
	opGlobalGet = 0x23
	opGlobalSet = 0x24
	opI32Const  = 0x41
	opI64Const  = 0x42
	emptyBlock  = 0x40
)

// Const pushes an i32.
func Const(v int32) []byte { return appendSigned([]byte{opI32Const}, int64(v)) }

// Const64 pushes an i64.
func Const64(v int64) []byte { return appendSigned([]byte{opI64Const}, v) }

// appendSigned appends a signed number in LEB128.
func appendSigned(b []byte, v int64) []byte {
	for {
		group := byte(v & 0x7f)
		v >>= 7
		if v == 0 && group&0x40 == 0 || v == -1 && group&0x40 != 0 {
			return append(b, group)
		}
		b = append(b, group|0x80)
	}
}

// Call calls a function.
func Call(fn uint32) []byte { return binary.AppendUvarint([]byte{opCall}, uint64(fn)) }

// Get pushes local n.
func Get(n uint32) []byte { return binary.AppendUvarint([]byte{opLocalGet}, uint64(n)) }

// Set pops a value into local n.
func Set(n uint32) []byte { return binary.AppendUvarint([]byte{opLocalSet}, uint64(n)) }

// GetGlobal pushes global n.
func GetGlobal(n uint32) []byte { return binary.AppendUvarint([]byte{opGlobalGet}, uint64(n)) }

// SetGlobal pops a value into global n.
func SetGlobal(n uint32) []byte { return binary.AppendUvarint([]byte{opGlobalSet}, uint64(n)) }

// Instructions without variable arguments.
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

// Forever is an endless loop.
var Forever = []byte{opLoop, emptyBlock, opBr, 0, opEnd}

// If pops an i32 and runs the code in then if it is not 0.
func If(then ...[]byte) []byte {
	return slices.Concat([]byte{opIf, emptyBlock}, slices.Concat(then...), []byte{opEnd})
}

// Loop is a loop block: BrIf(0) in its body, outside of inner blocks, branches to its head.
func Loop(body ...[]byte) []byte {
	return slices.Concat([]byte{opLoop, emptyBlock}, slices.Concat(body...), []byte{opEnd})
}

// BrIf pops an i32 and, if it is not 0, branches to the label of the enclosing block at a nesting depth; 0: the innermost.
func BrIf(depth byte) []byte { return []byte{opBrIf, depth} }
