package store

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// patience bounds every wait of a test that goes as it should.
const patience = 10 * time.Second

var (
	self  = view.Replica{ID: "self", Node: "storage-1", Address: "10.0.0.1:7002", Zone: "a"}
	other = view.Replica{ID: "other", Node: "storage-2", Address: "10.0.0.2:7002", Zone: "b"}
)

// alone is a placement of shards that this store holds alone.
func alone(shards int) view.Placement {
	var placed view.Placement
	for range shards {
		placed.Shards = append(placed.Shards, view.ShardPlacement{Initial: []view.Replica{self}, Replicas: []view.Replica{self}})
	}
	return placed
}

// newStore is a store whose messages to others are lost.
func newStore(t testing.TB, disk *memorydisk.Disk) *Store {
	t.Helper()
	return New(t.Context(), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Now: time.Now, Send: func(string, group.Envelope) {}})
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// settle waits until the store owns all its groups and they follow a placement.
func settle(t testing.TB, s *Store, shards int, index uint64) {
	t.Helper()
	ctx := testContext(t)
	for {
		answer, err := s.handleShardMembers(ctx, "", wire.ShardMembersRequest{})
		if err != nil {
			t.Fatal(err)
		}
		settled := 0
		for _, told := range answer.Shards {
			if told.Placement == index {
				settled++
			}
		}
		if settled == shards {
			return
		}
	}
}

func TestTurnsOfAStore(t *testing.T) {
	s := newStore(t, memorydisk.New())
	s.ApplyUpdate(view.Update{Section: view.PlacementSection, Stamp: view.Stamp{Sequence: 4}, Body: encode(t, alone(2))})
	settle(t, s, 2, 4)
	ctx := testContext(t)

	// Given a turn that was begun and ended.
	began, err := s.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Shard: 1, Turn: *beginTurn("a").Begin})
	if err != nil || began.Verdict != program.Accepted {
		t.Fatalf("begun: %v, %v", began, err)
	}
	if ended, err := s.handleEndTurn(ctx, "", wire.EndTurnRequest{Shard: 1, Turn: *endTurn("a").End}); err != nil || ended.Verdict != program.Accepted {
		t.Fatalf("ended: %v, %v", ended, err)
	}

	// Then its chain is found in its shard, and certainly not in another.
	found, err := s.handleChain(ctx, "", wire.ChainRequest{Shard: 1, Turn: "a"})
	if diff := cmp.Diff(wire.ChainResponse{Found: true, Chain: []byte("input of aoutput")}, found); diff != "" || err != nil {
		t.Errorf("chain (-want +got), %v:\n%s", err, diff)
	}
	if missing, err := s.handleChain(ctx, "", wire.ChainRequest{Shard: 0, Turn: "a"}); err != nil || missing.Found {
		t.Errorf("chain in another shard: %v, %v", missing, err)
	}

	// And a turn that goes on from one that isn't there is refused.
	next := *beginTurn("b").Begin
	next.Previous = "nothing"
	if got, err := s.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Shard: 1, Turn: next}); err != nil || got.Verdict != program.TurnNotFound {
		t.Errorf("begun without its chain: %v, %v", got, err)
	}
}

func TestTurnsOutlastARestart(t *testing.T) {
	disk := memorydisk.New()
	t.Run("before", func(t *testing.T) {
		s := newStore(t, disk)
		s.ApplyPlacement(4, alone(1))
		settle(t, s, 1, 4)
		if got, err := s.handleBeginTurn(testContext(t), "", wire.BeginTurnRequest{Turn: *beginTurn("a").Begin}); err != nil || got.Verdict != program.Accepted {
			t.Fatalf("begun: %v, %v", got, err)
		}
	})
	disk.LosePower(3)
	s := newStore(t, disk)
	s.ApplyPlacement(4, alone(1))
	settle(t, s, 1, 4)
	if got, err := s.handleEndTurn(testContext(t), "", wire.EndTurnRequest{Turn: *endTurn("a").End}); err != nil || got.Verdict != program.Accepted {
		t.Errorf("the end of a turn that was acknowledged: %v, %v", got, err)
	}
}

func TestShardsThatAreNotHeld(t *testing.T) {
	s := newStore(t, memorydisk.New())
	s.ApplyPlacement(4, view.Placement{Shards: []view.ShardPlacement{{Initial: []view.Replica{other}, Replicas: []view.Replica{other}}}})
	ctx := testContext(t)
	for _, shard := range []int{0, 1, -1} {
		_, begun := s.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Shard: shard, Turn: *beginTurn("a").Begin})
		_, ended := s.handleEndTurn(ctx, "", wire.EndTurnRequest{Shard: shard, Turn: *endTurn("a").End})
		_, found := s.handleChain(ctx, "", wire.ChainRequest{Shard: shard, Turn: "a"})
		for name, err := range map[string]error{"begin": begun, "end": ended, "chain": found} {
			var not *NotLeaderError
			if !errors.As(err, &not) || not.Leader != "" {
				t.Errorf("%s of shard %d: %v, want that it isn't its owner", name, shard, err)
			}
		}
	}
}

// TestErrorsNameTheOwner has a caller learn where to ask.
func TestErrorsNameTheOwner(t *testing.T) {
	s := newStore(t, memorydisk.New())
	tests := []struct {
		name string
		err  error
		want string
	}{
		{"another owner", &group.NotLeaderError{Leader: other.Address}, other.Address},
		{"no owner", &group.NotLeaderError{}, ""},
		{"this store, as it was", &group.NotLeaderError{Leader: self.Address}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var not *NotLeaderError
			if got := s.remoteError(test.err); !errors.As(got, &not) || not.Leader != test.want {
				t.Errorf("error %v, want that %q is the owner", got, test.want)
			}
		})
	}
	if got := s.remoteError(context.Canceled); !errors.Is(got, context.Canceled) {
		t.Errorf("error %v, want what it was", got)
	}
}

// TestOverTheLink asks a store as proxies and controllers do.
func TestOverTheLink(t *testing.T) {
	s := newStore(t, memorydisk.New())
	s.ApplyPlacement(4, alone(1))
	settle(t, s, 1, 4)
	handlers := transport.NewHandlers()
	s.Register(handlers)
	server, err := transport.Listen(freeAddress(t), handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	pool := transport.NewPool()
	defer pool.Close()
	ctx := testContext(t)
	got, err := transport.Call[wire.BeginTurnRequest, program.Result](ctx, pool, server.Address(), wire.MethodBeginTurn, wire.BeginTurnRequest{Turn: *beginTurn("a").Begin})
	if err != nil || got.Verdict != program.Accepted {
		t.Errorf("begun: %v, %v", got, err)
	}
	_, err = transport.Call[wire.BeginTurnRequest, program.Result](ctx, pool, server.Address(), wire.MethodBeginTurn, wire.BeginTurnRequest{Shard: 5, Turn: *beginTurn("b").Begin})
	var remote *transport.RemoteError
	if !errors.As(err, &remote) || remote.Kind != wire.KindNotLeader {
		t.Errorf("a shard that isn't held: %v", err)
	}
	answer, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, server.Address(), wire.MethodShardMembers, wire.ShardMembersRequest{})
	if err != nil || len(answer.Shards) != 1 {
		t.Fatalf("members: %v, %v", answer, err)
	}
	want := wire.ShardMembers{Term: answer.Shards[0].Term, Placement: 4, IDs: []string{self.ID}, CaughtUp: []string{self.ID}}
	if diff := cmp.Diff(want, answer.Shards[0]); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestOwnerFollowsTheNewestPlacement has placements come in any order.
func TestOwnerFollowsTheNewestPlacement(t *testing.T) {
	s := newStore(t, memorydisk.New())
	s.ApplyPlacement(4, alone(1))
	settle(t, s, 1, 4)
	wanted := alone(1)
	wanted.Shards[0].Replicas = []view.Replica{self, other}
	s.ApplyPlacement(9, wanted)
	s.ApplyPlacement(6, alone(1))

	// Then the group has begun to take the other store in, and an older placement doesn't change that.
	settle(t, s, 1, 9)
	running := s.shard(0)
	ctx := testContext(t)
	for !cmp.Equal(running.group.Status().Members, []replica.Member{{ID: self.ID, Address: self.Address}, {ID: other.ID, Address: other.Address, Learner: true}}) {
		if err := running.group.Read(ctx, func() {}); err != nil {
			t.Fatal(err)
		}
	}
	s.ApplyPlacement(8, alone(1))
	s.ApplyPlacement(9, wanted)
	if got := running.machine.placement.Load(); got != 9 {
		t.Errorf("follows placement %d, want 9", got)
	}
}

// TestReportsOfOthersAreSilent has a member that doesn't own its group tell nothing.
func TestReportsOfOthersAreSilent(t *testing.T) {
	s := newStore(t, memorydisk.New())
	both := []view.Replica{self, other}
	s.ApplyPlacement(4, view.Placement{Shards: []view.ShardPlacement{{Initial: both, Replicas: both}}})
	answer, err := s.handleShardMembers(testContext(t), "", wire.ShardMembersRequest{})
	if err != nil || len(answer.Shards) > 0 {
		t.Errorf("members: %v, %v", answer, err)
	}
}

// TestDamageIsReported has a group end for good.
func TestDamageIsReported(t *testing.T) {
	s := newStore(t, memorydisk.New())
	cause := errors.New("damage")
	s.reportFailure(cause)
	s.reportFailure(errors.New("another"))
	if got := <-s.Failures(); !errors.Is(got, cause) {
		t.Errorf("failed with %v, want %v", got, cause)
	}
}

func TestOtherSectionsAndBrokenOnesAreIgnored(t *testing.T) {
	s := newStore(t, memorydisk.New())
	s.ApplyUpdate(view.Update{Section: view.RolloutsSection, Body: encode(t, alone(1))})
	s.ApplyUpdate(view.Update{Section: view.PlacementSection, Body: []byte(`{"shards":7}`)})
	s.Deliver(group.Envelope{Group: "shard-"})
	s.Deliver(group.Envelope{Group: "shard-x"})
	s.Deliver(group.Envelope{Group: "shard-3"})
	s.Deliver(group.Envelope{Group: "configuration"})
	if len(s.running()) > 0 {
		t.Error("a shard was opened")
	}
}
