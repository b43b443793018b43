package storage

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// ReadChunks hands the parts of a snapshot's state over in order. A part is valid until write returns. An error of write ends it
// and is returned.
type ChunkSource func(write func(part json.RawMessage) error) error

// lastFrame marks the sequence number of a slot's last frame, so that a missing end is seen. That frame holds the promise and
// what the snapshot stands for; each of those before it holds a part of the state.
const lastFrame = 1 << 63

// errNoParts refuses a snapshot without a state.
var errNoParts = errors.New("a snapshot has no part")

// slotLayout is where the parts of a whole slot lie.
type slotLayout struct {
	slot       int
	generation uint64
	offsets    []int64 // of the parts' frames
	bytes      int64
}

// slotWriter writes a slot part by part. Nothing of it counts before adopt.
type slotWriter struct {
	group  *Group
	file   File
	layout slotLayout
}

// beginSlot begins to write the slot that the log does not follow, as one of a new generation. What was being written there
// is given up.
func (g *Group) beginSlot() (*slotWriter, error) {
	g.dropIncoming()
	g.newest++
	spare := g.spareSlot()
	file, err := g.disk.Create(fileName(g.name, slotNames[spare]))
	if err != nil {
		return nil, g.fail("creation of a slot", err)
	}
	return &slotWriter{group: g, file: file, layout: slotLayout{slot: spare, generation: g.newest}}, nil
}

// add writes the next part.
func (w *slotWriter) add(part json.RawMessage) error {
	g, layout := w.group, &w.layout
	buffer := beginFrame(g.buffer[:0], layout.generation, uint64(len(layout.offsets)))
	buffer = append(buffer, part...)
	offset := layout.bytes
	if err := w.write(buffer); err != nil {
		return err
	}
	layout.offsets = append(layout.offsets, offset)
	return nil
}

// write completes a frame and writes it.
func (w *slotWriter) write(buffer []byte) error {
	finishFrame(buffer)
	w.group.keep(buffer)
	if _, err := w.file.Write(buffer); err != nil {
		return w.group.fail("write to a slot", err)
	}
	w.layout.bytes += int64(len(buffer))
	return nil
}

// finish writes the last frame and returns once the slot lasts. The file is closed in any case.
func (w *slotWriter) finish(snapshot *replica.Snapshot, promise replica.HardState) error {
	defer w.file.Close()
	g, layout := w.group, &w.layout
	if len(layout.offsets) == 0 {
		return g.fail("writing of a snapshot", errNoParts)
	}
	complete := *snapshot
	complete.Chunks = len(layout.offsets)
	buffer := beginFrame(g.buffer[:0], layout.generation, lastFrame|uint64(len(layout.offsets)))
	buffer, err := appendPromise(buffer, promise)
	if err != nil {
		return g.fail("encoding", err)
	}
	if buffer, err = appendSnapshot(buffer, &complete); err != nil {
		return g.fail("encoding", err)
	}
	if err := w.write(buffer); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return g.fail("sync of a slot", err)
	}
	if g.slotLasts[layout.slot] {
		return nil
	}
	if err := g.disk.SyncDir(); err != nil {
		return g.fail("sync of the folder", err)
	}
	g.slotLasts[layout.slot] = true
	return nil
}

// receive writes parts of a snapshot that another member sends. They count for nothing until it is installed; the first part
// begins anew.
func (g *Group) receive(parts []replica.Chunk) error {
	for i := range parts {
		part := &parts[i]
		if part.Number == 0 {
			writer, err := g.beginSlot()
			if err != nil {
				return err
			}
			g.incoming = writer
		}
		if g.incoming == nil || part.Number != len(g.incoming.layout.offsets) {
			return g.fail("check of what is to be saved", fmt.Errorf("part %d of a snapshot doesn't follow those before it", part.Number))
		}
		if err := g.incoming.add(part.Data); err != nil {
			return err
		}
	}
	return nil
}

// dropIncoming gives up a snapshot that was being received.
func (g *Group) dropIncoming() {
	if g.incoming != nil {
		_ = g.incoming.file.Close()
		g.incoming = nil
	}
}

// SnapshotBytes returns the length of the slot that the log follows; 0: there is none.
func (g *Group) SnapshotBytes() int64 { return g.layout.bytes }

// SnapshotChunks returns the number of parts of the snapshot that the log follows.
func (g *Group) SnapshotChunks() int { return len(g.layout.offsets) }

// ReadChunks hands over the state of the snapshot that the log follows, part by part. An error is the disk's, or a CorruptError, or
// that of write.
func (g *Group) ReadChunks(write func(part json.RawMessage) error) error {
	if len(g.layout.offsets) == 0 {
		return nil
	}
	file, err := g.disk.Open(fileName(g.name, slotNames[g.layout.slot]))
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	reader, err := newFrameReader(file, true)
	if err != nil {
		return trace.Wrap(err)
	}
	for number := range g.layout.offsets {
		part, err := g.readPart(reader, number)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := write(part); err != nil {
			return err
		}
	}
	return nil
}

// ReadChunk returns one part of the state of the snapshot that the log follows, in memory of its own.
func (g *Group) ReadChunk(number int) (json.RawMessage, error) {
	if number < 0 || number >= len(g.layout.offsets) {
		return nil, trace.BadParameter("no part %d among %d", number, len(g.layout.offsets))
	}
	file, err := g.disk.Open(fileName(g.name, slotNames[g.layout.slot]))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer file.Close()
	reader, err := newFrameReader(file, false)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	part, err := g.readPart(reader, number)
	return part, trace.Wrap(err)
}

// readPart reads the frame of a part.
func (g *Group) readPart(reader *frameReader, number int) (json.RawMessage, error) {
	reader.offset = g.layout.offsets[number]
	found, whole, err := reader.next()
	if err != nil {
		return nil, err
	}
	if !whole || found.generation != g.layout.generation || found.sequence != uint64(number) {
		return nil, &CorruptError{File: fileName(g.name, slotNames[g.layout.slot]), Offset: g.layout.offsets[number], Reason: "a part of the snapshot is not whole"}
	}
	return found.payload, nil
}

// slotReader reads a slot at the start.
type slotReader struct {
	slot       int
	generation uint64 // of its first frame; 0: that is not whole
}

// read reads a whole slot and returns where its parts lie, and the last frame's payload. It is false when the slot is not
// whole.
func (r *slotReader) read(file File) (slotLayout, []byte, bool, error) {
	reader, err := newFrameReader(file, true)
	if err != nil {
		return slotLayout{}, nil, false, err
	}
	layout := slotLayout{slot: r.slot, generation: r.generation}
	for {
		offset := reader.offset
		found, whole, err := reader.next()
		if err != nil || !whole || found.generation != r.generation {
			return layout, nil, false, err
		}
		if found.sequence == lastFrame|uint64(len(layout.offsets)) {
			layout.bytes = reader.offset
			return layout, found.payload, reader.offset == reader.size, nil
		}
		if found.sequence != uint64(len(layout.offsets)) {
			return layout, nil, false, nil
		}
		layout.offsets = append(layout.offsets, offset)
	}
}
