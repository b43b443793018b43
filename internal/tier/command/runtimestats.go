package command

import (
	"context"
	"runtime/metrics"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/wait"
)

// runtimeStatsInterval is the interval at which a process logs its resource use.
const runtimeStatsInterval = 5 * time.Second

// Names of the metrics in runtime/metrics.
const (
	heapLive       = "/gc/heap/live:bytes"
	heapObjects    = "/memory/classes/heap/objects:bytes"
	mappedMemory   = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
	collectorTime  = "/cpu/classes/gc/total:cpu-seconds"
	allTime        = "/cpu/classes/total:cpu-seconds"
	idleTime       = "/cpu/classes/idle:cpu-seconds"
)

// logRuntimeStats logs the process's memory and CPU time, and the fields that add returns, at each interval until ctx ends.
func logRuntimeStats(ctx context.Context, logger log.Logger, add func() []any) {
	wait.Every(ctx, runtimeStatsInterval, func() {
		level.Info(logger).Log(append(append([]any{"msg", "vitals"}, runtimeStats()...), add()...)...)
	})
}

// usedMemory returns the bytes that the runtime has obtained from the system and not returned.
func usedMemory() int64 {
	samples := []metrics.Sample{{Name: mappedMemory}, {Name: releasedMemory}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// runtimeStats returns log fields: memory in KiB, and the CPU seconds of the garbage collector and of the whole process since the start.
func runtimeStats() []any {
	samples := []metrics.Sample{{Name: heapLive}, {Name: heapObjects}, {Name: mappedMemory}, {Name: releasedMemory}, {Name: collectorTime},
		{Name: allTime}, {Name: idleTime}}
	metrics.Read(samples)
	kilobytes := func(i int) uint64 { return samples[i].Value.Uint64() >> 10 }
	return []any{"liveKB", kilobytes(0), "heapKB", kilobytes(1), "memoryKB", kilobytes(2) - kilobytes(3),
		"collectorS", samples[4].Value.Float64(), "busyS", samples[5].Value.Float64() - samples[6].Value.Float64()}
}
