package command

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/wait"
)

// memoryReportInterval is the interval at which a process logs what its memory budget has refused.
const memoryReportInterval = time.Second

// startMemoryReports logs, in a goroutine, each interval in which reservations of the memory budget waited or were refused, or leases were
// revoked. stop ends the goroutine and waits for it.
func (p *process) startMemoryReports() (stop func()) {
	if p.memory == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		before := map[memorybudget.Class]memorybudget.Counts{}
		wait.Every(ctx, memoryReportInterval, func() { p.reportMemory(before) })
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// reportMemory logs the classes whose counts have changed since they were stored in before.
func (p *process) reportMemory(before map[memorybudget.Class]memorybudget.Counts) {
	for _, class := range memorybudget.Classes() {
		now, last := p.memory.Counts(class), before[class]
		before[class] = now
		waited, refused, revoked := now.Waited-last.Waited, now.Refused-last.Refused, now.Revoked-last.Revoked
		if waited+refused+revoked == 0 {
			continue
		}
		level.Warn(p.logger).Log("msg", "memory budget exhausted", "class", class, "usedKB", now.Used>>10, "limitKB", p.memory.Limit()>>10,
			"waited", waited, "refused", refused, "revoked", revoked)
	}
}
