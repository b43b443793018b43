// Package example starts a whole tier on one machine and shows that it keeps its word: real processes of every role on
// loopback addresses, stand-ins around them, programs that take turns and call tools, and the loss of a store and of the
// controller that owns the configuration in between.
package example

import "time"

// How many machines of each class there are. With three of core and storage, one of each may go.
const (
	coreMachines    = 3
	storageMachines = 3
	edgeMachines    = 2
)

// The ports of all machines, below those that the system hands out for connections.
const (
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
	firstPort     = 7380 // of those free for what the processes say to each other
	lastPort      = 7395
)

// Bounds of every wait.
const (
	wholePatience    = 50 * time.Second
	startPatience    = 15 * time.Second // from the start of the processes until all proxies are ready
	orderPatience    = 10 * time.Second // for one order of the operator
	spreadPatience   = 10 * time.Second // from an acknowledgement until all proxies follow
	programPatience  = 12 * time.Second
	requestPatience  = 4 * time.Second
	callPatience     = time.Second
	stopPatience     = 3 * time.Second // after SIGTERM; the race detector sleeps for one of them before each exit
	pollInterval     = 50 * time.Millisecond
	resendPause      = 300 * time.Millisecond
	processGrace     = 2.0 // seconds that a process is told it has after SIGTERM
	maxReadBackBytes = 1 << 20
)
