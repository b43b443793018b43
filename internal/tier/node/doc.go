// Package node drives membership and gossip for a process: it runs both protocols over the process' transport, asks
// controllers for newer sections, and hands each new section of the view to the process.
//
// The roles of the tier (package command) create one Node each. A Node owns two goroutines while Run is active, one per
// protocol, and one more per pending call to another member, each bounded by a time-out; all but that of Run itself end by its
// context and may outlast it for a moment. All exported methods are safe for concurrent use, except that Register must come before
// the server listens and Run must be called once.
package node
