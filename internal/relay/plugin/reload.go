package plugin

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"mastusher/internal/relay/config"
)

// Reload puts the plug-ins of a configuration in the place of those that run, at one point between messages. Those
// that are the same go on as they are. If one can't be loaded nothing changes, and the error names its key.
func (h *Host) Reload(cfg *config.Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generationNo++
	fresh := 0
	chain, err := h.loadChain(cfg, func(order int, v *version) {
		fresh++
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
	if h.cacheDir != "" && fresh > 0 {
		h.trimCache()
	}
	h.writeStatus(cfg, nil)
	if fresh > 0 {
		debug.FreeOSMemory() // to load a module takes many times what it keeps
	}
	return nil
}

// Prepare loads the plug-ins of a configuration beside those that run, so that a Reload takes them over at once, or tells why
// they can't run. What was prepared before and is not asked for again is dropped.
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

// loadChain returns the versions of a configuration's plug-ins, in their order, each with one user more, and tells of each that
// neither runs nor was prepared. If one can't be loaded the error names its key, and nothing is left. The lock is held.
func (h *Host) loadChain(cfg *config.Config, onFresh func(order int, v *version)) ([]*version, error) {
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
			onFresh(order, v)
		}
		v.users++
		chain = append(chain, v)
	}
	return chain, nil
}

// loaded is what runs or waits for a reload, by its key. The lock is held.
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

// reuseOrLoad returns the version of a configuration, loaded anew unless the same is loaded already.
func (h *Host) reuseOrLoad(cfg config.Plugin, loaded map[string]*version) (*version, error) {
	module, err := os.ReadFile(cfg.File)
	if err != nil {
		return nil, err
	}
	same := version{cfg: cfg, hash: hashOf(module)}
	if v := loaded[same.key()]; v != nil {
		return v, nil
	}
	return h.loadOnYieldingThread(cfg, module)
}

// loadOnYieldingThread loads a module, which may take a second of processor time, on a thread that gives way and ends
// with its goroutine.
func (h *Host) loadOnYieldingThread(cfg config.Plugin, module []byte) (v *version, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if h.serving && h.limits.PluginYields {
			runtime.LockOSThread()
			yieldToOthers()
		}
		v, err = h.load(cfg, module)
	}()
	<-done
	return v, err
}

// setPrepared puts what waits for a reload in the place of what did before. The lock is held.
func (h *Host) setPrepared(next []*version) {
	for _, v := range h.prepared {
		h.releaseVersion(v)
	}
	h.prepared = next
}

// releaseVersion ends one use of a version, and closes it with the last. The lock is held.
func (h *Host) releaseVersion(v *version) {
	if v.users > 0 {
		v.users--
	}
	if v.users == 0 {
		v.close()
	}
}
