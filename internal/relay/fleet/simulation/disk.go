package simulation

import (
	"slices"

	"mastusher/internal/relay/fleet/consensus"
)

// disk is the saved state of a relay: the consensus image, the member id and the generation.
type disk struct {
	generation, member uint64
	image              consensus.Image
}

func (d *disk) clone() disk {
	c := *d
	c.image.Entries = slices.Clone(d.image.Entries)
	return c
}

func (d *disk) save(image *consensus.Image, member uint64) {
	if member != 0 {
		d.member = member
	}
	if image.Complete {
		d.image = consensus.Image{HardState: image.HardState, Snapshot: image.Snapshot, Entries: slices.Clone(image.Entries), Remembered: image.Remembered}
		return
	}
	if len(image.HardState) > 0 {
		d.image.HardState = image.HardState
	}
	if image.Remembered != nil {
		d.image.Remembered = image.Remembered
	}
	d.image.Entries = append(d.image.Entries, image.Entries...)
}
