package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// waitTimeout bounds every wait in tests; only a failing test reaches it.
const waitTimeout = 10 * time.Second

var (
	self  = view.Replica{ID: "self", Node: "storage-1", Address: "10.0.0.1:7002", Zone: "a"}
	other = view.Replica{ID: "other", Node: "storage-2", Address: "10.0.0.2:7002", Zone: "b"}
)

// selfPlacement returns a placement of shards whose only replica is on the store self.
func selfPlacement(shards int) view.Placement {
	var placed view.Placement
	for range shards {
		placed.Shards = append(placed.Shards, view.ShardPlacement{Initial: []view.Replica{self}, Replicas: []view.Replica{self}})
	}
	return placed
}

// newStore returns the store self, whose messages to other stores are lost.
func newStore(t testing.TB, disk *memorydisk.Disk) *Store {
	t.Helper()
	return New(t.Context(), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Now: time.Now, Send: func(string, group.Envelope) {}})
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// awaitPlacement waits until the store leads the given number of groups that follow a placement.
func awaitPlacement(t testing.TB, s *Store, shards int, index uint64) {
	t.Helper()
	ctx := testContext(t)
	for {
		answer, err := s.handleShardMembers(ctx, "", wire.ShardMembersRequest{})
		if err != nil {
			t.Fatal(err)
		}
		following := 0
		for _, members := range answer.Shards {
			if members.Placement == index {
				following++
			}
		}
		if following == shards {
			return
		}
	}
}

func TestStore_Turns(t *testing.T) {
	store := newStore(t, memorydisk.New())
	store.ApplyUpdate(view.Update{Section: view.PlacementSection, Stamp: view.Stamp{Sequence: 4}, Body: encode(t, selfPlacement(2))})
	awaitPlacement(t, store, 2, 4)
	ctx := testContext(t)

	// Given a turn that has begun and ended.
	began, err := store.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Shard: 1, Turn: *beginTurn("a").Begin})
	if err != nil || began.Verdict != program.Accepted {
		t.Fatalf("begin of the turn: %v, %v; want it accepted", began, err)
	}
	ended, err := store.handleEndTurn(ctx, "", wire.EndTurnRequest{Shard: 1, Turn: *endTurn("a").End})
	if err != nil || ended.Verdict != program.Accepted {
		t.Fatalf("end of the turn: %v, %v; want it accepted", ended, err)
	}

	// Then its chain is found in its shard and not in another one.
	found, err := store.handleChain(ctx, "", wire.ChainRequest{Shard: 1, Turn: "a"})
	if diff := cmp.Diff(wire.ChainResponse{Found: true, Chain: []byte("input of aoutput")}, found); diff != "" || err != nil {
		t.Errorf("chain (-want +got), %v:\n%s", err, diff)
	}
	if missing, err := store.handleChain(ctx, "", wire.ChainRequest{Shard: 0, Turn: "a"}); err != nil || missing.Found {
		t.Errorf("chain in another shard: %v, %v; want it not found", missing, err)
	}

	// And a turn whose previous turn does not exist is rejected.
	next := *beginTurn("b").Begin
	next.Previous = "nothing"
	if got, err := store.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Shard: 1, Turn: next}); err != nil || got.Verdict != program.TurnNotFound {
		t.Errorf("begin of a turn without its previous turn: %v, %v; want TurnNotFound", got, err)
	}
}

func TestStore_Restarts_KeepsTurns(t *testing.T) {
	disk := memorydisk.New()
	t.Run("before", func(t *testing.T) {
		store := newStore(t, disk)
		store.ApplyPlacement(4, selfPlacement(1))
		awaitPlacement(t, store, 1, 4)
		if got, err := store.handleBeginTurn(testContext(t), "", wire.BeginTurnRequest{Turn: *beginTurn("a").Begin}); err != nil || got.Verdict != program.Accepted {
			t.Fatalf("begin of the turn: %v, %v; want it accepted", got, err)
		}
	})
	disk.LosePower(3)
	store := newStore(t, disk)
	store.ApplyPlacement(4, selfPlacement(1))
	awaitPlacement(t, store, 1, 4)
	if got, err := store.handleEndTurn(testContext(t), "", wire.EndTurnRequest{Turn: *endTurn("a").End}); err != nil || got.Verdict != program.Accepted {
		t.Errorf("end of a turn that began before the restart: %v, %v; want it accepted", got, err)
	}
}

func TestStore_ShardNotPlacedHere_RejectsCalls(t *testing.T) {
	store := newStore(t, memorydisk.New())
	store.ApplyPlacement(4, view.Placement{Shards: []view.ShardPlacement{{Initial: []view.Replica{other}, Replicas: []view.Replica{other}}}})
	ctx := testContext(t)
	for _, shard := range []int{0, 1, -1} {
		_, beginErr := store.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Shard: shard, Turn: *beginTurn("a").Begin})
		_, endErr := store.handleEndTurn(ctx, "", wire.EndTurnRequest{Shard: shard, Turn: *endTurn("a").End})
		_, chainErr := store.handleChain(ctx, "", wire.ChainRequest{Shard: shard, Turn: "a"})
		for name, err := range map[string]error{"begin": beginErr, "end": endErr, "chain": chainErr} {
			var notLeader *NotLeaderError
			if !errors.As(err, &notLeader) || notLeader.Leader != "" {
				t.Errorf("%s of shard %d: %v, want a NotLeaderError without a leader", name, shard, err)
			}
		}
	}
}

// TestStore_NotLeader_ErrorNamesLeader checks that a caller learns the leader.
func TestStore_NotLeader_ErrorNamesLeader(t *testing.T) {
	store := newStore(t, memorydisk.New())
	tests := []struct {
		name string
		err  error
		want string
	}{
		{"another leader", &group.NotLeaderError{Leader: other.Address}, other.Address},
		{"no leader", &group.NotLeaderError{}, ""},
		{"this store as the former leader", &group.NotLeaderError{Leader: self.Address}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var notLeader *NotLeaderError
			if got := store.remoteError(test.err); !errors.As(got, &notLeader) || notLeader.Leader != test.want {
				t.Errorf("error %v, want a NotLeaderError with leader %q", got, test.want)
			}
		})
	}
	if got := store.remoteError(context.Canceled); !errors.Is(got, context.Canceled) {
		t.Errorf("error %v, want context.Canceled unchanged", got)
	}
}

// TestStore_OverTransport calls a store as proxies and controllers do.
func TestStore_OverTransport(t *testing.T) {
	store := newStore(t, memorydisk.New())
	store.ApplyPlacement(4, selfPlacement(1))
	awaitPlacement(t, store, 1, 4)
	handlers := transport.NewHandlers()
	store.Register(handlers)
	server, err := transport.Listen("127.0.0.1:0", handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	pool := transport.NewPool()
	defer pool.Close()
	ctx := testContext(t)
	got, err := transport.Call[wire.BeginTurnRequest, program.Result](ctx, pool, server.Address(), wire.MethodBeginTurn, wire.BeginTurnRequest{Turn: *beginTurn("a").Begin})
	if err != nil || got.Verdict != program.Accepted {
		t.Errorf("begin of the turn: %v, %v; want it accepted", got, err)
	}
	_, err = transport.Call[wire.BeginTurnRequest, program.Result](ctx, pool, server.Address(), wire.MethodBeginTurn, wire.BeginTurnRequest{Shard: 5, Turn: *beginTurn("b").Begin})
	var remote *transport.RemoteError
	if !errors.As(err, &remote) || remote.Kind != wire.KindNotLeader {
		t.Errorf("error %v for a shard that does not run on the store, want KindNotLeader", err)
	}
	answer, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, server.Address(), wire.MethodShardMembers, wire.ShardMembersRequest{})
	if err != nil || len(answer.Shards) != 1 {
		t.Fatalf("members: %v, %v; want those of one shard", answer, err)
	}
	want := wire.ShardMembers{Term: answer.Shards[0].Term, Placement: 4, IDs: []string{self.ID}, CaughtUp: []string{self.ID}}
	if diff := cmp.Diff(want, answer.Shards[0]); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}

// TestLeader_FollowsNewestPlacement applies placements in any order.
func TestLeader_FollowsNewestPlacement(t *testing.T) {
	store := newStore(t, memorydisk.New())
	store.ApplyPlacement(4, selfPlacement(1))
	awaitPlacement(t, store, 1, 4)
	target := selfPlacement(1)
	target.Shards[0].Replicas = []view.Replica{self, other}
	store.ApplyPlacement(9, target)
	store.ApplyPlacement(6, selfPlacement(1))

	// Then the group adds the other store, and an older placement does not change that.
	awaitPlacement(t, store, 1, 9)
	running := store.shard(0)
	ctx := testContext(t)
	for !cmp.Equal(running.group.Status().Members, []replica.Member{{ID: self.ID, Address: self.Address}, {ID: other.ID, Address: other.Address, Learner: true}}) {
		if err := running.group.Read(ctx, func() {}); err != nil {
			t.Fatal(err)
		}
	}
	store.ApplyPlacement(8, selfPlacement(1))
	store.ApplyPlacement(9, target)
	if got := running.machine.placement.Load(); got != 9 {
		t.Errorf("follows placement %d, want 9", got)
	}
}

// TestReportMembers_NotLeader_IsEmpty checks that a store that leads no group reports no members.
func TestReportMembers_NotLeader_IsEmpty(t *testing.T) {
	store := newStore(t, memorydisk.New())
	both := []view.Replica{self, other}
	store.ApplyPlacement(4, view.Placement{Shards: []view.ShardPlacement{{Initial: both, Replicas: both}}})
	answer, err := store.handleShardMembers(testContext(t), "", wire.ShardMembersRequest{})
	if err != nil || len(answer.Shards) > 0 {
		t.Errorf("members: %v, %v; want none", answer, err)
	}
}

// TestStore_GroupFails_ReportsFailure checks that the first error of a group is kept.
func TestStore_GroupFails_ReportsFailure(t *testing.T) {
	store := newStore(t, memorydisk.New())
	cause := errors.New("damage")
	store.groups.reportFailure(cause)
	store.groups.reportFailure(errors.New("another"))
	if got := <-store.Failures(); !errors.Is(got, cause) {
		t.Errorf("reported failure %v, want the first one, %v", got, cause)
	}
}

// TestStore_GroupEndsByItself_SaysSoAndDeliversTheError makes a group end because its disk reports damage while it runs.
func TestStore_GroupEndsByItself_SaysSoAndDeliversTheError(t *testing.T) {
	disk := memorydisk.New()
	lines := make(chan string, 100)
	store := New(t.Context(), Options{ID: self.ID, Address: self.Address, Disk: disk, Seed: 1, Now: time.Now, Send: func(string, group.Envelope) {},
		Logger: log.LoggerFunc(func(pairs ...any) error {
			lines <- fmt.Sprint(pairs...)
			return nil
		})})
	store.ApplyPlacement(5, selfPlacement(1))
	awaitPlacement(t, store, 1, 5)
	damaged := &storage.CorruptError{File: "shard-0.log-1", Reason: "test"}
	disk.InjectFaults(func(memorydisk.Operation, string) error { return damaged })
	store.shard(0).group.ProposeAsync(command{}, func(any, error) {})
	select {
	case err := <-store.Failures():
		if !errors.Is(err, storage.ErrCorrupt) {
			t.Errorf("reported failure %v, want ErrCorrupt", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the failure was not delivered within waitTimeout")
	}
	for line := range lines {
		if strings.Contains(line, "replica ended") {
			return
		}
	}
}

func TestApplyUpdate_OtherSectionOrMalformed_IsIgnored(t *testing.T) {
	store := newStore(t, memorydisk.New())
	store.ApplyUpdate(view.Update{Section: view.RolloutsSection, Body: encode(t, selfPlacement(1))})
	store.ApplyUpdate(view.Update{Section: view.PlacementSection, Body: []byte(`{"shards":7}`)})
	store.Deliver(group.Envelope{Group: "shard-"})
	store.Deliver(group.Envelope{Group: "shard-x"})
	store.Deliver(group.Envelope{Group: "shard-3"})
	store.Deliver(group.Envelope{Group: "configuration"})
	if len(store.running()) > 0 {
		t.Error("a shard was opened")
	}
}

func TestBeginTurn_StoreNearLimit_OnlyNewProgramsAreRejected(t *testing.T) {
	// Given a store that leads a shard with a program in progress and is short of memory,
	s := newStore(t, memorydisk.New())
	s.ApplyPlacement(5, selfPlacement(1))
	awaitPlacement(t, s, 1, 5)
	begin := func(turn program.BeginTurn) program.Verdict {
		t.Helper()
		answer, err := s.handleBeginTurn(testContext(t), "", wire.BeginTurnRequest{Turn: turn})
		if err != nil {
			t.Fatal(err)
		}
		return answer.Result.Verdict
	}
	begin(program.BeginTurn{Turn: "1", Program: "p", Remembered: true, KeepForS: 60})
	if _, err := s.handleEndTurn(testContext(t), "", wire.EndTurnRequest{Turn: program.EndTurn{Turn: "1", Complete: true}}); err != nil {
		t.Fatal(err)
	}
	degree := Near
	s.options.Fullness = func() Fullness { return degree }
	// when turns begin, then only turns that begin a program whose contents are kept are rejected.
	for _, tc := range []struct {
		name string
		turn program.BeginTurn
		want program.Verdict
	}{
		{"a new program", program.BeginTurn{Turn: "n", Program: "q", Remembered: true}, program.StorageFull},
		{"the next turn of a program", program.BeginTurn{Turn: "2", Program: "p", Remembered: true, Previous: "1"}, program.Accepted},
		{"a turn whose contents are not kept", program.BeginTurn{Turn: "3", Program: "r"}, program.Accepted},
	} {
		if got := begin(tc.turn); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
	// And once there is enough memory again, the new program is accepted.
	degree = Roomy
	if got := begin(program.BeginTurn{Turn: "n", Program: "q", Remembered: true}); got != program.Accepted {
		t.Errorf("new program with enough memory: %s, want it accepted", got)
	}
}
