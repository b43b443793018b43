// Package wire reads and writes the binary frames between the simulator and its adapter (batches of events in, replies with actions
// out), and the JSON settings that the simulator and the relay's configuration share. Names of codes, fields and keys are the
// protocol's own.
//
// A frame is big endian. A batch: number, clock, length, count of records, records; a reply: number, length, count, actions. Times are
// microseconds. Errors of a batch name its record, field and offset: FrameError, TruncatedError, RecordError; those of settings name the key.
// The package has no state; a Reply is used by one goroutine at a time.
package wire
