package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/program"
)

// budgetStore is a Programs that keeps turns and budgets like the program stores.
type budgetStore struct {
	mutex   sync.Mutex
	machine *program.Machine
	ended   chan program.EndTurn
}

func newBudgetStore() *budgetStore {
	return &budgetStore{machine: program.New(), ended: make(chan program.EndTurn, 16)}
}

func (s *budgetStore) Begin(_ context.Context, _ string, turn program.BeginTurn) (program.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	turn.Input = bytes.Clone(turn.Input)
	turn.AtMs = time.Now().UnixMilli()
	return s.machine.Apply(program.Command{Begin: &turn}), nil
}

func (s *budgetStore) End(_ context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	turn.Output = bytes.Clone(turn.Output)
	turn.AtMs = time.Now().UnixMilli()
	result := s.machine.Apply(program.Command{End: &turn})
	s.ended <- turn
	return result, nil
}

// tightBudget is enough for one turn and two more events: a turn has at most five events, and an event three tokens.
var tightBudget = []string{"Program: p", "Budget: 21", "X-Token-Counts: 100,15"}

// commitWait is longer than any commit of a turn takes.
const commitWait = 10 * time.Second

// newFixtureWithBudgets starts a proxy whose turns and budgets are in a budgetStore.
func newFixtureWithBudgets(t *testing.T, endpoints ...*endpoint) (*fixture, *budgetStore) {
	t.Helper()
	store := newBudgetStore()
	f := newFixtureWith(t, func(options *Options) { options.Programs = store }, endpoints...)
	return f, store
}

// turn runs one turn and waits until it is committed, unless it is rejected for its budget.
func (f *fixture) turn(store *budgetStore, route, id string) receivedResponse {
	f.t.Helper()
	c := f.dial()
	c.request("POST", "/"+route+"/x", id, "input", tightBudget...)
	got := c.readResponse("POST")
	if got.status != 402 {
		select {
		case end := <-store.ended:
			if end.Turn != id {
				f.t.Fatalf("committed turn %q, want %q", end.Turn, id)
			}
		case <-time.After(commitWait):
			f.t.Fatalf("turn %q was not committed", id)
		}
	}
	return got
}

func TestTurn_DidNotRun_ReleasesReservation(t *testing.T) {
	five := stream(event(1, "a"), event(2, "b"), event(3, "c"), event(4, "d"), event(5, "e"))
	breakAfterOne := func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one")))
		return false
	}
	cases := []struct {
		name   string
		script func(net.Conn, receivedRequest) bool // of the first turn; nil: no endpoint
		fits   bool                                 // a second turn of the maximum size fits into the budget
	}{
		{"given no endpoint for a turn then its whole reservation is released", nil, true},
		{"given a turn that is rejected then its whole reservation is released", respondNotRun, true},
		{"given a turn that fails with a 4xx then its whole reservation is released", respondWith(413, "no"), true},
		{"given a turn that is reset before its first event then its whole reservation is released", resetConnection, true},
		{"given a turn that is interrupted after an event then the rest of its reservation is released", breakAfterOne, true},
		{"given a turn that is complete then the tokens that it forwarded are spent", five, false},
	}
	for _, test := range cases {
		for _, route := range []string{"turn", "stream"} {
			t.Run(test.name+", "+route, func(t *testing.T) {
				var secondAttempt atomic.Bool
				e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
					if !secondAttempt.Swap(true) {
						return test.script(socket, request)
					}
					return five(socket, request)
				})
				f, store := newFixtureWithBudgets(t, e)
				all := f.selector.endpoints
				if test.script == nil {
					secondAttempt.Store(true)
					f.selector.endpoints = nil
				}
				f.turn(store, route, "first")
				f.selector.endpoints = all
				runs := e.count.Load()
				got := f.turn(store, route, "second")
				if (got.status == 200) != test.fits || (got.status == 402) == test.fits {
					t.Errorf("second turn: got %+v", got)
				}
				if got.status == 402 && e.count.Load() != runs {
					t.Error("a turn that was rejected for its budget has run")
				}
			})
		}
	}
}

func TestProgram_EndlessLoop_StaysWithinBudget(t *testing.T) {
	// given a program that continues to request turns when its budget is spent
	events := stream(event(1, "a"), event(2, "b"))
	e := newEndpoint(t, events)
	f, store := newFixtureWithBudgets(t, e)
	served, rejected := 0, 0
	for i := range 10 {
		switch got := f.turn(store, "turn", "t"+string(rune('0'+i))); got.status {
		case 200:
			served++
		case 402:
			rejected++
		default:
			t.Fatalf("got %+v", got)
		}
	}
	// then turns of 6 tokens each are served as long as the 15 tokens of the largest turn fit into the budget of 21
	if served != 2 || rejected != 8 || e.count.Load() != 2 {
		t.Errorf("%d served, %d rejected, %d runs", served, rejected, e.count.Load())
	}
}

func TestUsageCommitter_CommitLost_RetriesWithinBound(t *testing.T) {
	const bound = time.Second // the settleMs setting of the deployments
	for lost := range 4 {
		synctest.Test(t, func(t *testing.T) {
			// given program stores that lose some attempts to commit
			attempts := 0
			stores := &fakePrograms{ended: make(chan program.EndTurn, 1), end: func(program.EndTurn) error {
				attempts++
				if attempts <= lost {
					return errors.New("lost")
				}
				return nil
			}}
			began := time.Now()
			// when the commit is retried, then it is accepted within the bound
			if err := commitTurn(t.Context(), stores, "key", program.EndTurn{Turn: "id"}); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took >= bound {
				t.Errorf("%d lost: committed after %v", lost, took)
			}
		})
	}
}
