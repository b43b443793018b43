package memorydisk

import (
	"math/rand/v2"
)

// sectorBytes is the length of the parts of a torn write that are independently applied or lost.
const sectorBytes = 64

// inode holds the content of a file, independent of its names.
type inode struct {
	content []byte   // in the page cache, visible to processes
	durable []byte   // kept after a power loss
	pending []change // made since the last successful sync, in order
}

// change is a write of data at an offset, or without data, a truncation to the offset.
type change struct {
	offset int64
	data   []byte
	lost   bool // set by a failed sync, so that no later sync makes the change durable
}

// write appends data to the content.
func (n *inode) write(data []byte) {
	if len(data) == 0 {
		return
	}
	added := change{offset: int64(len(n.content)), data: append([]byte(nil), data...)}
	n.content = append(n.content, data...)
	n.pending = append(n.pending, added)
}

// truncate sets the length of the content.
func (n *inode) truncate(size int64) {
	n.content = resize(n.content, size)
	n.pending = append(n.pending, change{offset: size})
}

// sync makes all pending changes durable, except those lost by a failed sync.
func (n *inode) sync() {
	for _, pending := range n.pending {
		if !pending.lost {
			n.durable = pending.apply(n.durable)
		}
	}
	n.pending = nil
}

// markLost marks all pending changes as lost after a failed sync.
func (n *inode) markLost() {
	for i := range n.pending {
		n.pending[i].lost = true
	}
}

// losePower resets the content to the durable one, after each pending change has been applied, torn or lost at random.
func (n *inode) losePower(random *rand.Rand, dropAll bool) {
	for _, pending := range n.pending {
		if dropAll || pending.lost {
			continue
		}
		switch random.IntN(3) {
		case 0:
			n.durable = pending.apply(n.durable)
		case 1:
			n.durable = pending.applyTorn(n.durable, random)
		}
	}
	n.pending = nil
	n.content = append([]byte(nil), n.durable...)
}

// apply applies the change to content and returns the result.
func (c *change) apply(content []byte) []byte {
	if c.data == nil {
		return resize(content, c.offset)
	}
	return writeAt(content, c.offset, c.data)
}

// applyTorn applies a part of a write: its beginning, or some of its sectors. A truncation is not applied at all.
func (c *change) applyTorn(content []byte, random *rand.Rand) []byte {
	if c.data == nil {
		return content
	}
	if random.IntN(2) == 0 {
		return writeAt(content, c.offset, c.data[:random.IntN(len(c.data))])
	}
	for start := 0; start < len(c.data); start += sectorBytes {
		end := min(start+sectorBytes, len(c.data))
		if random.IntN(2) == 0 {
			content = writeAt(content, c.offset+int64(start), c.data[start:end])
		}
	}
	return content
}

// resize truncates content to the size, or extends it with zeros.
func resize(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

// writeAt writes data into content at an offset, and fills a gap before the offset with zeros.
func writeAt(content []byte, offset int64, data []byte) []byte {
	if offset == int64(len(content)) {
		return append(content, data...)
	}
	if end := offset + int64(len(data)); end > int64(len(content)) {
		content = resize(content, end)
	}
	copy(content[offset:], data)
	return content
}
