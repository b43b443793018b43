package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/program"
)

const (
	// commitDeadline is how long the commit of a turn is retried before it is abandoned and its reservation counts as spent. A larger
	// value loses fewer tokens in an outage of the program stores, and keeps more goroutines.
	commitDeadline = 30 * time.Second
	// commitTimeout bounds one attempt to commit.
	commitTimeout = 2 * time.Second
	// minCommitBackoff and maxCommitBackoff bound the exponential backoff between attempts to commit a turn.
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = 2 * time.Second
	// maxUnknownTurnAttempts bounds the attempts to which the program stores answer with UnknownTurn: about three seconds with the
	// backoff.
	maxUnknownTurnAttempts = 7
	// finalCommitsTimeout bounds the commits of turns whose requests a shutdown abandoned.
	finalCommitsTimeout = 150 * time.Millisecond
	// maxConcurrentCommits bounds the turns that are committed in the background at the same time.
	maxConcurrentCommits = 4096
	// commitBytes is the memory of a commit in the background, without the turn's names: its goroutine and the call to a store.
	commitBytes = 8 << 10
)

// usageCommitter commits the usage of turns in the background, each in its own goroutine. drain waits for these goroutines and then
// cancels the rest. An abandoned request may still start a commit while drain waits, which a sync.WaitGroup does not allow while its
// counter is 0.
type usageCommitter struct {
	programs Programs
	memory   *memorybudget.Budget
	context  context.Context // parent of the contexts of all commits
	cancel   context.CancelFunc
	drained  chan struct{} // closed once drain has begun and no commit runs; no commit starts after that

	mutex    sync.Mutex // guards the fields below
	running  int        // number of commits
	draining bool
}

// newUsageCommitter returns a committer that commits to programs until drain is called.
func newUsageCommitter(programs Programs, memory *memorybudget.Budget) *usageCommitter {
	u := &usageCommitter{programs: programs, memory: memory, drained: make(chan struct{})}
	u.context, u.cancel = context.WithCancel(context.Background())
	return u
}

// commit commits a turn in the background. If maxConcurrentCommits are running, there is no memory for it, or drained is closed, the turn is
// dropped and its reservation counts as spent.
func (u *usageCommitter) commit(key string, turn program.EndTurn) {
	lease, err := u.memory.TryReserve(memorybudget.Small, commitBytes+int64(len(key)+len(turn.Turn)+outputCopies*len(turn.Output)))
	if err != nil {
		return
	}
	if !u.startCommit() {
		lease.Release()
		return
	}
	go func() {
		defer u.finishCommit()
		defer lease.Release()
		ctx, cancel := context.WithTimeout(u.context, commitDeadline)
		defer cancel()
		_ = commitTurn(ctx, u.programs, key, turn)
	}()
}

// startCommit counts a new commit. It returns false if the commit must not run.
func (u *usageCommitter) startCommit() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.running >= maxConcurrentCommits || u.draining && u.running == 0 {
		return false
	}
	u.running++
	return true
}

// finishCommit stops counting a commit that has ended.
func (u *usageCommitter) finishCommit() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.running--; u.draining && u.running == 0 {
		close(u.drained)
	}
}

// startDraining makes drained be closed when the last commit ends, or at once if none is running.
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

// pending returns the number of turns that are being committed.
func (u *usageCommitter) pending() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.running
}

// drain waits until all commits have ended, at most finalCommitsTimeout longer than the context. It then cancels the rest and returns
// their number.
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

// waitWithTimeout waits until done is closed, at most for the timeout.
func waitWithTimeout(done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// errStorageFull is returned if the program stores don't keep the turn's output, for lack of memory or disk.
var errStorageFull = errors.New("program stores are short of memory or disk")

// errUnknownTurn is returned if the program stores have no such turn in progress.
var errUnknownTurn = errors.New("program stores have no such turn in progress")

// commitTurn attempts to commit a turn until the commit is acknowledged or the context ends. A complete turn that is unknown to the
// program stores can never count, and fails at once with errUnknownTurn. The commit of an incomplete turn may arrive before its Begin,
// and is retried.
func commitTurn(ctx context.Context, programs Programs, key string, turn program.EndTurn) error {
	backoff := minCommitBackoff
	for unknown := 0; ; {
		result, err := attemptCommit(ctx, programs, key, turn)
		switch {
		case err == nil && result.Verdict == program.Accepted:
			return nil
		case err == nil && result.Verdict == program.StorageFull:
			return errStorageFull
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
