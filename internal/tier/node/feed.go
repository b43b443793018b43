package node

import (
	"context"
	"maps"

	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// newerThan returns the updates for whose sections the digest has an older stamp or none.
func (d *gossipDriver) newerThan(digest view.Digest) []view.Update {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var updates []view.Update
	for _, section := range view.Sections {
		update, found := d.store.Get(section)
		if found && digest[section].Less(update.Stamp) {
			updates = append(updates, update)
		}
	}
	return updates
}

// handleFeed streams updates to a process on this machine: first those newer than the digest in its request, then each new one.
func (d *gossipDriver) handleFeed(ctx context.Context, request wire.FetchRequest, send func(view.Update) error) error {
	sent := maps.Clone(request.Digest)
	if sent == nil {
		sent = view.Digest{}
	}
	for {
		d.mutex.Lock()
		changed := d.changed
		d.mutex.Unlock()
		for _, update := range d.newerThan(sent) {
			if err := send(update); err != nil {
				return err
			}
			sent[update.Section] = update.Stamp
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
