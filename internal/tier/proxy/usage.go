package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"mastusher/internal/tier/program"
)

const (
	// settleFor is how long the end of a turn is offered to the stores before it is given up: its reservation then counts
	// as spent.
	settleFor = 30 * time.Second
	// settleTry bounds one offer.
	settleTry = 2 * time.Second
	// settleFirstWait and settleLongestWait bound the growing pause between two offers.
	settleFirstWait   = 50 * time.Millisecond
	settleLongestWait = 2 * time.Second
	// mostUnknown bounds the offers that the stores answer by not knowing the turn: about three seconds with the pauses.
	mostUnknown = 7
	// lastSettlesTime is for the ends of turns whose requests were given up as the proxy ends.
	lastSettlesTime = 150 * time.Millisecond
	// settlesAtOnce bounds the turns that are being settled beside their requests.
	settlesAtOnce = 4096
)

// settler brings the ends of turns to the stores beside the requests.
type settler struct {
	programs Programs
	places   chan struct{}
	running  sync.WaitGroup
	context  context.Context
	cancel   context.CancelFunc
}

func newSettler(programs Programs) *settler {
	s := &settler{programs: programs, places: make(chan struct{}, settlesAtOnce)}
	s.context, s.cancel = context.WithCancel(context.Background())
	return s
}

// settle offers the end of a turn until it is acknowledged. Beyond the bound it is dropped, and counts as spent.
func (s *settler) settle(key string, turn program.EndTurn) {
	select {
	case s.places <- struct{}{}:
	default:
		return
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer func() { <-s.places }()
		ctx, cancel := context.WithTimeout(s.context, settleFor)
		defer cancel()
		endTurn(ctx, s.programs, key, turn)
	}()
}

// open returns how many turns are being settled.
func (s *settler) open() int { return len(s.places) }

// wait returns when all settles are done, or some time after the context has ended; the rest, so many, is then given up.
func (s *settler) wait(ctx context.Context) (givenUp int) {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		awaitFor(done, lastSettlesTime)
	}
	givenUp = s.open()
	s.cancel()
	<-done
	return givenUp
}

// awaitFor returns when done is closed, or after so long.
func awaitFor(done <-chan struct{}, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// errUnknownTurn says that the stores don't hold a turn as one that is under way.
var errUnknownTurn = errors.New("the stores don't know the turn")

// endTurn offers the end of a turn until it is acknowledged or the context ends. A whole turn that the stores don't know
// never counts; of one that broke off they may hear after its end, as the beginning may still be on its way.
func endTurn(ctx context.Context, programs Programs, key string, turn program.EndTurn) error {
	wait := settleFirstWait
	for unknown := 0; ; {
		result, err := tryEndTurn(ctx, programs, key, turn)
		switch {
		case err == nil && result.Verdict == program.Accepted:
			return nil
		case err == nil:
			unknown++
			if turn.Complete || unknown >= mostUnknown {
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
		wait = min(2*wait, settleLongestWait)
	}
}

func tryEndTurn(ctx context.Context, programs Programs, key string, turn program.EndTurn) (program.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, settleTry)
	defer cancel()
	return programs.End(bounded, key, turn)
}
