package exchangetest

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"mastusher/internal/tier/program"
)

// storeDelay is how long the stores take, and lateDelay how long where they are late.
const (
	storeDelay = 2 * time.Millisecond
	lateDelay  = 60 * time.Millisecond
)

var errStores = errors.New("the stores can't be reached")

// stores plays the stores by the scripts of the turns.
type stores struct {
	world *world

	mutex  sync.Mutex
	asked  map[string]bool              // turns whose end was told once
	ends   map[string][]program.EndTurn // of each turn, as told and taken
	faults []string
}

// Begin implements proxy.Programs.
func (s *stores) Begin(ctx context.Context, _ string, turn program.BeginTurn) (program.Result, error) {
	request := s.world.requests[turn.Turn]
	if err := wait(ctx, storeDelay); err != nil {
		return program.Result{}, err
	}
	if !bytes.Equal(turn.Input, request.body()) {
		s.fault("UNASKED " + request.id + ": the stores were told another input")
	}
	switch request.begin {
	case spent:
		return program.Result{Verdict: program.BudgetExceeded}, nil
	case noTurn:
		return program.Result{Verdict: program.TurnNotFound}, nil
	case noStores:
		return program.Result{}, errStores
	}
	return program.Result{Verdict: program.Accepted, Chain: request.passedOn()[:request.chain]}, nil
}

// End implements proxy.Programs.
func (s *stores) End(ctx context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	request := s.world.requests[turn.Turn]
	delay := storeDelay
	if request.end == lateSafe {
		delay = lateDelay
	}
	if err := wait(ctx, delay); err != nil {
		return program.Result{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := !s.asked[turn.Turn]
	s.asked[turn.Turn] = true
	switch {
	case request.end == unsafe || request.end == failed && first:
		return program.Result{}, errStores
	case request.end == unknown:
		return program.Result{Verdict: program.UnknownTurn}, nil
	}
	s.ends[turn.Turn] = append(s.ends[turn.Turn], turn)
	if request.end == lostSafe && first {
		return program.Result{}, errStores
	}
	return program.Result{Verdict: program.Accepted}, nil
}

// wait sleeps for a time, or until the context ends.
func wait(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *stores) fault(text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, text)
}

// ended returns what the stores took first as the end of a turn.
func (s *stores) ended(id string) (end program.EndTurn, taken bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.ends[id]) == 0 {
		return end, false
	}
	return s.ends[id][0], true
}
