package localtier

import "time"

// The ports of all machines, below the system's ephemeral ports.
const (
	FrontPort     = 8149 // of proxies, for client requests
	ReadinessPort = 8141 // of proxies
	ControlPort   = 8144 // of controllers, for operators
	FirstPort     = 7380 // first of the range for connections between processes
	lastPort      = 7395 // last of that range
)

// Timeouts and bounds.
const (
	RequestTimeout   = 4 * time.Second  // of a client's request
	readyTimeout     = 15 * time.Second // from the start of the processes until all proxies are ready
	routeTimeout     = 10 * time.Second // from an acknowledgement until all proxies serve a new route
	operatorTimeout  = 10 * time.Second // of an order, with all its attempts
	callTimeout      = time.Second      // of one attempt
	shardsTimeout    = 2 * time.Second  // of a request to a store for its shards
	listenTimeout    = 300 * time.Millisecond
	StopTimeout      = 3 * time.Second // after SIGTERM
	pollInterval     = 50 * time.Millisecond
	graceSeconds     = 2.0 // grace time in the processes' settings, after SIGTERM
	maxReadBackBytes = 1 << 20
)
