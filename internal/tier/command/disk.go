package command

import (
	"context"

	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/storage"
)

// openDisk opens the machine's disk and reads the identity on it, or makes one; a disk in trouble is tried again.
func (p *process) openDisk(ctx context.Context, address string) (disk storage.Disk, id string, err error) {
	disk, err = p.around.OpenDisk(p.settings.DataDir)
	if err != nil {
		return nil, "", err
	}
	err = p.persist(ctx, "identity", func() error {
		id, err = identity.LoadOrCreate(disk, address, p.settings.Bootstrap)
		return err
	})
	return disk, id, err
}
