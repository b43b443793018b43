package command

import (
	"testing"

	"github.com/go-kit/log"

	"mastusher/internal/tier/settings"
)

func TestLimitMonitor_UseOfMemoryAndDisk_NearUntilWellBelow(t *testing.T) {
	const mb = 1 << 20
	for _, tc := range []struct {
		name         string
		limits       settings.Limits
		memory, disk []int64 // MiB, in the order of the observations
		want         bool
	}{
		{"far from both", settings.Limits{MemoryMb: 100, DiskMb: 1000}, []int64{84}, []int64{840}, false},
		{"near the memory", settings.Limits{MemoryMb: 100, DiskMb: 1000}, []int64{85}, []int64{0}, true},
		{"near the disk", settings.Limits{MemoryMb: 100, DiskMb: 1000}, []int64{0}, []int64{850}, true},
		{"a little below again", settings.Limits{MemoryMb: 100}, []int64{90, 80}, []int64{0, 0}, true},
		{"well below again", settings.Limits{MemoryMb: 100}, []int64{90, 77}, []int64{0, 0}, false},
		{"no limits", settings.Limits{}, []int64{1 << 30}, []int64{1 << 30}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newLimitMonitor(tc.limits, log.NewNopLogger())
			for i := range tc.memory {
				m.observe(tc.memory[i]*mb, tc.disk[i]*mb)
			}
			if m.isNear() != tc.want {
				t.Errorf("near a limit: %t, want the opposite", m.isNear())
			}
		})
	}
}

func TestUsedMemory_GrowsWithWhatIsAllocated(t *testing.T) {
	before := usedMemory()
	held := make([]byte, 64<<20)
	for i := 0; i < len(held); i += 4096 {
		held[i] = 1
	}
	if grown := usedMemory() - before; grown < 32<<20 {
		t.Errorf("after allocating 64 MiB, usedMemory grew by %d bytes", grown)
	}
	_ = held[0]
}
