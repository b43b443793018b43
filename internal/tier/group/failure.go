package group

import "github.com/go-kit/log/level"

// failed returns why the member is out of service; nil: it works.
func (g *Group) failed() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.failure
}

// fail takes the member out of service: all pending calls end, and as far as it knows there is no leader.
func (g *Group) fail(cause error) {
	level.Error(g.options.Logger).Log("msg", "replica stopped", "group", g.options.Name, "err", cause)
	g.disable(cause)
}

// disable takes the member out of service without a log line.
func (g *Group) disable(cause error) {
	g.mutex.Lock()
	g.failure = cause
	g.releaseSnapshotSlot(false)
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

// Reopen recovers a failed member from its disk, as a new process would: nothing that memory held is kept. What the failed
// operation left behind has been truncated, as far as the disk allowed.
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
