package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"mastusher/internal/tier/program"
)

const (
	// commitDeadline is how long the end of a turn is offered to the stores before it is given up: its reservation then counts
	// as spent.
	commitDeadline = 30 * time.Second
	// commitTimeout bounds one offer.
	commitTimeout = 2 * time.Second
	// minCommitBackoff and maxCommitBackoff bound the growing pause between two offers.
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = 2 * time.Second
	// maxUnknownAnswers bounds the offers that the stores answer by not knowing the turn: about three seconds with the pauses.
	maxUnknownAnswers = 7
	// finalCommitsTimeout is for the ends of turns whose requests were given up as the proxy ends.
	finalCommitsTimeout = 150 * time.Millisecond
	// maxConcurrentCommits bounds the turns that are being settled beside their requests.
	maxConcurrentCommits = 4096
)

// usageCommitter brings the ends of turns to the stores beside the requests.
type usageCommitter struct {
	programs Programs
	slots    chan struct{}
	commits  sync.WaitGroup
	context  context.Context
	cancel   context.CancelFunc
}

func newUsageCommitter(programs Programs) *usageCommitter {
	s := &usageCommitter{programs: programs, slots: make(chan struct{}, maxConcurrentCommits)}
	s.context, s.cancel = context.WithCancel(context.Background())
	return s
}

// commit offers the end of a turn until it is acknowledged. Beyond the bound it is dropped, and counts as spent.
func (s *usageCommitter) commit(key string, turn program.EndTurn) {
	select {
	case s.slots <- struct{}{}:
	default:
		return
	}
	s.commits.Add(1)
	go func() {
		defer s.commits.Done()
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(s.context, commitDeadline)
		defer cancel()
		commitTurn(ctx, s.programs, key, turn)
	}()
}

// pending returns how many turns are being settled.
func (s *usageCommitter) pending() int { return len(s.slots) }

// drain returns when all settles are done, or some time after the context has ended; the rest, so many, is then given up.
func (s *usageCommitter) drain(ctx context.Context) (givenUp int) {
	done := make(chan struct{})
	go func() {
		s.commits.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		waitAtMost(done, finalCommitsTimeout)
	}
	givenUp = s.pending()
	s.cancel()
	<-done
	return givenUp
}

// waitAtMost returns when done is closed, or after so long.
func waitAtMost(done <-chan struct{}, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// errUnknownTurn says that the stores don't hold a turn as one that is under way.
var errUnknownTurn = errors.New("the stores don't know the turn")

// commitTurn offers the end of a turn until it is acknowledged or the context ends. A whole turn that the stores don't know
// never counts; of one that broke off they may hear after its end, as the beginning may still be on its way.
func commitTurn(ctx context.Context, programs Programs, key string, turn program.EndTurn) error {
	wait := minCommitBackoff
	for unknown := 0; ; {
		result, err := attemptCommit(ctx, programs, key, turn)
		switch {
		case err == nil && result.Verdict == program.Accepted:
			return nil
		case err == nil:
			unknown++
			if turn.Complete || unknown >= maxUnknownAnswers {
				return errUnknownTurn
			}
			err = errUnknownTurn
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
		wait = min(2*wait, maxCommitBackoff)
	}
}

func attemptCommit(ctx context.Context, programs Programs, key string, turn program.EndTurn) (program.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return programs.End(bounded, key, turn)
}
