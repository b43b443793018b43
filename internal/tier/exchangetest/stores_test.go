package exchangetest

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wait"
)

// storeDelay is the stores' usual response time, and lateDelay that of a commitDelayed.
const (
	storeDelay = 2 * time.Millisecond
	lateDelay  = 60 * time.Millisecond
)

var errStores = errors.New("the stores can't be reached")

// fakeStores implements the stores, which follow the scripts of the turns.
type fakeStores struct {
	environment *environment

	mutex      sync.Mutex
	attempted  map[string]bool              // turns for which End was called
	committed  map[string][]program.EndTurn // accepted ends of each turn, in the order of acceptance
	violations []string
}

// Begin implements proxy.Programs.
func (s *fakeStores) Begin(ctx context.Context, _ string, turn program.BeginTurn) (program.Result, error) {
	request := s.environment.requests[turn.Turn]
	if err := wait.Sleep(ctx, storeDelay); err != nil {
		return program.Result{}, err
	}
	if !bytes.Equal(turn.Input, request.body()) {
		s.report("UNASKED " + request.id + ": the stores received another input than the client sent")
	}
	switch request.beginResult {
	case budgetExhausted:
		return program.Result{Verdict: program.BudgetExceeded}, nil
	case turnNotFound:
		return program.Result{Verdict: program.TurnNotFound}, nil
	case storesUnavailable:
		return program.Result{}, errStores
	}
	return program.Result{Verdict: program.Accepted, Chain: request.forwardedBody()[:request.chain]}, nil
}

// End implements proxy.Programs.
func (s *fakeStores) End(ctx context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	request := s.environment.requests[turn.Turn]
	delay := storeDelay
	if request.endResult == commitDelayed {
		delay = lateDelay
	}
	if err := wait.Sleep(ctx, delay); err != nil {
		return program.Result{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := !s.attempted[turn.Turn]
	s.attempted[turn.Turn] = true
	switch {
	case request.endResult == commitNeverArrives || request.endResult == firstCommitFails && first:
		return program.Result{}, errStores
	case request.endResult == commitUnknown:
		return program.Result{Verdict: program.UnknownTurn}, nil
	}
	s.committed[turn.Turn] = append(s.committed[turn.Turn], turn)
	if request.endResult == firstCommitAckLost && first {
		return program.Result{}, errStores
	}
	return program.Result{Verdict: program.Accepted}, nil
}

func (s *fakeStores) report(text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, text)
}

// firstCommit returns the first end of a turn that the stores accepted.
func (s *fakeStores) firstCommit(id string) (end program.EndTurn, taken bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.committed[id]) == 0 {
		return end, false
	}
	return s.committed[id][0], true
}
