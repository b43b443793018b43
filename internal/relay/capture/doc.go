// Package capture records all that the decision module is told and what it decides, and replays that. The file is the
// base of the tools for traces: chunks that stand for themselves, with an index of times, turns and messages in the
// head of each, so that a file can be cut, merged and searched without reading all of it.
//
// A file is a head of eight bytes ("MCAP", major, minor, 0, 0) and chunks. A chunk is
//
//	"CHNK", size of its head (uint32, little endian), size of its body (uint32), xxhash64 of both, head, body
//
// where the head is one CBOR map (Head) and the body, compressed by zstd, a CBOR sequence of records [type, record].
// Types that a reader does not know are skipped; another major version is refused.
//
// Beside the module's turns a capture may hold the whole core's (Core, Input): what its queue brought, how its journal fared, and a sum of
// all that it did. A replay of these drives a whole core with the recording in the place of its fronts, journal and clock (package engine,
// CoreReplay). Bodies are not recorded, only how long they are. All times are on the module's clock.
//
// Recorder is what a serving relay records with: the core hands it turns and never waits; a goroutine of its own, which ends with Close,
// encodes and writes them to a ring of files. Writer is for simulations, which may wait. Reader, Replay, Trace and Window read.
package capture
