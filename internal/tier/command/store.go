package command

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// queueBudgetDivisor bounds the messages and commands queued for a store's groups: the memory limit divided by it.
const queueBudgetDivisor = 10

// runStore runs the role until ctx ends, and then until its groups have other leaders; or until a group can't continue, without waiting
// for the others, as the process then ends.
func (p *process) runStore(ctx context.Context) error {
	address := p.address(wire.StorePort)
	disk, id, err := p.openDisk(ctx, address)
	if err != nil {
		return err
	}
	groups := newGroupRunner(ctx)
	began := time.Now()
	limits := newLimitMonitor(p.settings.Limits, p.logger)
	shards := store.New(ctx, p.storeOptions(id, address, disk, groups, limits))
	member := p.newNode(p.member(membership.Store, id, address), shards.ApplyUpdate)
	handlers := transport.NewHandlers()
	shards.Register(handlers)
	member.Register(handlers)
	server, err := p.listen(ctx, address, handlers)
	if err != nil {
		return err
	}
	defer server.Close()
	// Each shard takes part as soon as it is open. The store joins, and so learns the placement, once all are: one that can't
	// read its disk, or ends over it repeatedly, must be replaced.
	if err := p.retryStart(ctx, "shards on the disk", shards.Recover); err != nil {
		return err
	}
	p.useDiskSeeds(member, shards.MemberAddresses())
	leave := p.join(ctx, member, server)
	defer leave()
	stats := func() []any { return storeStats(shards) }
	level.Info(p.logger).Log(append([]any{"msg", "shards recovered", "took", time.Since(began)}, stats()...)...)
	go logRuntimeStats(ctx, p.logger, stats)
	go limits.run(ctx, shards)
	select {
	case err := <-groups.failed:
		return err
	case <-ctx.Done():
		groups.wait()
		return nil
	}
}

// storeOptions returns the options of the store.
func (p *process) storeOptions(id, address string, disk storage.Disk, groups *groupRunner, limits *limitMonitor) store.Options {
	return store.Options{
		ID:               id,
		Address:          address,
		Disk:             disk,
		Pool:             p.pool,
		Logger:           p.logger,
		Seed:             p.seed,
		Now:              p.env.Now,
		QueueBudgetBytes: int(p.settings.Limits.MemoryMb << 20 / queueBudgetDivisor),
		RunGroup:         groups.run,
		RunBackground:    runBackground,
		IsNearLimit:      limits.isNear,
		Invariants:       p.invariants,
	}
}

// storeStats returns the log fields of a store's replicas.
func storeStats(shards *store.Store) []any {
	count, stats := shards.Stats()
	return []any{"shards", count, "stateKB", stats.StateBytes >> 10, "snapshotKB", stats.SnapshotBytes >> 10, "logKB", stats.LogBytes >> 10,
		"entries", stats.Entries}
}
