// Package localtier starts tiers of real processes on loopback addresses of one machine, with stand-ins around them and an
// operator, for the example and the soak.
package localtier

import "time"

// The ports of all machines, below those that the system hands out for connections.
const (
	FrontPort     = 8149
	ReadinessPort = 8141
	ControlPort   = 8144
	FirstPort     = 7380 // of those free for what the processes say to each other
	lastPort      = 7395
)

// Bounds of waits.
const (
	RequestTimeout   = 4 * time.Second  // of a client with a request
	readyTimeout     = 15 * time.Second // from the start of the processes until all proxies are ready
	routeTimeout     = 10 * time.Second // from an acknowledgement until all proxies follow
	operatorTimeout  = 10 * time.Second // for one order of the operator
	callTimeout      = time.Second
	listenTimeout    = 300 * time.Millisecond
	StopTimeout      = 3 * time.Second // after SIGTERM
	pollInterval     = 50 * time.Millisecond
	graceSeconds     = 2.0 // seconds that a process is told it has after SIGTERM
	maxReadBackBytes = 1 << 20
)
