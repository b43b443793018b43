package plugin

import (
	"os"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/store"
)

// Bounds of a plug-in's store that no setting has.
const (
	storeKeySize       = 128     // bytes
	storeValueSize     = 4 << 10 // bytes
	storeBytesPerEntry = 64      // of the quota, for each entry that there may be
)

// storeOf returns a plug-in's store, which outlives its versions. One that can't be read is put aside, and begins
// empty. The lock is held.
func (h *Host) storeOf(cfg *config.Plugin) (*store.Store, error) {
	if s := h.stores[cfg.Name]; s != nil && h.storeConfigs[cfg.Name].StoreKB == cfg.StoreKB {
		return s, nil
	}
	s := store.New(storeLimits(cfg))
	if h.storeDir != "" && cfg.StoreKB > 0 {
		file := store.File(h.storeDir, cfg.Name)
		if old := h.stores[cfg.Name]; old != nil { // its quota is another now
			if err := old.Save(file, cfg.Name, time.Now()); err != nil {
				return nil, err
			}
		}
		if err := s.Load(file, cfg.Name, time.Now()); err != nil {
			h.log.Warn("plug-in store not loaded, beginning empty", "plugin", cfg.Name, "err", err)
			_ = os.Rename(file, file+".bad")
		}
	}
	h.stores[cfg.Name], h.storeConfigs[cfg.Name] = s, *cfg
	return s, nil
}

func storeLimits(cfg *config.Plugin) store.Limits {
	quota := cfg.StoreKB << 10
	return store.Limits{Bytes: quota, Entries: quota / storeBytesPerEntry, KeySize: storeKeySize, ValueSize: storeValueSize}
}

// saveRegularly saves the stores at intervals until the host stops.
func (h *Host) saveRegularly() {
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

// saveStores saves the stores that have changed, if there is a folder for them. The lock is held.
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
