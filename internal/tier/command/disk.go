package command

import (
	"context"

	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/storage"
)

// openDisk opens the machine's disk and loads the identity on it, or creates one. A disk that fails is retried.
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
