// Package plugin runs WebAssembly plug-ins, with which operators adapt the relay to their partners. A plug-in may change or
// reject messages on arrival, have the relay send less after an answer, and be notified when a message ends. A plug-in that
// loops, traps or takes much memory must not slow down anything else. Therefore each call has a deadline and runs on a thread of
// lower priority than the relay's own, and each plug-in has a share of processor time and memory outside the Go heap.
// docs/plugins.md is the page for operators, docs/design/plugins.md the design.
//
// Host implements engine.Inspector. The plug-ins that run, in the order in which they are called, form a generation. A reload
// replaces the generation as a whole, so that no message is handled by two. Each plug-in is a version, which is a module with one
// configuration. A version has several instances, each run by a worker on a thread of its own. Package gate decides which calls may
// be made, rules what they may change, store keeps the plug-ins' data, and wasm bounds the stacks.
//
//	host.go, inspect.go           the host and the methods that the engine calls
//	reload.go, generation.go      replacing the plug-ins that run
//	load.go, check.go, version.go checking, compiling and starting a module
//	attempt.go, finish.go         one call: gate, worker, result
//	worker.go, abi1.go, abi2.go   the call inside the instance
//	hostfunctions.go, transfer.go the functions that a module may import, and access to its memory
package plugin
