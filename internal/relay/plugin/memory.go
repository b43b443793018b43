package plugin

import (
	"sync/atomic"
	"syscall"
)

// pageSize is the size of a page of a module's memory.
const pageSize = 1 << 16

// memoryPool hands plug-ins their memory, from the system and not from the collected heap: what one has hoarded is
// given back the moment its instance is closed, and the heap's target does not grow with it.
type memoryPool struct {
	maxBytes int64        // that all instances may take together
	used     atomic.Int64 // bytes that they have asked for
}

// Allocate reserves addresses for the most that an instance may ever take; pages come as they are touched.
func (p *memoryPool) Allocate(maxBytes uint64) *memory {
	region, err := syscall.Mmap(-1, 0, int(max(maxBytes, pageSize)), syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_PRIVATE|syscall.MAP_ANON|syscall.MAP_NORESERVE)
	if err != nil {
		region = nil // Reallocate says no, and the instance fails to start
	}
	return &memory{pool: p, region: region}
}

// memory is that of one instance: an experimental.LinearMemory of the engine. It is not safe for concurrent use.
type memory struct {
	pool   *memoryPool
	region []byte // reserved
	size   int64  // bytes of it in use
}

// Reallocate grows the memory in place, or returns nil where the plug-ins together would have too much.
func (m *memory) Reallocate(size uint64) []byte {
	if size > uint64(len(m.region)) {
		return nil
	}
	more := int64(size) - m.size
	if m.pool.used.Add(more) > m.pool.maxBytes {
		m.pool.used.Add(-more)
		return nil
	}
	m.size = int64(size)
	return m.region[:size:size]
}

// Free gives everything back. A second call does nothing.
func (m *memory) Free() {
	if m.region != nil {
		_ = syscall.Munmap(m.region)
	}
	m.pool.used.Add(-m.size)
	m.region, m.size = nil, 0
}
