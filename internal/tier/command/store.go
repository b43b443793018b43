package command

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// waitingShare is the part of the memory that messages and commands may take that wait for the turns of a store's shards.
const waitingShare = 10

// runStore runs the role until ctx ends, and then until its groups have other owners; or until one of them can't go on.
func (p *process) runStore(ctx context.Context) error {
	address := p.address(wire.StorePort)
	disk, id, err := p.openDisk(ctx, address)
	if err != nil {
		return err
	}
	groups := newReplicas(ctx)
	began := time.Now()
	shards := store.New(ctx, store.Options{ID: id, Address: address, Disk: disk, Pool: p.pool, Logger: p.logger, Seed: p.seed, Now: p.around.TimeOfDay,
		QueueBudgetBytes: int(p.settings.Limits.MemoryMb << 20 / waitingShare),
		RunGroup:         groups.run, Invariants: p.checks})
	member := p.newNode(p.member(membership.Store, id, address), shards.ApplyUpdate)
	handlers := transport.NewHandlers()
	shards.Register(handlers)
	member.Register(handlers)
	server, err := p.listen(ctx, address, handlers)
	if err != nil {
		return err
	}
	defer server.Close()
	// Each shard takes part as soon as it is open. The store counts as running, and is told the placement, once all are: one that
	// can't read its disk, or ends over it again and again, is replaced.
	if err := p.persist(ctx, "shards on the disk", shards.Recover); err != nil {
		return err
	}
	leave := p.join(ctx, member, server)
	defer leave()
	logStoreVitals := func() []any {
		count, held := shards.Stats()
		return []any{"shards", count, "stateKB", held.StateBytes >> 10, "snapshotKB", held.SnapshotBytes >> 10, "logKB", held.LogBytes >> 10,
			"entries", held.Entries}
	}
	level.Info(p.logger).Log(append([]any{"msg", "shards recovered", "took", time.Since(began)}, logStoreVitals()...)...)
	go logVitals(ctx, p.logger, logStoreVitals)
	select {
	case err := <-groups.failed:
		return err
	case <-ctx.Done():
		groups.wait()
		return nil
	}
}

// replicas runs the groups of a store.
type replicas struct {
	ctx    context.Context
	failed chan error // holds the first error of a group that can't go on

	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

func newReplicas(ctx context.Context) *replicas {
	return &replicas{ctx: ctx, failed: make(chan error, 1)}
}

// run drives a group in a goroutine of its own.
func (r *replicas) run(opened *group.Group) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		if err := opened.Run(r.ctx); err != nil {
			select {
			case r.failed <- err:
			default:
			}
		}
	}()
}

// wait returns once all groups have ended; no other begins.
func (r *replicas) wait() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.running.Wait()
}
