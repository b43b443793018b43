package command

import (
	"context"

	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/storage"
)

// openDisk opens the machine's disk, and loads or creates the identity on it. Reading the identity is retried while the disk fails.
func (p *process) openDisk(ctx context.Context, address string) (disk storage.Disk, id string, err error) {
	disk, err = p.env.OpenDisk(p.settings.DataDir)
	if err != nil {
		return nil, "", err
	}
	err = p.retryStart(ctx, "identity", func() error {
		id, err = identity.LoadOrCreate(disk, address, p.settings.Bootstrap)
		return err
	})
	return disk, id, err
}
