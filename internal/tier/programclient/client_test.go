package programclient

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// store is a fake store whose handlers the test sets.
type store struct {
	address string
	begins  atomic.Int64
	begin   func(ctx context.Context, request wire.BeginTurnRequest) (program.Result, error)
	end     func(request wire.EndTurnRequest) (program.Result, error)
	chain   func(request wire.ChainRequest) (wire.ChainResponse, error)
}

// notLeaderError is the error of a store that doesn't lead the shard. leader is its hint: the leader's address, or empty.
type notLeaderError struct{ leader string }

func (e *notLeaderError) Error() string     { return e.leader }
func (e *notLeaderError) ErrorKind() string { return wire.KindNotLeader }

func newStore(t *testing.T) *store {
	t.Helper()
	s := &store{}
	handlers := transport.NewHandlers()
	transport.Handle(handlers, wire.MethodBeginTurn, func(ctx context.Context, _ string, request wire.BeginTurnRequest) (program.Result, error) {
		s.begins.Add(1)
		return s.begin(ctx, request)
	})
	transport.Handle(handlers, wire.MethodEndTurn, func(_ context.Context, _ string, request wire.EndTurnRequest) (program.Result, error) {
		return s.end(request)
	})
	transport.Handle(handlers, wire.MethodChain, func(_ context.Context, _ string, request wire.ChainRequest) (wire.ChainResponse, error) {
		return s.chain(request)
	})
	server, err := transport.Listen("127.0.0.1:0", handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	s.address = server.Address()
	return s
}

// newClient returns a client with a number of shards, each with a replica on every store.
func newClient(t *testing.T, shards int, stores ...*store) *Client {
	t.Helper()
	pool := transport.NewPool()
	t.Cleanup(pool.Close)
	placed := &view.Placement{Shards: make([]view.ShardPlacement, shards)}
	for i := range placed.Shards {
		for _, s := range stores {
			placed.Shards[i].Replicas = append(placed.Shards[i].Replicas, view.Replica{Address: s.address})
		}
	}
	client := New(pool, 1<<20)
	client.SetPlacement(placed)
	return client
}

// keyOf returns a key that belongs to a shard.
func keyOf(shard, shards int) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key", i); placement.Shard(key, shards) == shard {
			return key
		}
	}
}

func testContext(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func TestClient_NoPlacement_ReturnsErrNoPlacement(t *testing.T) {
	pool := transport.NewPool()
	t.Cleanup(pool.Close)
	client := New(pool, 1<<20)
	if _, err := client.Begin(t.Context(), "key", program.BeginTurn{Turn: "t"}); !errors.Is(err, ErrNoPlacement) {
		t.Errorf("Begin: error %v, want ErrNoPlacement", err)
	}
	if _, err := client.End(t.Context(), "key", program.EndTurn{Turn: "t"}); !errors.Is(err, ErrNoPlacement) {
		t.Errorf("End: error %v, want ErrNoPlacement", err)
	}
}

func TestClient_FollowerHints_FindsLeader(t *testing.T) {
	first, leader := newStore(t), newStore(t)
	first.begin = func(context.Context, wire.BeginTurnRequest) (program.Result, error) {
		return program.Result{}, &notLeaderError{leader.address}
	}
	leader.begin = func(_ context.Context, request wire.BeginTurnRequest) (program.Result, error) {
		return program.Result{Verdict: program.Accepted, Chain: []byte(request.Turn.Turn)}, nil
	}
	client := newClient(t, 1, first, leader)
	for i := range 3 {
		got, err := client.Begin(testContext(t, 5*time.Second), "key", program.BeginTurn{Turn: fmt.Sprint("t", i)})
		if err != nil || got.Verdict != program.Accepted || string(got.Chain) != fmt.Sprint("t", i) {
			t.Errorf("got %+v, %v", got, err)
		}
	}
	if attempts := first.begins.Load(); attempts != 1 {
		t.Errorf("the follower was tried %d times, want once", attempts)
	}
}

func TestClient_HintedLeaderUnresponsive_TriesOthersFirst(t *testing.T) {
	// given an unresponsive store, a follower that still hints at it as the leader, and the new leader
	unresponsive, follower, leader := newStore(t), newStore(t), newStore(t)
	unresponsive.begin = func(ctx context.Context, _ wire.BeginTurnRequest) (program.Result, error) {
		<-ctx.Done()
		return program.Result{}, ctx.Err()
	}
	follower.begin = func(context.Context, wire.BeginTurnRequest) (program.Result, error) {
		return program.Result{}, &notLeaderError{unresponsive.address}
	}
	leader.begin = func(context.Context, wire.BeginTurnRequest) (program.Result, error) {
		return program.Result{Verdict: program.Accepted}, nil
	}
	client := newClient(t, 1, unresponsive, follower, leader)
	// when a turn is begun, then the new leader is tried before the unresponsive store is retried
	got, err := client.Begin(testContext(t, 5*time.Second), "key", program.BeginTurn{Turn: "t"})
	if err != nil || got.Verdict != program.Accepted || unresponsive.begins.Load() != 1 {
		t.Errorf("got %+v, %v after trying the unresponsive store %d times", got, err, unresponsive.begins.Load())
	}
}

func TestClient_TurnNotFound_OnlyIfEveryShardAnswers(t *testing.T) {
	const shards = 3
	cases := []struct {
		name  string
		chain func(wire.ChainRequest) (wire.ChainResponse, error)
		want  program.Result
		known bool
	}{
		{"given no shard that has the previous turn then it isn't found",
			func(wire.ChainRequest) (wire.ChainResponse, error) { return wire.ChainResponse{}, nil },
			program.Result{Verdict: program.TurnNotFound}, true},
		{"given another shard that has the previous turn then its chain is imported",
			func(request wire.ChainRequest) (wire.ChainResponse, error) {
				return wire.ChainResponse{Found: request.Shard == 2, Chain: []byte("old")}, nil
			},
			program.Result{Verdict: program.Accepted, Chain: []byte("old")}, true},
		{"given a shard without a leader then the outcome is unknown",
			func(request wire.ChainRequest) (wire.ChainResponse, error) {
				if request.Shard == 1 {
					return wire.ChainResponse{}, &notLeaderError{}
				}
				return wire.ChainResponse{}, nil
			}, program.Result{}, false},
		{"given a shard without a leader and one that has the previous turn then its chain is imported",
			func(request wire.ChainRequest) (wire.ChainResponse, error) {
				if request.Shard == 1 {
					return wire.ChainResponse{}, &notLeaderError{}
				}
				return wire.ChainResponse{Found: true, Chain: []byte("old")}, nil
			}, program.Result{Verdict: program.Accepted, Chain: []byte("old")}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newStore(t)
			s.chain = test.chain
			s.begin = func(_ context.Context, request wire.BeginTurnRequest) (program.Result, error) {
				if len(request.Turn.Imported) == 0 {
					return program.Result{Verdict: program.TurnNotFound}, nil
				}
				return program.Result{Verdict: program.Accepted, Chain: request.Turn.Imported}, nil
			}
			client := newClient(t, shards, s)
			got, err := client.Begin(testContext(t, 300*time.Millisecond), keyOf(0, shards), program.BeginTurn{Turn: "t", Previous: "before"})
			if (err == nil) != test.known {
				t.Fatalf("got %+v, %v", got, err)
			}
			if !test.known {
				return
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestClient_End_ReturnsVerdict(t *testing.T) {
	s := newStore(t)
	s.end = func(request wire.EndTurnRequest) (program.Result, error) {
		if strings.HasPrefix(request.Turn.Turn, "lost") {
			return program.Result{Verdict: program.UnknownTurn}, nil
		}
		return program.Result{Verdict: program.Accepted}, nil
	}
	client := newClient(t, 1, s)
	for turn, want := range map[string]program.Verdict{"kept": program.Accepted, "lost": program.UnknownTurn} {
		got, err := client.End(testContext(t, 5*time.Second), "key", program.EndTurn{Turn: turn})
		if err != nil || got.Verdict != want {
			t.Errorf("ending turn %s: %+v, %v", turn, got, err)
		}
	}
}

func TestClient_LeaderUnresponsive_NextCallStartsElsewhere(t *testing.T) {
	// given a leader that became unresponsive, and another store that leads the shard since then
	unresponsive, leader := newStore(t), newStore(t)
	client := newClient(t, 1, unresponsive, leader)
	accept := func(context.Context, wire.BeginTurnRequest) (program.Result, error) {
		return program.Result{Verdict: program.Accepted}, nil
	}
	unresponsive.begin, leader.begin = accept, accept
	if _, err := client.Begin(t.Context(), "key", program.BeginTurn{Turn: "before"}); err != nil {
		t.Fatal(err)
	}
	unresponsive.begin = func(ctx context.Context, _ wire.BeginTurnRequest) (program.Result, error) {
		<-ctx.Done()
		return program.Result{}, ctx.Err()
	}
	cases := []struct {
		name    string
		timeout time.Duration // of the call that starts at the unresponsive store
		cancels bool          // the caller cancels that call; otherwise its deadline ends
		retried bool          // the next call tries the unresponsive store again
	}{
		{"given a call that its caller cancels then the next call still starts at the unresponsive store", 0, true, true},
		{"given a call whose deadline ends during its attempt at the unresponsive store then the next call starts elsewhere", 350 * time.Millisecond, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client.setLeader(0, unresponsive.address)
			before := unresponsive.begins.Load()
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			if test.cancels {
				ctx, cancel = context.WithCancel(t.Context())
				go func() {
					for unresponsive.begins.Load() == before {
						runtime.Gosched()
					}
					cancel()
				}()
			}
			defer cancel()
			// when a call gets no answer
			if _, err := client.Begin(ctx, "key", program.BeginTurn{Turn: "id"}); err == nil {
				t.Fatal("a call that only tried the unresponsive store returned no error")
			}
			// then the next one is answered
			if result, err := client.Begin(t.Context(), "key", program.BeginTurn{Turn: "id"}); err != nil || result.Verdict != program.Accepted {
				t.Errorf("the next call returned %+v, %v", result, err)
			}
			if attempts := unresponsive.begins.Load() - before; (attempts > 1) != test.retried {
				t.Errorf("both calls together tried the unresponsive store %d times", attempts)
			}
		})
	}
}
