package transport

// Meter counts what is sent on connections. Its methods are called by many goroutines and must not block.
type Meter interface {
	// SentLine counts a line and its size before packing. kind is the method that the line calls or answers, or else the line's kind.
	SentLine(kind, address string, bytes int)
	// Written counts the bytes written to a connection, after any packing.
	Written(address string, bytes int)
}

// unknownMethod is the kind of lines that answer unknown methods, so that a peer cannot add arbitrary kinds.
const unknownMethod = "unknown"
