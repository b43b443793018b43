// Package node runs membership and gossip for a process: it drives both protocols over the process' transport, asks controllers for
// newer sections, and passes each new section of the view to the process.
//
// Each role of the tier (package command) creates one Node. While Run is active, a Node has two goroutines, one per protocol, and one
// per pending call to another member, which is bounded by a timeout. They end with the context of Run, which waits for them. All
// exported methods are safe for concurrent use, except that Register must be called before the server listens and Run only once.
package node
