package wire

import "fmt"

// FrameError is a header field of a batch that does not fit its frame.
type FrameError struct {
	Part   string // of the input: "batch N", or "batch header"
	Field  string
	Offset int // of the field, in bytes from the start of the frame
	Reason string
}

// Error names the field and its offset.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s: field %s at offset %d: %s", e.Part, e.Field, e.Offset, e.Reason)
}

// TruncatedError is an input that ends within a frame.
type TruncatedError struct {
	Part         string // of the input: "batch", or "batch header"
	Offset, Size int    // bytes that came, and that were expected
}

// Error names both sizes.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s: truncated at offset %d of %d", e.Part, e.Offset, e.Size)
}

// RecordError is a field of a record that can't be read.
type RecordError struct {
	Record int   // its place in the batch, from 0
	Code   uint8 // its event code
	Field  string
	Offset int // of the field, in bytes from the start of the frame
	Reason string
}

// Error names the record, the field and its offset.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d): field %s at offset %d: %s", e.Record, e.Code, e.Field, e.Offset, e.Reason)
}
