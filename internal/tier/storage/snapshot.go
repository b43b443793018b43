package storage

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// ChunkSource hands the chunks of a snapshot's state over in order. A chunk is valid until write returns. An error of write ends
// it and must be returned.
type ChunkSource func(write func(chunk json.RawMessage) error) error

// receive writes chunks of a snapshot that another member sends. They count for nothing until the snapshot is installed; chunk 0
// starts over.
func (g *Group) receive(chunks []replica.Chunk) error {
	for i := range chunks {
		chunk := &chunks[i]
		if chunk.Number == 0 {
			writer, err := g.beginSlot()
			if err != nil {
				return err
			}
			g.incoming = writer
		}
		if g.incoming == nil || chunk.Number != len(g.incoming.layout.offsets) {
			return g.fail("check of what is to be saved", fmt.Errorf("%w: chunk %d", ErrChunkOrder, chunk.Number))
		}
		if err := g.incoming.writeChunk(chunk.Data); err != nil {
			return g.fail("write to a slot", err)
		}
	}
	return nil
}

// dropIncoming abandons a snapshot that was being received.
func (g *Group) dropIncoming() {
	if g.incoming != nil {
		_ = g.incoming.file.Close()
		g.incoming = nil
	}
}

// install replaces all that was saved before by a received snapshot and the entries behind it.
func (g *Group) install(ready *replica.Ready) error {
	writer := g.incoming
	g.incoming = nil
	if writer == nil || len(writer.layout.offsets) != ready.Snapshot.Chunks || ready.TruncateFrom > 0 {
		if writer != nil {
			_ = writer.file.Close()
		}
		return g.fail("check of what is to be saved", fmt.Errorf("%w: installation of an incomplete snapshot", ErrChunkOrder))
	}
	state := g.hardState
	if ready.HardState != nil {
		state = *ready.HardState
	}
	return g.switchTo(writer, ready.Snapshot, ready.Entries, state)
}

// SnapshotBytes returns the length of the active slot; 0: there is none.
func (g *Group) SnapshotBytes() int64 { return g.active.bytes }

// SnapshotChunks returns the number of chunks of the saved snapshot; 0: there is none.
func (g *Group) SnapshotChunks() int { return len(g.active.offsets) }

// ReadChunks hands over the state of the saved snapshot, chunk by chunk. A chunk is valid until write returns. The error is the
// disk's, a CorruptError, or that of write as it is.
func (g *Group) ReadChunks(write func(chunk json.RawMessage) error) error {
	if len(g.active.offsets) == 0 {
		return nil
	}
	file, reader, err := g.openActiveSlot(true)
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	for number := range g.active.offsets {
		chunk, err := g.readChunk(reader, number)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// ReadChunk returns one chunk of the saved snapshot's state, in memory of its own. Numbers count from 0. The error is
// trace.BadParameter where there is no such chunk, the disk's, or a CorruptError.
func (g *Group) ReadChunk(number int) (json.RawMessage, error) {
	if number < 0 || number >= len(g.active.offsets) {
		return nil, trace.BadParameter("no chunk %d among %d", number, len(g.active.offsets))
	}
	file, reader, err := g.openActiveSlot(false)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer file.Close()
	chunk, err := g.readChunk(reader, number)
	return chunk, trace.Wrap(err)
}

// openActiveSlot opens the slot that the log follows. The caller closes the file.
func (g *Group) openActiveSlot(reuse bool) (File, *frameReader, error) {
	file, err := g.disk.Open(fileName(g.name, slotSuffixes[g.active.slot]))
	if err != nil {
		return nil, nil, err
	}
	reader, err := newFrameReader(file, reuse)
	if err != nil {
		_ = file.Close()
		return nil, nil, err
	}
	return file, reader, nil
}

// readChunk reads the frame of a chunk.
func (g *Group) readChunk(reader *frameReader, number int) (json.RawMessage, error) {
	reader.offset = g.active.offsets[number]
	found, intact, err := reader.next()
	if err != nil {
		return nil, err
	}
	if !intact || found.generation != g.active.generation || found.sequence != uint64(number) {
		return nil, &CorruptError{File: fileName(g.name, slotSuffixes[g.active.slot]), Offset: g.active.offsets[number],
			Reason: fmt.Sprintf("chunk %d is not intact", number)}
	}
	return found.payload, nil
}
