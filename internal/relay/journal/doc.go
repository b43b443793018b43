// Package journal is the relay's append-only log in the folder that outlasts its process: the messages that it has taken on, the
// attempts made, how each message ended, and the notices outstanding. The core (package engine) is its one writer; what the log holds at
// a start is what the core restores.
//
// A file is a sequence of frames: length (uint32, little endian), CRC-32C of the payload, payload. A payload is a code, the message's
// number, and fields of that code; see records.go. A frame that is torn or damaged ends the file: nothing behind it can be trusted to be
// in its place. The file is rewritten with what is still needed (compacted) before the folder fills up; the new one takes the old one's
// place in one step.
//
// What the core notes is buffered until Flush, at the end of its turn, and must not be acted on before. Begin alone writes at once, on
// the goroutine that is about to write an attempt's first byte: an attempt is in the log if and only if that byte may have been written.
package journal
