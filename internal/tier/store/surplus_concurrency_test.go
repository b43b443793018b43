package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// speedup divides the delays of stores.
const speedup = 20

// moves is the number of moves of a replica per shard; maxStay bounds the time between them.
const (
	moves   = 20
	maxStay = 300 * time.Millisecond
)

// newStores returns stores by address, which run their groups in goroutines and call each other directly.
func newStores(t *testing.T, replicas []view.Replica) map[string]*Store {
	stores := map[string]*Store{}
	var mutex sync.Mutex
	find := func(address string) *Store {
		mutex.Lock()
		defer mutex.Unlock()
		return stores[address]
	}
	for i, r := range replicas {
		made := New(t.Context(), Options{ID: r.ID, Address: r.Address, Disk: memorydisk.New(), Logger: log.NewNopLogger(), Seed: uint64(i + 1), Now: time.Now,
			Send:      func(address string, envelope group.Envelope) { find(address).Deliver(envelope) },
			AfterFunc: func(delay time.Duration, run func()) { time.AfterFunc(delay/speedup, run) },
			QueryMembers: func(address string, done func(wire.ShardMembersResponse, error)) {
				go find(address).ReportMembers(func(answer wire.ShardMembersResponse) { done(answer, nil) })
			}})
		mutex.Lock()
		stores[r.Address] = made
		mutex.Unlock()
	}
	return stores
}

// fleet holds stores and the placement of their shards.
type fleet struct {
	t      *testing.T
	all    []view.Replica
	stores map[string]*Store
	random *rand.Rand
	index  uint64
	shards []view.ShardPlacement
}

// place applies the placement at all stores concurrently.
func (f *fleet) place() {
	f.index++
	index, shards := f.index, slices.Clone(f.shards)
	for _, s := range f.stores {
		go s.ApplyPlacement(index, view.Placement{Shards: shards})
	}
}

// move replaces one replica of a shard by one on another store.
func (f *fleet) move(shard int) {
	next := slices.Clone(f.shards[shard].Replicas)
	for _, k := range f.random.Perm(len(f.all)) {
		if !contains(next, f.all[k].ID) {
			next[f.random.IntN(len(next))] = f.all[k]
			break
		}
	}
	f.shards[shard].Replicas = next
}

// until polls the stores until the condition holds for one.
func (f *fleet) until(what string, condition func(s *Store) bool) {
	f.t.Helper()
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(2 * time.Millisecond) {
		for _, s := range f.stores {
			if condition(s) {
				return
			}
		}
	}
	f.t.Errorf("condition %q was not met within %v", what, waitTimeout)
}

// runTurn begins and ends a turn.
func (f *fleet) runTurn(shard int, name string) {
	f.until(name+" is accepted", func(s *Store) bool {
		began, err := s.handleBeginTurn(testContext(f.t), "", wire.BeginTurnRequest{Shard: shard, Turn: *beginTurn(name).Begin})
		if err != nil || began.Verdict != program.Accepted {
			return false
		}
		ended, err := s.handleEndTurn(testContext(f.t), "", wire.EndTurnRequest{Shard: shard, Turn: *endTurn(name).End})
		return err == nil && ended.Verdict == program.Accepted
	})
}

// replicas counts the running replicas of all stores.
func (f *fleet) replicas() int {
	sum := 0
	for _, s := range f.stores {
		count, _ := s.Stats()
		sum += count
	}
	return sum
}

// TestSurplus_ReplicasMoveUnderLoad_AreRemoved moves replicas back and forth among stores faster than they stop.
func TestSurplus_ReplicasMoveUnderLoad_AreRemoved(t *testing.T) {
	// Given stores with two shards,
	var all []view.Replica
	for i := range 5 {
		all = append(all, view.Replica{ID: fmt.Sprint("id-", i), Node: fmt.Sprint("storage-", i), Address: fmt.Sprint("a", i)})
	}
	f := &fleet{t: t, all: all, stores: newStores(t, all), random: rand.New(rand.NewPCG(1, 2)),
		shards: []view.ShardPlacement{{Initial: all[:3], Replicas: all[:3]}, {Initial: all[2:], Replicas: all[2:]}}}
	f.place()
	// when their replicas move while turns begin and end,
	turns := map[string]int{}
	for move := range moves {
		for shard := range f.shards {
			name := fmt.Sprint("turn-", move, "-", shard)
			f.runTurn(shard, name)
			turns[name] = shard
			f.move(shard)
		}
		f.place()
		time.Sleep(time.Duration(f.random.Int64N(int64(maxStay))))
	}
	// then finally only the replicas placed are running, and no turn is lost.
	f.until("only the replicas placed run", func(*Store) bool { return f.replicas() == 6 })
	for name, shard := range turns {
		f.until(name+" is found", func(s *Store) bool {
			answer, err := s.handleChain(testContext(t), "", wire.ChainRequest{Shard: shard, Turn: name})
			return err == nil && answer.Found
		})
	}
}
