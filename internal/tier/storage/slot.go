package storage

import (
	"encoding/json"

	"mastusher/internal/tier/replica"
)

// lastFrameFlag is set in the sequence number of a slot's last frame, by which a truncated slot is detected. The last frame holds
// the HardState and the snapshot's metadata; each earlier frame holds a chunk of the state.
const lastFrameFlag = 1 << 63

// slotLayout describes where the chunks of a slot are.
type slotLayout struct {
	slot       int // index into slotSuffixes
	generation uint64
	offsets    []int64 // of the chunks' frames
	bytes      int64   // length of the slot
}

// slotWriter writes a slot chunk by chunk. Recovery ignores the slot until a log of its generation is durable; see switchToSlot.
// A slotWriter shares no data with its group, so that another goroutine may write chunks.
type slotWriter struct {
	name   string // of the group
	file   File
	layout slotLayout
	buffer []byte // reused by each frame
}

// beginSlot truncates or creates the inactive slot for a new generation. It drops a snapshot that is being received, which used the
// same slot.
func (g *Group) beginSlot() (*slotWriter, error) {
	g.dropIncoming()
	if g.compaction != nil {
		return nil, g.fail("creation of a slot", ErrSlotInUse)
	}
	g.maxGeneration++
	slot := g.inactiveSlot()
	file, err := g.disk.Create(fileName(g.name, slotSuffixes[slot]))
	if err != nil {
		return nil, g.fail("creation of a slot", err)
	}
	return &slotWriter{name: g.name, file: file, layout: slotLayout{slot: slot, generation: g.maxGeneration}}, nil
}

// inactiveSlot returns the index of the slot that the log doesn't follow.
func (g *Group) inactiveSlot() int {
	if g.generation == 0 {
		return 0
	}
	return 1 - g.active.slot
}

// writeChunk writes the next chunk. An error is the disk's.
func (w *slotWriter) writeChunk(chunk json.RawMessage) error {
	layout := &w.layout
	buffer := beginFrame(w.buffer[:0], layout.generation, uint64(len(layout.offsets)))
	buffer = append(buffer, chunk...)
	offset := layout.bytes
	if err := w.writeFrame(buffer); err != nil {
		return err
	}
	layout.offsets = append(layout.offsets, offset)
	return nil
}

// writeFrame completes a frame and writes it.
func (w *slotWriter) writeFrame(buffer []byte) error {
	finishFrame(buffer)
	w.buffer = reusable(buffer)
	if _, err := w.file.Write(buffer); err != nil {
		return err
	}
	w.layout.bytes += int64(len(buffer))
	return nil
}

// finishSlot writes the last frame and returns once the slot and its file name are durable. It closes the file even after an error.
func (g *Group) finishSlot(w *slotWriter, snapshot *replica.Snapshot, state replica.HardState) error {
	defer w.file.Close()
	layout := &w.layout
	if len(layout.offsets) == 0 {
		return g.fail("write of a snapshot", ErrNoChunks)
	}
	metadata := *snapshot
	metadata.Chunks = len(layout.offsets)
	buffer := beginFrame(w.buffer[:0], layout.generation, lastFrameFlag|uint64(len(layout.offsets)))
	buffer, err := appendHardState(buffer, state)
	if err != nil {
		return g.fail("encoding", err)
	}
	if buffer, err = appendSnapshot(buffer, &metadata); err != nil {
		return g.fail("encoding", err)
	}
	if err := w.writeFrame(buffer); err != nil {
		return g.fail("write to a slot", err)
	}
	if err := w.file.Sync(); err != nil {
		return g.fail("sync of a slot", err)
	}
	if g.slotNameDurable[layout.slot] {
		return nil
	}
	if err := g.disk.SyncDir(); err != nil {
		return g.fail("sync of the directory", err)
	}
	g.slotNameDurable[layout.slot] = true
	return nil
}

// slotReader reads a slot during recovery.
type slotReader struct {
	slot       int    // index into slotSuffixes
	generation uint64 // of the first frame; 0 if that is damaged or missing
}

// read reads a slot and returns its layout, the last frame's payload and whether the slot is complete: all frames are intact and in
// sequence, and nothing follows the last one.
func (r *slotReader) read(file File) (slotLayout, []byte, bool, error) {
	reader, err := newFrameReader(file, true)
	if err != nil {
		return slotLayout{}, nil, false, err
	}
	layout := slotLayout{slot: r.slot, generation: r.generation}
	for {
		offset := reader.offset
		found, intact, err := reader.next()
		if err != nil || !intact || found.generation != r.generation {
			return layout, nil, false, err
		}
		if found.sequence == lastFrameFlag|uint64(len(layout.offsets)) {
			layout.bytes = reader.offset
			return layout, found.payload, reader.offset == reader.size, nil
		}
		if found.sequence != uint64(len(layout.offsets)) {
			return layout, nil, false, nil
		}
		layout.offsets = append(layout.offsets, offset)
	}
}
