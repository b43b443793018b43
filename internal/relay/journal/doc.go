// Package journal is the relay's append-only log in its persistent state folder: the accepted messages, the attempts made, how each
// message ended, and the outstanding notices. The core (package engine) is its only writer, and restores its messages from the log at a
// start.
//
// A file is a sequence of frames: length (uint32, little endian), CRC-32C of the payload, payload. A payload is a code, the message's
// number, and the fields of that code; see records.go. A torn or damaged frame ends the file, since the frames after it can't be
// located reliably. Before the folder fills up, the log is compacted: the records still needed are written to a new file, which replaces
// the old one in one step.
//
// The core's records are buffered until Flush, at the end of its turn, and the core must not act on them before. Begin alone writes at
// once, on the goroutine that is about to write an attempt's first byte: an attempt is in the log if and only if that byte may have been
// written.
package journal
