// Package plugin runs partner behaviour that operators add in WebAssembly: it shapes messages on arrival, makes the
// relay more careful upon answers, and hears of ends. A plug-in that loops, traps or hoards costs nobody else
// anything: each call has a deadline, a share of processor time, a thread that gives way to the relay's own, and
// memory outside the heap. docs/plugins.md is the page for operators, docs/design/plugins.md the design.
//
// Host is the engine's Inspector. Its chain of plug-ins is a generation that a reload replaces at one point between messages; each plug-in
// is a version (a module under one configuration) with its instances, each on a worker, a thread of its own. Package gate decides which
// calls may be made, rules what they may change, store keeps what they remember, wasm bounds their stacks.
//
//	host.go, inspect.go           the host, and what the engine calls of it
//	reload.go, generation.go      which plug-ins run, and since when
//	load.go, check.go, version.go from a module's file to one that takes calls
//	attempt.go, finish.go         one call: gate, worker, result
//	worker.go, abi1.go, abi2.go   the call inside the instance
//	hostfunctions.go, transfer.go what a module may import, and how its memory is read
package plugin
