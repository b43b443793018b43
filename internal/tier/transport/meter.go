package transport

// Meter counts what is sent on connections. Its methods are called by many goroutines and must not block.
type Meter interface {
	// SentLine counts a line and its bytes before packing, by the method that it calls or answers.
	SentLine(kind, address string, bytes int)
	// Written counts the bytes written, packed or not.
	Written(address string, bytes int)
}

// unknownMethod is the kind of lines that answer unknown methods: a peer must not be able to add kinds.
const unknownMethod = "unknown"
