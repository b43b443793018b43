// Package wire reads and writes the binary frames between the simulator and its adapter (batches of events in, replies with actions
// out), and the JSON settings that the simulator and the relay's configuration share. Codes, fields and keys have the names that the
// protocol gives them.
//
// All numbers are big endian, and times are microseconds. A batch consists of its number, clock, length, record count and records; a reply
// of its number, length, action count and actions. Errors in a batch (FrameError, TruncatedError, RecordError) name the field or part and
// its offset; errors in settings name the key. The package has no state; a Reply must be used by one goroutine at a time.
package wire
