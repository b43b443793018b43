package memorydisk

import (
	"math/rand/v2"
)

// sectorBytes is the length of the sectors of a torn write, each of which is applied or lost by itself.
const sectorBytes = 64

// inode is the content of a file.
type inode struct {
	content []byte   // in the page cache: what processes see
	durable []byte   // as of the last sync that succeeded
	pending []change // since then, in order
}

// change is a write at an offset, or a truncation to it when it has no data.
type change struct {
	offset int64
	data   []byte
	lost   bool // a sync of it failed: no later one makes it durable
}

// write appends data.
func (n *inode) write(data []byte) {
	if len(data) == 0 {
		return
	}
	added := change{offset: int64(len(n.content)), data: append([]byte(nil), data...)}
	n.content = append(n.content, data...)
	n.pending = append(n.pending, added)
}

// truncate sets the length.
func (n *inode) truncate(size int64) {
	n.content = resize(n.content, size)
	n.pending = append(n.pending, change{offset: size})
}

// sync makes the content durable, except for what a failed sync has lost.
func (n *inode) sync() {
	for _, pending := range n.pending {
		if !pending.lost {
			n.durable = pending.apply(n.durable)
		}
	}
	n.pending = nil
}

// markLost records that a sync failed.
func (n *inode) markLost() {
	for i := range n.pending {
		n.pending[i].lost = true
	}
}

// losePower leaves what was durable, and of the later changes each applied, torn or lost.
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

// apply applies a change to content.
func (c *change) apply(content []byte) []byte {
	if c.data == nil {
		return resize(content, c.offset)
	}
	return writeAt(content, c.offset, c.data)
}

// applyTorn applies a part of a change: the beginning of a write, or some of its sectors. A truncation is never torn.
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

// resize truncates content, or extends it by zeros.
func resize(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

// writeAt writes data at an offset; a gap before it holds zeros.
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
