package transport

// Meter counts what goes out on connections. Its methods are called by many goroutines and must not block.
type Meter interface {
	// SentLine counts a line by the method that it asks for or answers, before it is packed.
	SentLine(kind, address string, bytes int)
	// Written counts bytes as they went on the wire.
	Written(address string, bytes int)
}

// unknownMethod is the kind of lines that answer methods which nobody knows: a peer must not make up kinds.
const unknownMethod = "unknown"
