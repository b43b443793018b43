package command

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// queueBudgetDivisor is the divisor by which the bound of a store's queued messages and commands follows from the memory limit.
const queueBudgetDivisor = 10

// runBackground runs a group's compaction writes in a goroutine. The group waits for them when it ends.
func runBackground(work func()) { go work() }

// runStore runs the role until ctx ends or a group can't continue, and then until its groups have other leaders.
func (p *process) runStore(ctx context.Context) error {
	address := p.address(wire.StorePort)
	disk, id, err := p.openDisk(ctx, address)
	if err != nil {
		return err
	}
	running, end := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer end()
	began := time.Now()
	limits := newLimitMonitor(p.settings.Limits, p.logger)
	shards := store.New(running, p.storeOptions(id, address, disk, limits))
	background.Go(func() { limits.run(running, shards) })
	background.Go(func() { shards.RunExpiry(running) })
	stopGroups := func() {
		end()
		shards.Wait()
	}
	member := p.newNode(p.member(membership.Store, id, address), shards.ApplyUpdate)
	handlers := transport.NewHandlers()
	shards.Register(handlers)
	member.Register(handlers)
	server, err := p.listen(ctx, address, handlers)
	if err != nil {
		return err
	}
	defer server.Close()
	defer stopGroups() // hands leadership over to other stores, for which the groups need the server
	// Each shard runs as soon as it is open. The store joins the membership, and so receives the placement, only once all are open: a store
	// that can't read its disk, or crashes repeatedly while reading it, must be replaced.
	if err = p.retryStart(ctx, "shards on the disk", shards.Recover); err != nil {
		return err
	}
	p.useDiskSeeds(member, shards.MemberAddresses())
	leave := p.join(ctx, member, server)
	defer leave()
	stats := func() []any { return storeStats(shards) }
	level.Info(p.logger).Log(append([]any{"msg", "shards recovered", "took", time.Since(began)}, stats()...)...)
	background.Go(func() { logRuntimeStats(running, p.logger, stats) })
	select {
	case err = <-shards.Failures():
	case <-ctx.Done():
	}
	stopGroups()
	return err
}

// storeOptions returns the options of the store.
func (p *process) storeOptions(id, address string, disk storage.Disk, limits *limitMonitor) store.Options {
	return store.Options{
		ID:               id,
		Address:          address,
		Disk:             disk,
		Pool:             p.pool,
		Logger:           p.logger,
		Seed:             p.seed,
		Now:              p.env.Now,
		QueueBudgetBytes: int(p.settings.Limits.MemoryMb << 20 / queueBudgetDivisor),
		RunBackground:    runBackground,
		Fullness:         limits.fullness,

		MaxInputContents:  limits.contentsLimit(store.ShortOfBulk),
		MaxOutputContents: limits.contentsLimit(store.OutOfBulk),

		Memory:     p.memory,
		Invariants: p.invariants,
	}
}

// storeStats returns log fields about a store's replicas.
func storeStats(shards *store.Store) []any {
	count, stats := shards.Stats()
	return []any{"shards", count, "stateKB", stats.StateBytes >> 10, "snapshotKB", stats.SnapshotBytes >> 10, "logKB", stats.LogBytes >> 10,
		"entries", stats.Entries}
}
