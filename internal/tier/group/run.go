package group

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// reopenInterval is the time from a failure of the disk until a member recovers from what the disk holds.
const reopenInterval = 300 * time.Millisecond

// transferElectionTimeouts is the number of election timeouts for which a member that is to end waits until the group has
// another leader.
const transferElectionTimeouts = 2

// Run drives the member until ctx ends, and then, if it leads, until the group has another leader, for two election timeouts
// at most. Where its disk fails it recovers from what the disk holds, as often as needed, so that the process need not end
// for that. What cannot be repaired so is returned: a damaged disk, or a state on it that is rejected (IsFatal). What RunBackground runs has ended when
// Run returns.
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

// runUntil runs iterations until ctx ends, or until holds after one.
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

// reopen retries Reopen at an interval until it succeeds, ctx ends or the error is fatal.
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

// RunOnce runs one iteration and returns when the next one is due at the latest, by Options.Clock. After an error, which is
// the disk's, the member is out of service until Reopen succeeds: it sends nothing, knows no leader, and all calls fail. A
// member that has stopped does nothing.
func (g *Group) RunOnce() (time.Duration, error) {
	if g.stop() || g.isStopped() {
		return g.options.Clock() + stoppedWake, nil
	}
	if err := g.failed(); err != nil {
		return 0, err
	}
	next, err := g.process()
	if err != nil {
		g.fail(err)
	}
	return next, err
}
