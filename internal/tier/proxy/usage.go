package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"mastusher/internal/tier/program"
)

const (
	// commitDeadline is how long the commit of a turn is attempted before it is given up: its reservation then counts as spent. A
	// larger value loses fewer tokens in an outage of the stores, and keeps more goroutines.
	commitDeadline = 30 * time.Second
	// commitTimeout bounds one attempt.
	commitTimeout = 2 * time.Second
	// minCommitBackoff and maxCommitBackoff bound the exponential backoff between two attempts.
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = 2 * time.Second
	// maxUnknownTurnAttempts bounds the attempts that the stores answer by not knowing the turn: about three seconds with the backoff.
	maxUnknownTurnAttempts = 7
	// finalCommitsTimeout is for the turns whose requests were abandoned as the proxy shuts down.
	finalCommitsTimeout = 150 * time.Millisecond
	// maxConcurrentCommits bounds the turns that are committed beside their requests.
	maxConcurrentCommits = 4096
)

// usageCommitter commits the usage of turns beside their requests, a goroutine each. drain waits for these, and ends them by their
// context. A request that was abandoned may still commit while drain waits, so a sync.WaitGroup, which mustn't be added to at 0
// then, doesn't fit.
type usageCommitter struct {
	programs Programs
	context  context.Context // of every commit
	cancel   context.CancelFunc
	drained  chan struct{} // closed once drain has begun and no commit runs; none is started from then on

	mutex    sync.Mutex // guards what follows
	running  int        // commits
	draining bool
}

// newUsageCommitter returns a committer that calls programs until drain.
func newUsageCommitter(programs Programs) *usageCommitter {
	u := &usageCommitter{programs: programs, drained: make(chan struct{})}
	u.context, u.cancel = context.WithCancel(context.Background())
	return u
}

// commit attempts to commit a turn until that is acknowledged. Beyond maxConcurrentCommits the turn is dropped, and its
// reservation counts as spent, and so it does after drain.
func (u *usageCommitter) commit(key string, turn program.EndTurn) {
	if !u.startCommit() {
		return
	}
	go func() {
		defer u.finishCommit()
		ctx, cancel := context.WithTimeout(u.context, commitDeadline)
		defer cancel()
		_ = commitTurn(ctx, u.programs, key, turn)
	}()
}

// startCommit counts a commit, and reports whether it may run.
func (u *usageCommitter) startCommit() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.running >= maxConcurrentCommits || u.draining && u.running == 0 {
		return false
	}
	u.running++
	return true
}

// finishCommit counts the finishCommit of a commit.
func (u *usageCommitter) finishCommit() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.running--; u.draining && u.running == 0 {
		close(u.drained)
	}
}

// startDraining has drained closed when the last commit ends, or at once if none runs.
func (u *usageCommitter) startDraining() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.draining {
		return
	}
	if u.draining = true; u.running == 0 {
		close(u.drained)
	}
}

// pending returns how many turns are being committed.
func (u *usageCommitter) pending() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.running
}

// drain returns when all commits have ended, at most finalCommitsTimeout after the context. The rest, so many, is then abandoned.
func (u *usageCommitter) drain(ctx context.Context) (abandoned int) {
	u.startDraining()
	select {
	case <-u.drained:
	case <-ctx.Done():
		waitWithTimeout(u.drained, finalCommitsTimeout)
	}
	abandoned = u.pending()
	u.cancel()
	<-u.drained
	return abandoned
}

// waitWithTimeout returns when done is closed, or after the timeout.
func waitWithTimeout(done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// errUnknownTurn says that the stores have no such turn in progress.
var errUnknownTurn = errors.New("turn unknown to the stores")

// commitTurn attempts to commit a turn until that is acknowledged or the context ends. A complete turn that the stores don't know
// never counts, and fails with errUnknownTurn at once; the commit of an incomplete one may overtake its Begin, and is attempted
// again.
func commitTurn(ctx context.Context, programs Programs, key string, turn program.EndTurn) error {
	backoff := minCommitBackoff
	for unknown := 0; ; {
		result, err := attemptCommit(ctx, programs, key, turn)
		switch {
		case err == nil && result.Verdict == program.Accepted:
			return nil
		case err == nil:
			unknown++
			if turn.Complete || unknown >= maxUnknownTurnAttempts {
				return errUnknownTurn
			}
			err = errUnknownTurn
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
		backoff = min(2*backoff, maxCommitBackoff)
	}
}

// attemptCommit makes one attempt to commit a turn, within commitTimeout.
func attemptCommit(ctx context.Context, programs Programs, key string, turn program.EndTurn) (program.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return programs.End(bounded, key, turn)
}
