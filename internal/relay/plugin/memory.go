package plugin

import (
	"sync/atomic"
	"syscall"
)

// memories hands plug-ins their memory, from the system and not from the collected heap: what one has hoarded is
// given back the moment its instance is closed, and the heap's target does not grow with it.
type memories struct {
	maxBytes int64        // bytes that all instances may take together
	used     atomic.Int64 // what they have asked for
}

// Allocate reserves addresses for the most that an instance may ever take; pages come as they are touched.
func (m *memories) Allocate(most uint64) *memory {
	region, err := syscall.Mmap(-1, 0, int(max(most, 1<<16)), syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_PRIVATE|syscall.MAP_ANON|syscall.MAP_NORESERVE)
	if err != nil {
		region = nil // Reallocate says no, and the instance fails to start
	}
	return &memory{all: m, region: region}
}

type memory struct {
	all    *memories
	region []byte
	size   int64
}

// Reallocate grows the memory in place, or returns nil where the plug-ins together would have too much.
func (m *memory) Reallocate(size uint64) []byte {
	if size > uint64(len(m.region)) {
		return nil
	}
	more := int64(size) - m.size
	if m.all.used.Add(more) > m.all.maxBytes {
		m.all.used.Add(-more)
		return nil
	}
	m.size = int64(size)
	return m.region[:size:size]
}

// Free gives everything back.
func (m *memory) Free() {
	if m.region != nil {
		_ = syscall.Munmap(m.region)
	}
	m.all.used.Add(-m.size)
	m.region, m.size = nil, 0
}
