package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Forget replaces the saved snapshot and entries by a snapshot at index 0 without members, whose state comes from the source. The
// HardState is kept, because a member that rejoins under the same identity must not vote twice in a term. The files of the former
// state are removed. An error is a FailedError. After a crash or power loss, recovery finds either the former or the new state.
func (g *Group) Forget(chunks ChunkSource) error {
	if g.failure != nil {
		return trace.Wrap(g.failure)
	}
	writer, err := g.beginSlot()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := chunks(writer.writeChunk); err != nil {
		_ = writer.file.Close()
		return trace.Wrap(g.fail("write of a snapshot", err))
	}
	if err := g.switchToSlot(writer, &replica.Snapshot{}, nil, g.hardState); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(g.removeInactiveSlot())
}

// removeInactiveSlot removes the inactive slot, if it exists. The removal needn't be durable, since recovery ignores the slot.
func (g *Group) removeInactiveSlot() error {
	slot := g.inactiveSlot()
	if !g.slotNameDurable[slot] {
		return nil
	}
	if err := g.disk.Remove(fileName(g.name, slotSuffixes[slot])); err != nil {
		return g.fail("removal of a slot", err)
	}
	g.slotNameDurable[slot] = false
	return nil
}
