// Package demo starts a whole tier on one machine and shows that it keeps its word: real processes of every role on
// loopback addresses, stand-ins around them, programs that take turns and call tools, and the loss of a store and of the
// controller that owns the configuration in between.
package demo

import "time"

// How many machines of each class there are. With three of core and storage, one of each may go.
const (
	coreMachines    = 3
	storageMachines = 3
	edgeMachines    = 2
)

// Bounds of every wait.
const (
	runTimeout     = 50 * time.Second
	programTimeout = 12 * time.Second
	retryBackoff   = 300 * time.Millisecond
	retention      = time.Minute
)
