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

// budgetStore is a Programs that keeps turns and budgets as the stores do.
type budgetStore struct {
	mutex   sync.Mutex
	machine *program.Machine
	ended   chan program.EndTurn
}

func newBudgetStore() *budgetStore {
	return &budgetStore{machine: program.New(), ended: make(chan program.EndTurn, 16)}
}

func (k *budgetStore) Begin(_ context.Context, _ string, turn program.BeginTurn) (program.Result, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	turn.Input = bytes.Clone(turn.Input)
	turn.AtMs = time.Now().UnixMilli()
	return k.machine.Apply(program.Command{Begin: &turn}), nil
}

func (k *budgetStore) End(_ context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	turn.Output = bytes.Clone(turn.Output)
	turn.AtMs = time.Now().UnixMilli()
	result := k.machine.Apply(program.Command{End: &turn})
	k.ended <- turn
	return result, nil
}

// A budget for one turn and two events more: the most of a turn is five events, and an event holds three tokens.
var tightBudget = []string{"Program: p", "Budget: 21", "X-Token-Counts: 100,15"}

// commitWait is more than a turn needs to be committed.
const commitWait = 10 * time.Second

// newFixtureWithBudgets starts a proxy whose programs a keeper keeps.
func newFixtureWithBudgets(t *testing.T, endpoints ...*endpoint) (*fixture, *budgetStore) {
	t.Helper()
	k := newBudgetStore()
	f := newFixtureWith(t, func(options *Options) { options.Programs = k }, endpoints...)
	return f, k
}

// turn runs one turn and waits until it is committed; one that is rejected by its budget isn't.
func (f *fixture) turn(k *budgetStore, route, id string) clientResponse {
	f.t.Helper()
	c := f.dial()
	c.request("POST", "/"+route+"/x", id, "input", tightBudget...)
	got := c.readResponse("POST")
	if got.status != 402 {
		select {
		case end := <-k.ended:
			if end.Turn != id {
				f.t.Fatalf("committed %q in place of %q", end.Turn, id)
			}
		case <-time.After(commitWait):
			f.t.Fatalf("%q isn't committed", id)
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
		left   bool                                 // a turn of the most still fits
	}{
		{"given no endpoint for a turn then its whole reservation is released", nil, true},
		{"given a turn that is rejected then its whole reservation is released", respondNotRun, true},
		{"given a turn that fails with a 4xx then its whole reservation is released", respondWith(413, "no"), true},
		{"given a turn that is reset before its first event then its whole reservation is released", resetConnection, true},
		{"given a turn that breaks off after an event then the rest is given back", breakAfterOne, true},
		{"given a turn that is answered completely then what it forwarded is spent", five, false},
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
				f, k := newFixtureWithBudgets(t, e)
				all := f.selector.endpoints
				if test.script == nil {
					secondAttempt.Store(true)
					f.selector.endpoints = nil
				}
				f.turn(k, route, "first")
				f.selector.endpoints = all
				runs := e.count.Load()
				got := f.turn(k, route, "second")
				if (got.status == 200) != test.left || (got.status == 402) == test.left {
					t.Errorf("the second turn got %+v", got)
				}
				if got.status == 402 && e.count.Load() != runs {
					t.Error("a turn that was rejected for its budget has run")
				}
			})
		}
	}
}

func TestProgram_EndlessLoop_StaysWithinBudget(t *testing.T) {
	// given a program that requests on, also when it learns that its budget is spent
	events := stream(event(1, "a"), event(2, "b"))
	e := newEndpoint(t, events)
	f, k := newFixtureWithBudgets(t, e)
	served, rejected := 0, 0
	for i := range 10 {
		switch got := f.turn(k, "turn", "t"+string(rune('0'+i))); got.status {
		case 200:
			served++
		case 402:
			rejected++
		default:
			t.Fatalf("got %+v", got)
		}
	}
	// then it gets turns as long as one of the most fits: 6 tokens each, up to 21 with 15 set aside
	if served != 2 || rejected != 8 || e.count.Load() != 2 {
		t.Errorf("%d served, %d rejected, %d runs", served, rejected, e.count.Load())
	}
}

func TestUsageCommitter_CommitLost_RetriesWithinBound(t *testing.T) {
	const bound = time.Second // the settleMs setting of the deployments
	for lost := range 4 {
		synctest.Test(t, func(t *testing.T) {
			// given stores that lose some offers of an end
			offers := 0
			stores := &fakePrograms{ended: make(chan program.EndTurn, 1), end: func(program.EndTurn) error {
				offers++
				if offers <= lost {
					return errors.New("lost")
				}
				return nil
			}}
			began := time.Now()
			// when it is offered again, then it is safe within the bound
			if err := commitTurn(t.Context(), stores, "key", program.EndTurn{Turn: "id"}); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took >= bound {
				t.Errorf("%d lost: safe after %v", lost, took)
			}
		})
	}
}
