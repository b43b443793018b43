package storage

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// ChunkSource calls write with each chunk of a snapshot's state, in order. A chunk is valid until write returns. If write returns an
// error, the source must stop and return that error.
type ChunkSource func(write func(chunk json.RawMessage) error) error

// receive writes chunks of a snapshot from another member to the inactive slot. Recovery ignores them until the snapshot is
// installed. Chunk 0 begins a new snapshot and drops an incomplete one.
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
			return g.fail("check before a save", fmt.Errorf("%w: chunk %d is not the next one", ErrChunkOrder, chunk.Number))
		}
		if err := g.incoming.writeChunk(chunk.Data); err != nil {
			return g.fail("write to a slot", err)
		}
	}
	return nil
}

// dropIncoming drops the snapshot that is being received, if any.
func (g *Group) dropIncoming() {
	if g.incoming != nil {
		_ = g.incoming.file.Close()
		g.incoming = nil
	}
}

// install replaces the saved snapshot and entries by a received snapshot and the entries after it.
func (g *Group) install(ready *replica.Ready) error {
	writer := g.incoming
	g.incoming = nil
	if writer == nil || len(writer.layout.offsets) != ready.Snapshot.Chunks || ready.TruncateFrom > 0 {
		if writer != nil {
			_ = writer.file.Close()
		}
		return g.fail("check before a save", fmt.Errorf("%w: snapshot to install is incomplete, or comes with a truncation", ErrChunkOrder))
	}
	state := g.hardState
	if ready.HardState != nil {
		state = *ready.HardState
	}
	return g.switchToSlot(writer, ready.Snapshot, ready.Entries, state)
}

// SnapshotBytes returns the length of the active slot, or 0 if there is none.
func (g *Group) SnapshotBytes() int64 { return g.active.bytes }

// SnapshotChunks returns the number of chunks of the saved snapshot, or 0 if there is none.
func (g *Group) SnapshotChunks() int { return len(g.active.offsets) }

// ReadChunks calls write with each chunk of the saved snapshot's state, in order. A chunk is valid until write returns. The error is
// the disk's, a CorruptError, or the unwrapped error of write.
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

// ReadChunk returns one chunk of the saved snapshot's state, which the caller may keep. Chunks are numbered from 0. The error is
// trace.BadParameter if there is no such chunk, the disk's, or a CorruptError.
func (g *Group) ReadChunk(number int) (json.RawMessage, error) {
	if number < 0 || number >= len(g.active.offsets) {
		return nil, trace.BadParameter("chunk %d does not exist, the snapshot has %d chunks", number, len(g.active.offsets))
	}
	file, reader, err := g.openActiveSlot(false)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer file.Close()
	chunk, err := g.readChunk(reader, number)
	return chunk, trace.Wrap(err)
}

// openActiveSlot opens the active slot. With reuse, each payload read is overwritten by the next. The caller closes the file.
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

// readChunk reads the frame of a chunk and returns its payload.
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
