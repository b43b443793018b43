package command

import (
	"context"
	"runtime/metrics"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/wait"
)

// runtimeStatsInterval is the interval at which a process logs its use of resources.
const runtimeStatsInterval = 5 * time.Second

// Names of the runtime's metrics.
const (
	heapLive       = "/gc/heap/live:bytes"
	heapObjects    = "/memory/classes/heap/objects:bytes"
	mappedMemory   = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
	collectorTime  = "/cpu/classes/gc/total:cpu-seconds"
	allTime        = "/cpu/classes/total:cpu-seconds"
	idleTime       = "/cpu/classes/idle:cpu-seconds"
)

// logRuntimeStats logs the process's memory and CPU time at each interval, with the fields that the role adds, until ctx ends. Nothing
// waits for it.
func logRuntimeStats(ctx context.Context, logger log.Logger, add func() []any) {
	wait.Every(ctx, runtimeStatsInterval, func() {
		level.Info(logger).Log(append(append([]any{"msg", "vitals"}, runtimeStats()...), add()...)...)
	})
}

// usedMemory returns the bytes that the runtime has from the system, without those that it has returned.
func usedMemory() int64 {
	samples := []metrics.Sample{{Name: mappedMemory}, {Name: releasedMemory}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// runtimeStats returns fields for memory in KiB, and for the collector's and all CPU time since the start in s.
func runtimeStats() []any {
	samples := []metrics.Sample{{Name: heapLive}, {Name: heapObjects}, {Name: mappedMemory}, {Name: releasedMemory}, {Name: collectorTime},
		{Name: allTime}, {Name: idleTime}}
	metrics.Read(samples)
	kilobytes := func(i int) uint64 { return samples[i].Value.Uint64() >> 10 }
	return []any{"liveKB", kilobytes(0), "heapKB", kilobytes(1), "memoryKB", kilobytes(2) - kilobytes(3),
		"collectorS", samples[4].Value.Float64(), "busyS", samples[5].Value.Float64() - samples[6].Value.Float64()}
}
