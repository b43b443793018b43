// Package capture records every input and decision of the decision module, and replays them. A file consists of
// self-contained chunks, each with an index of its times, turns and messages in its head, so that tools can cut, merge and
// search a file without reading all of it.
//
// A file is a head of eight bytes ("MCAP", major, minor, 0, 0) and chunks. A chunk is
//
//	"CHNK", size of its head (uint32, little endian), size of its body (uint32), xxhash64 of both, head, body
//
// where the head is one CBOR map (Head) and the body, compressed by zstd, a CBOR sequence of records [type, record].
// A reader skips records of unknown types and refuses a file of another major version.
//
// Besides the module's turns a capture may hold those of the whole core (Core, Input): the events from its queue, the results of its
// journal, and a checksum of its actions. Replaying them drives a whole core, with the recording in place of its fronts, journal and
// clock (package engine, CoreReplay). Of bodies only the length is recorded. All times are on the module's clock.
//
// Recorder is for a serving relay: the core passes turns to it and never waits; the recorder's own goroutine, which ends with Close,
// encodes them and writes them to a ring of files. Writer is for simulations, which may wait. Reader, Replay, Trace and Window read.
package capture
