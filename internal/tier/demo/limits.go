package demo

import "time"

// Numbers of machines. With three of core and of storage, the tier tolerates the loss of one of each.
const (
	coreMachines    = 3
	storageMachines = 3
	edgeMachines    = 2
)

// Timeouts, and the retention time of turns.
const (
	runTimeout     = 50 * time.Second
	programTimeout = 12 * time.Second
	retryBackoff   = 300 * time.Millisecond
	retention      = time.Minute
)

// maxTokens is how many tokens a turn may generate; model servers generate all of them.
const maxTokens = 30
