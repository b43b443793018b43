package plugin

import (
	"os"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/store"
)

// Limits of a plug-in's store that can't be configured.
const (
	storeKeySize       = 128     // maximum, in bytes
	storeValueSize     = 4 << 10 // maximum, in bytes
	storeBytesPerEntry = 64      // a store may have one entry for each such part of its quota
)

// storeOf returns a plug-in's store, which is kept when the version is replaced. If its file can't be read, the file is renamed and
// the store begins empty. The caller holds h.mu.
func (h *Host) storeOf(cfg *config.Plugin) (*store.Store, error) {
	if s := h.stores[cfg.Name]; s != nil && h.storeConfigs[cfg.Name].StoreKB == cfg.StoreKB {
		return s, nil
	}
	s := store.New(storeLimits(cfg))
	if h.storeDir != "" && cfg.StoreKB > 0 {
		file := store.File(h.storeDir, cfg.Name)
		if old := h.stores[cfg.Name]; old != nil { // the quota has changed
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

// saveStores saves the stores that have changed, unless no folder for stores is configured. The caller holds h.mu.
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
