package store

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// BenchmarkCompaction_LongestIteration reports the longest iteration, in ms, of a shard's only replica around a compaction of a state
// of the given size, on the disk of the test's folder. The state is written either within the iteration or in the background.
func BenchmarkCompaction_LongestIteration(b *testing.B) {
	for _, megabytes := range []int{5, 40, 200} {
		for name, run := range map[string]func(work func()){"within": nil, "beside": func(work func()) { go work() }} {
			b.Run(fmt.Sprintf("%d MB/%s", megabytes, name), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(longestIteration(b, megabytes<<20, run).Seconds()*1e3, "longest-ms")
				}
			})
		}
	}
}

// longestIteration fills a replica with a state, and returns its longest iteration while it compacts the state and commits further
// commands.
func longestIteration(b *testing.B, stateBytes int, run func(work func())) time.Duration {
	b.Helper()
	disk, err := storage.OpenOSDisk(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	own := replica.Member{ID: "a", Address: "a:1"}
	shard := newMachine()
	const turnBytes = 4000
	opened, err := group.Open(group.Options{Name: "shard-0", Disk: disk, StateMachine: shard, Logger: log.NewNopLogger(), CompactionBytes: 64 << 10,
		Send: func(string, group.Envelope) {}, RunBackground: run,
		Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{own},
			HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, Seed: 1}})
	if err != nil {
		b.Fatal(err)
	}
	for at := 0; at < stateBytes; at += turnBytes {
		turn := program.BeginTurn{Turn: fmt.Sprint("turn-", at), AtMs: 1, Remembered: true, KeepForS: 3600, Input: bytes.Repeat([]byte{byte(at)}, turnBytes)}
		shard.programs.Apply(program.Command{Begin: &turn})
	}
	longest := time.Duration(0)
	for number := range 200 {
		turn := program.BeginTurn{Turn: fmt.Sprint("next-", number), AtMs: 1, Input: bytes.Repeat([]byte("x"), turnBytes)}
		committed := false
		opened.ProposeAsync(command{Command: program.Command{Begin: &turn}}, func(any, error) { committed = true })
		for !committed {
			began := time.Now()
			if _, err := opened.RunOnce(); err != nil {
				b.Fatal(err)
			}
			longest = max(longest, time.Since(began))
		}
	}
	stopped := make(chan struct{})
	opened.Stop(func() { close(stopped) })
	if _, err := opened.RunOnce(); err != nil {
		b.Fatal(err)
	}
	<-stopped
	return longest
}
