package plugin

import (
	"os"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/store"
)

// storeOf returns a plug-in's store, which outlives its versions. The lock is held.
func (h *Host) storeOf(c *config.Plugin) (*store.Store, error) {
	if s := h.stores[c.Name]; s != nil && h.owners[c.Name].StoreKB == c.StoreKB {
		return s, nil
	}
	s := store.New(store.Limits{Bytes: c.StoreKB << 10, Entries: c.StoreKB << 10 / 64, KeySize: 128, ValueSize: 4 << 10})
	if h.storeDir != "" && c.StoreKB > 0 {
		file := store.File(h.storeDir, c.Name)
		if old := h.stores[c.Name]; old != nil { // its quota is another now
			if err := old.Save(file, c.Name, time.Now()); err != nil {
				return nil, err
			}
		}
		if err := s.Load(file, c.Name, time.Now()); err != nil {
			h.log.Warn("plug-in store not loaded, beginning empty", "plugin", c.Name, "err", err)
			_ = os.Rename(file, file+".bad")
		}
	}
	h.stores[c.Name], h.owners[c.Name] = s, *c
	return s, nil
}

func (h *Host) save() {
	defer h.saving.Done()
	tick := time.NewTicker(h.limits.PluginSave)
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case now := <-tick.C:
			h.mu.Lock()
			h.saveStores(now)
			h.mu.Unlock()
		}
	}
}

func (h *Host) saveStores(now time.Time) {
	if h.storeDir == "" {
		return
	}
	for name, s := range h.stores {
		if err := s.Save(store.File(h.storeDir, name), name, now); err != nil {
			h.log.Warn("plug-in store not saved", "plugin", name, "err", err)
		}
	}
}
