// Package soak plays troubles that overlap in time on a tier of real processes and real sockets on one machine, by seed: kills of one
// process, of many and of all, pauses, lost disks, restarts, cuts and lost answers. Programs and an operator are at work all the
// time. It ends with a closing trouble, after which everything must be served again in time, and counts what broke a rule.
//
// The processes run the roles of the command package. Where a plan has cuts, they do so in the soak's own binary, whose network can be cut;
// else they are those of the binary that is deployed.
package soak

import "time"

// Sizes of tiers, and what they survive.
const (
	survive = 1 // machines
	copies  = 2*survive + 1
)

// What the tier owes, with generous bounds for a busy machine.
const (
	RecoveryBound = 15 * time.Second // from the start of the last process until nearly all is served
	wholeBound    = 35 * time.Second // until all replicas have caught up
	beginBound    = 30 * time.Second
	termBound     = 8 * time.Second // from SIGTERM until the end
	keepFor       = 10 * time.Minute
	catchUp       = 4 * time.Second // that a machine which is back still counts as lost
)

// What counts as nearly all, over some time without a break.
const (
	servedShare = 0.95
	servedTime  = 3 * time.Second
)

// Paces and sizes of traffic.
const (
	programLanes    = 5
	programPause    = 150 * time.Millisecond
	programPatience = 12 * time.Second
	mostTurns       = 4
	mostTokens      = 12
	resendPause     = 300 * time.Millisecond
	orderPause      = 400 * time.Millisecond
	orderPatience   = time.Second
	readPause       = 250 * time.Millisecond
	probePause      = 100 * time.Millisecond
	pollPause       = 100 * time.Millisecond
	lossShare       = 0.4 // of the connections that are lost while answers are lost
	lossDelay       = 120 * time.Millisecond
)

// What is continued at the end, and how often it is tried.
const (
	mostContinued = 250
	continueLanes = 6
	continueTries = 5
)
