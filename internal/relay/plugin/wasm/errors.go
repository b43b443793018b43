package wasm

import "fmt"

// ParseError says what is wrong with the structure of a module, and where.
type ParseError struct {
	Section Section // SectionCustom where no other section is being read: in the header, or between sections
	Offset  int     // where reading ended, in bytes from the beginning of the module
	Reason  string
}

// Error is the reason alone, without the place.
func (e *ParseError) Error() string { return "wasm: " + e.Reason }

// CodeError says which instruction of a function is not supported, or what else is wrong with its code. Bounded
// returns it inside a FunctionError.
type CodeError struct {
	Offset int // of the instruction, in bytes from the beginning of the module
	Reason string
}

// Error is the reason alone, without the place.
func (e *CodeError) Error() string { return e.Reason }

// FunctionError names the function whose code can't be rewritten.
type FunctionError struct {
	Index uint32 // among the functions that the module defines; imported ones do not count
	Err   error  // *CodeError, or *ParseError where the code is cut short or has an invalid number
}

// Error names the function and the cause.
func (e *FunctionError) Error() string { return fmt.Sprintf("wasm: function %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *FunctionError) Unwrap() error { return e.Err }
