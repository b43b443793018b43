package plugin

import (
	"sync/atomic"
	"syscall"
)

// pageSize is the size in bytes of a page of WebAssembly memory.
const pageSize = 1 << 16

// memoryPool allocates the plug-ins' memory by mmap and not from the Go heap. It is returned to the system as soon as an instance
// is closed, and does not raise the target of the garbage collector.
type memoryPool struct {
	maxBytes int64        // limit for all instances together
	used     atomic.Int64 // bytes that all instances use
}

// Allocate reserves address space for the maximum size of an instance's memory. The system backs pages when they are first touched.
func (p *memoryPool) Allocate(maxBytes uint64) *memory {
	region, err := syscall.Mmap(-1, 0, int(max(maxBytes, pageSize)), syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_PRIVATE|syscall.MAP_ANON|syscall.MAP_NORESERVE)
	if err != nil {
		region = nil // Reallocate fails then, and the instance does not start
	}
	return &memory{pool: p, region: region}
}

// memory is the memory of one instance and implements experimental.LinearMemory. It is not safe for concurrent use.
type memory struct {
	pool   *memoryPool
	region []byte // reserved address space
	size   int64  // bytes in use
}

// Reallocate grows the memory in place. It returns nil if that exceeds the reserved size or the limit for all instances.
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

// Free returns the memory to the system. A second call does nothing.
func (m *memory) Free() {
	if m.region != nil {
		_ = syscall.Munmap(m.region)
	}
	m.pool.used.Add(-m.size)
	m.region, m.size = nil, 0
}
