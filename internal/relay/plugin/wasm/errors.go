package wasm

import "fmt"

// ParseError is returned for a module with an invalid structure.
type ParseError struct {
	Section Section // the section that was being read; SectionCustom: the header, or between sections
	Offset  int     // where reading ended, in bytes from the beginning of the module
	Reason  string
}

// Error returns the reason without the section and offset.
func (e *ParseError) Error() string { return "wasm: " + e.Reason }

// CodeError is returned, inside a FunctionError, for code that is invalid or has an unsupported instruction.
type CodeError struct {
	Offset int // of the instruction, in bytes from the beginning of the module
	Reason string
}

// Error returns the reason without the offset.
func (e *CodeError) Error() string { return e.Reason }

// FunctionError is returned for a function whose code can't be rewritten.
type FunctionError struct {
	Index uint32 // among the functions that the module defines, not counting imported ones
	Err   error  // *CodeError, or *ParseError if the code is truncated or has an invalid number
}

// Error names the function and the cause.
func (e *FunctionError) Error() string { return fmt.Sprintf("wasm: function %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *FunctionError) Unwrap() error { return e.Err }
