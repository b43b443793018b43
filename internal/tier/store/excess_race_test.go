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

// haste is by how much the pauses of stores are shorter than they are.
const haste = 20

// moves is how often a replica of each shard moves; longestStay bounds the time in between.
const (
	moves       = 20
	longestStay = 300 * time.Millisecond
)

// newStores are stores that reach each other in memory, with goroutines of their own.
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
			AfterFunc: func(delay time.Duration, run func()) { time.AfterFunc(delay/haste, run) },
			QueryMembers: func(address string, done func(wire.ShardMembersResponse, error)) {
				go find(address).ReportMembers(func(answer wire.ShardMembersResponse) { done(answer, nil) })
			}})
		mutex.Lock()
		stores[r.Address] = made
		mutex.Unlock()
	}
	return stores
}

// fleet is some stores and where their shards are to be.
type fleet struct {
	t      *testing.T
	all    []view.Replica
	stores map[string]*Store
	random *rand.Rand
	index  uint64
	shards []view.ShardPlacement
}

// setPlacement tells all stores of the placement, each in its own time.
func (f *fleet) place() {
	f.index++
	index, shards := f.index, slices.Clone(f.shards)
	for _, s := range f.stores {
		go s.ApplyPlacement(index, view.Placement{Shards: shards})
	}
}

// move puts another store in the place of one of a shard's.
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

// until asks each store in turn until one does what is wanted.
func (f *fleet) until(what string, holds func(s *Store) bool) {
	f.t.Helper()
	for began := time.Now(); time.Since(began) < patience; time.Sleep(2 * time.Millisecond) {
		for _, s := range f.stores {
			if holds(s) {
				return
			}
		}
	}
	f.t.Errorf("%s: not within %v", what, patience)
}

// takeTurn has a turn begun and ended.
func (f *fleet) takeTurn(shard int, name string) {
	f.until(name+" is taken", func(s *Store) bool {
		began, err := s.handleBeginTurn(testContext(f.t), "", wire.BeginTurnRequest{Shard: shard, Turn: *beginTurn(name).Begin})
		if err != nil || began.Verdict != program.Accepted {
			return false
		}
		ended, err := s.handleEndTurn(testContext(f.t), "", wire.EndTurnRequest{Shard: shard, Turn: *endTurn(name).End})
		return err == nil && ended.Verdict == program.Accepted
	})
}

// held counts the replicas that run.
func (f *fleet) held() int {
	sum := 0
	for _, s := range f.stores {
		count, _ := s.Stats()
		sum += count
	}
	return sum
}

// TestReplicasComeAndGoWhileTurnsAreTaken has shards move among stores, back and forth, faster than replicas stop.
func TestReplicasComeAndGoWhileTurnsAreTaken(t *testing.T) {
	// Given stores that hold two shards,
	var all []view.Replica
	for i := range 5 {
		all = append(all, view.Replica{ID: fmt.Sprint("id-", i), Node: fmt.Sprint("storage-", i), Address: fmt.Sprint("a", i)})
	}
	f := &fleet{t: t, all: all, stores: newStores(t, all), random: rand.New(rand.NewPCG(1, 2)),
		shards: []view.ShardPlacement{{Initial: all[:3], Replicas: all[:3]}, {Initial: all[2:], Replicas: all[2:]}}}
	f.place()
	// when their replicas move while turns are taken,
	turns := map[string]int{}
	for move := range moves {
		for shard := range f.shards {
			name := fmt.Sprint("turn-", move, "-", shard)
			f.takeTurn(shard, name)
			turns[name] = shard
			f.move(shard)
		}
		f.place()
		time.Sleep(time.Duration(f.random.Int64N(int64(longestStay))))
	}
	// then no store holds more in the end than it is to hold, and every turn is there.
	f.until("only what is placed is held", func(*Store) bool { return f.held() == 6 })
	for name, shard := range turns {
		f.until(name+" is found", func(s *Store) bool {
			answer, err := s.handleChain(testContext(t), "", wire.ChainRequest{Shard: shard, Turn: name})
			return err == nil && answer.Found
		})
	}
}
