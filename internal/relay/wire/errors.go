package wire

import "fmt"

// FrameError reports a header field of a batch that does not match its frame.
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

// TruncatedError reports an input that ends within a frame.
type TruncatedError struct {
	Part         string // of the input: "batch", or "batch header"
	Offset, Size int    // bytes that were read, and that were expected
}

// Error names both sizes.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s: truncated at offset %d of %d", e.Part, e.Offset, e.Size)
}

// RecordError reports a field of a record that can't be read.
type RecordError struct {
	Record int   // index in the batch
	Code   uint8 // its event code
	Field  string
	Offset int // of the field, in bytes from the start of the frame
	Reason string
}

// Error names the record, the field and its offset.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d): field %s at offset %d: %s", e.Record, e.Code, e.Field, e.Offset, e.Reason)
}
