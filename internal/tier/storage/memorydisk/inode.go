package memorydisk

import (
	"math/rand/v2"
)

// tearBytes is the length of the pieces of a torn write that are there or missing each by itself.
const tearBytes = 64

// inode is what a file holds.
type inode struct {
	content []byte   // that processes see
	lasting []byte   // as of the last sync
	pending []change // since then
}

// change is a write at an offset, or a cut there when it has no data.
type change struct {
	offset int64
	data   []byte
	lost   bool // a sync of it failed: no later one covers it
}

// write adds data at the end.
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

// sync makes the content last, except for what a failed sync has lost.
func (n *inode) sync() {
	for _, pending := range n.pending {
		if !pending.lost {
			n.lasting = pending.apply(n.lasting)
		}
	}
	n.pending = nil
}

// forsake notes that a sync failed.
func (n *inode) forsake() {
	for i := range n.pending {
		n.pending[i].lost = true
	}
}

// losePower leaves what lasted, and of the later changes each whole, torn or not at all.
func (n *inode) losePower(random *rand.Rand, dropAll bool) {
	for _, pending := range n.pending {
		if dropAll || pending.lost {
			continue
		}
		switch random.IntN(3) {
		case 0:
			n.lasting = pending.apply(n.lasting)
		case 1:
			n.lasting = pending.tear(n.lasting, random)
		}
	}
	n.pending = nil
	n.content = append([]byte(nil), n.lasting...)
}

// apply makes a change to content.
func (c *change) apply(content []byte) []byte {
	if c.data == nil {
		return resize(content, c.offset)
	}
	return writeAt(content, c.offset, c.data)
}

// tear makes a part of a change: a write's beginning, or some of its pieces. A cut has no parts.
func (c *change) tear(content []byte, random *rand.Rand) []byte {
	if c.data == nil {
		return content
	}
	if random.IntN(2) == 0 {
		return writeAt(content, c.offset, c.data[:random.IntN(len(c.data))])
	}
	for start := 0; start < len(c.data); start += tearBytes {
		end := min(start+tearBytes, len(c.data))
		if random.IntN(2) == 0 {
			content = writeAt(content, c.offset+int64(start), c.data[start:end])
		}
	}
	return content
}

// resize cuts content, or extends it by zeros.
func resize(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

// writeAt puts data at an offset; a gap before it holds zeros.
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
