package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Forget replaces all that is saved by the state of a member that knows no group, whose chunks are written as they come. The
// HardState stays: a member that comes back under its identity must not vote twice in a term. The files of the former state are
// removed. Errors are FailedErrors. A crash or a loss of power in between leaves the one or the other.
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
	if err := g.switchTo(writer, &replica.Snapshot{}, nil, g.hardState); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(g.removeInactiveSlot())
}

// removeInactiveSlot removes the slot that the log doesn't follow, if there is one. Nothing depends on whether that lasts.
func (g *Group) removeInactiveSlot() error {
	slot := g.inactiveSlot()
	if !g.slotNamed[slot] {
		return nil
	}
	if err := g.disk.Remove(fileName(g.name, slotSuffixes[slot])); err != nil {
		return g.fail("removal of a slot", err)
	}
	g.slotNamed[slot] = false
	return nil
}
