package group

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// reopenInterval is the delay before each attempt to reopen a member after a disk failure.
const reopenInterval = 300 * time.Millisecond

// transferElectionTimeouts is the number of election timeouts for which Run waits, before it returns, for another leader.
const transferElectionTimeouts = 2

// Run drives the member until ctx ends. If the member is then the leader, Run transfers the leadership and waits for another
// leader, for two election timeouts at most. After a disk failure it reopens the member until that succeeds, so that the process
// need not restart. It returns only errors that reopening can't resolve (IsFatal). Work passed to RunBackground has ended when Run
// returns.
func (g *Group) Run(ctx context.Context) error {
	defer g.awaitCompaction()
	if err := g.runUntil(ctx, func() bool { return false }); err != nil {
		return err
	}
	if status := g.Status(); g.isStopped() || !status.IsLeader || len(status.Members) < 2 {
		return nil
	}
	g.TransferLeadership()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferElectionTimeouts*g.options.Replica.ElectionTimeout)
	defer cancel()
	return g.runUntil(bounded, g.hasOtherLeader)
}

// runUntil runs iterations until ctx ends, the member has stopped, or until returns true after an iteration.
func (g *Group) runUntil(ctx context.Context, until func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		case <-timer.C:
		}
		next, err := g.RunOnce()
		if err != nil {
			if err := g.reopen(ctx); err != nil {
				return err
			}
			next = 0
		}
		if until() || g.isStopped() {
			return nil
		}
		timer.Reset(max(0, next-g.options.Clock()))
	}
}

// reopen calls Reopen at intervals until it succeeds, ctx ends or the error is fatal. It returns only a fatal error.
func (g *Group) reopen(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenInterval):
		}
		err := g.Reopen()
		if err == nil {
			level.Info(g.options.Logger).Log("msg", "replica reopened", "group", g.options.Name)
			return nil
		}
		if IsFatal(err) {
			return err
		}
		level.Warn(g.options.Logger).Log("msg", "reopening replica failed, retrying", "group", g.options.Name, "err", err)
	}
}

// RunOnce runs one iteration and returns the latest time of the next one, by Options.Clock. After an error, the member is out of
// service until Reopen succeeds: it sends nothing, reports no leader, and all calls fail. A stopped member does nothing.
func (g *Group) RunOnce() (time.Duration, error) {
	if g.stop() || g.isStopped() {
		return g.options.Clock() + stoppedWakeInterval, nil
	}
	if err := g.failureCause(); err != nil {
		return 0, err
	}
	next, err := g.process()
	if err != nil {
		g.fail(err)
	}
	return next, err
}
