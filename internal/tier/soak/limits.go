package soak

import "time"

// Fault tolerance of the tiers.
const (
	tolerated = 1 // machines lost at the same time
	replicas  = 2*tolerated + 1
)

// Bounds on the tier, generous for a busy machine.
const (
	RecoveryBound = 15 * time.Second // from the start of the last process until nearly all requests are served
	caughtUpBound = 35 * time.Second // until all replicas have caught up
	startBound    = 30 * time.Second // for each step of the first start
	shutdownBound = 8 * time.Second  // from SIGTERM until the end
	retention     = 10 * time.Minute // of turns
	lostGrace     = 4 * time.Second  // for which a machine counts as lost after it is back
)

// A proxy has recovered once it has served this share of its requests for this long.
const (
	servedShare = 0.95
	servedTime  = 3 * time.Second
)

// Rates and sizes of the traffic.
const (
	programWorkers  = 5
	programInterval = 150 * time.Millisecond
	programTimeout  = 12 * time.Second
	maxTurns        = 4  // per program
	maxTokens       = 12 // per turn
	retryBackoff    = 300 * time.Millisecond
	orderInterval   = 400 * time.Millisecond
	orderTimeout    = time.Second
	readInterval    = 250 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	pollInterval    = 100 * time.Millisecond
	dropProbability = 0.4 // probability that a connection loses its responses while this fault is active
	maxDropDelay    = 120 * time.Millisecond
)

// Turns that are continued after the recovery, and how often that is attempted.
const (
	maxContinued     = 250
	continueWorkers  = 6
	continueAttempts = 5
)
