package group

import "github.com/go-kit/log/level"

// failureCause returns the cause for which the member is out of service, or nil if it is in service.
func (g *Group) failureCause() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.failure
}

// fail logs the cause and takes the member out of service.
func (g *Group) fail(cause error) {
	level.Error(g.options.Logger).Log("msg", "replica stopped", "group", g.options.Name, "err", cause)
	g.disable(cause)
}

// disable takes the member out of service: all pending calls fail, and its status names no leader.
func (g *Group) disable(cause error) {
	g.mutex.Lock()
	g.failure = cause
	g.releaseReceiveSlot(false)
	calls := g.pendingCalls
	g.pendingCalls = map[uint64]pendingCall{}
	g.mutex.Unlock()
	status := g.Status()
	status.Leader, status.IsLeader, status.CaughtUp = "", false, nil
	g.publishStatus(status)
	for _, call := range calls {
		call.done(nil, &NotLeaderError{Group: g.options.Name, Cause: cause})
	}
}

// Reopen recovers a failed member from its disk, as a new process would, and discards the state in memory. Package storage has
// tried to truncate the incomplete write of the failed operation.
func (g *Group) Reopen() error {
	g.awaitCompaction()
	if g.disk != nil {
		_ = g.disk.Close() // it has failed
		g.disk = nil
	}
	if err := g.recover(true); err != nil {
		return err
	}
	g.takeInput()
	g.mutex.Lock()
	g.failure = nil
	g.mutex.Unlock()
	g.publish()
	return nil
}
