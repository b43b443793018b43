package command

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/store"
)

// usageOf returns the use of so much memory, all but 29.5 MiB of it for contents, and disk.
func usageOf(memory, disk int64) usage {
	return usage{memory: memory, contents: max(memory-59<<19, 0), disk: disk}
}

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
				m.observe(usageOf(tc.memory[i]*mb, tc.disk[i]*mb))
			}
			if got := m.fullness() >= store.Near; got != tc.want {
				t.Errorf("near a limit: %t, want the opposite", got)
			}
		})
	}
}

func TestLimitMonitor_UseOfMemory_DegreesEnteredAndLeft(t *testing.T) {
	m := newLimitMonitor(settings.Limits{MemoryMb: 100}, log.NewNopLogger())
	for _, step := range []struct {
		memory int64 // MiB
		want   store.Fullness
	}{
		{74, store.Roomy}, {75, store.ShortOfBulk}, {71, store.ShortOfBulk}, {80, store.OutOfBulk}, {85, store.Near}, {93, store.Full},
		{89, store.Full}, {87, store.Near}, {77, store.OutOfBulk}, {73, store.ShortOfBulk}, {69, store.Roomy},
	} {
		m.observe(usageOf(step.memory<<20, 0))
		if got := m.fullness(); got != step.want {
			t.Errorf("at %d MiB: %v, want %v", step.memory, got, step.want)
		}
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

// A store whose contents had expired went on to reject turns, since nothing in an idle process collects garbage.
func TestLimitMonitor_Rejects_GarbageIsCollectedNowAndThen(t *testing.T) {
	m := newLimitMonitor(settings.Limits{MemoryMb: 100}, log.NewNopLogger())
	now := time.Unix(1000, 0)
	if m.isCollectionDue(now) {
		t.Error("due in a store with room")
	}
	m.observe(usageOf(80<<20, 0))
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {collectInterval - 1, false}, {collectInterval, true}, {collectInterval + 1, false}} {
		if got := m.isCollectionDue(now.Add(step.after)); got != step.want {
			t.Errorf("due %v after the first collection: %v", step.after, got)
		}
	}
}

// Large contents took all memory up to the share from which on new programs are rejected, small ones too.
func TestLimitMonitor_Contents_LargeOnesLeaveRoomForSmall(t *testing.T) {
	m := newLimitMonitor(settings.Limits{MemoryMb: 100}, log.NewNopLogger())
	for _, step := range []struct {
		contents int64 // MiB
		want     store.Fullness
	}{
		{44, store.Roomy}, {45, store.ShortOfBulk}, {43, store.ShortOfBulk}, {50, store.OutOfBulk}, {48, store.OutOfBulk}, {46, store.ShortOfBulk},
		{41, store.Roomy}, {70, store.OutOfBulk},
	} {
		m.observe(usage{memory: step.contents << 20, contents: step.contents << 20})
		if got := m.fullness(); got != step.want {
			t.Errorf("with contents of %d MiB: %v, want %v", step.contents, got, step.want)
		}
	}
}

// Large turns in progress and their garbage made a store refuse small new programs, which take next to nothing.
func TestLimitMonitor_WorkInProgressFillsMemory_SmallProgramsGoOn(t *testing.T) {
	m := newLimitMonitor(settings.Limits{MemoryMb: 100}, log.NewNopLogger())
	for _, step := range []struct {
		memory, contents int64 // MiB
		want             store.Fullness
	}{
		{90, 30, store.OutOfBulk}, {90, 54, store.OutOfBulk}, {90, 56, store.Near}, {90, 51, store.Near}, {90, 49, store.OutOfBulk}, {93, 30, store.Full},
	} {
		m.observe(usage{memory: step.memory << 20, contents: step.contents << 20})
		if got := m.fullness(); got != step.want {
			t.Errorf("at %d MiB, %d MiB of them contents: %v, want %v", step.memory, step.contents, got, step.want)
		}
	}
}
