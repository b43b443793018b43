package plugin

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"mastusher/internal/relay/config"
)

// Reload replaces the plug-ins that run by those of a configuration, all at once between two messages. Unchanged plug-ins keep
// running. If one can't be loaded, nothing changes and the error names its configuration key.
func (h *Host) Reload(cfg *config.Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generationNo++
	newVersions := 0
	chain, err := h.loadChain(cfg, func(order int, v *version) {
		newVersions++
		h.log.Info("plug-in ready", "plugin", v.cfg.Name, "order", order, "abi", v.abi, "module", v.moduleName(),
			"phases", phaseNames(v.phases), "instances", v.cfg.Instances)
	})
	if err != nil {
		h.writeStatus(cfg, err)
		return err
	}
	h.liveGenerations.Add(1)
	before := h.current.Swap(newGeneration(h.generationNo, chain))
	h.release(before)
	h.setPrepared(nil)
	if h.cacheDir != "" && newVersions > 0 {
		h.trimCache()
	}
	h.writeStatus(cfg, nil)
	if newVersions > 0 {
		debug.FreeOSMemory() // loading a module takes many times the memory that it needs afterwards
	}
	return nil
}

// Prepare loads the plug-ins of a configuration without running them, so that a later Reload need not load them, or returns why they
// can't be loaded. It closes versions from an earlier Prepare that the configuration no longer has.
func (h *Host) Prepare(cfg *config.Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	chain, err := h.loadChain(cfg, func(int, *version) {})
	if err != nil {
		return err
	}
	h.setPrepared(chain)
	return nil
}

// loadChain returns the versions of a configuration's plug-ins in their order, and increments the user count of each. It calls
// onNew for each version that neither runs nor was prepared. If one can't be loaded, the error names its configuration key and the
// others are released. The caller holds h.mu.
func (h *Host) loadChain(cfg *config.Config, onNew func(order int, v *version)) ([]*version, error) {
	loaded := h.loaded()
	var chain []*version
	for order, c := range cfg.Plugins {
		v, err := h.reuseOrLoad(c, loaded)
		if err != nil {
			for _, v := range chain {
				h.releaseVersion(v)
			}
			return nil, config.NewKeyError(c.Key, fmt.Sprintf("plug-in %s: %v", c.Name, err))
		}
		if loaded[v.key()] != v {
			onNew(order, v)
		}
		v.users++
		chain = append(chain, v)
	}
	return chain, nil
}

// loaded returns the versions that run or are prepared, by version.key. The caller holds h.mu.
func (h *Host) loaded() map[string]*version {
	all := map[string]*version{}
	for _, v := range h.prepared {
		all[v.key()] = v
	}
	if g := h.current.Load(); g != nil {
		for _, v := range g.chain {
			all[v.key()] = v
		}
	}
	return all
}

// reuseOrLoad returns the version for a plug-in's configuration: one from loaded if module and configuration are the same, else a new
// one.
func (h *Host) reuseOrLoad(cfg config.Plugin, loaded map[string]*version) (*version, error) {
	module, err := os.ReadFile(cfg.File)
	if err != nil {
		return nil, err
	}
	same := version{cfg: cfg, hash: hashOf(module)}
	if v := loaded[same.key()]; v != nil {
		return v, nil
	}
	return h.loadAtLowPriority(cfg, module)
}

// loadAtLowPriority loads a module, which may take a second of processor time. While the relay serves messages it does so on a
// thread of lower priority, which ends with its goroutine.
func (h *Host) loadAtLowPriority(cfg config.Plugin, module []byte) (v *version, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if h.serving && h.limits.PluginYields {
			runtime.LockOSThread()
			lowerThreadPriority()
		}
		v, err = h.load(cfg, module)
	}()
	<-done
	return v, err
}

// setPrepared replaces the versions that are prepared for a reload, and releases the previous ones. The caller holds h.mu.
func (h *Host) setPrepared(next []*version) {
	for _, v := range h.prepared {
		h.releaseVersion(v)
	}
	h.prepared = next
}

// releaseVersion decrements a version's user count, and closes the version when no user is left. The caller holds h.mu.
func (h *Host) releaseVersion(v *version) {
	if v.users > 0 {
		v.users--
	}
	if v.users == 0 {
		v.close()
	}
}
