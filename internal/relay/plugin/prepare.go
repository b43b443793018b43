package plugin

import (
	"fmt"

	"mastusher/internal/relay/config"
)

// Prepare loads the plug-ins of a configuration beside those that run, so that a Reload takes them over at once, or tells why
// they can't run. What was prepared before and is not asked for again is dropped.
func (h *Host) Prepare(cfg *config.Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, next := h.loaded(), []*version(nil)
	for _, c := range cfg.Plugins {
		v, err := h.take(c, old)
		if err != nil {
			for _, v := range next {
				h.releaseVersion(v)
			}
			return config.NewKeyError(c.Key, fmt.Sprintf("plug-in %s: %v", c.Name, err))
		}
		v.users++
		next = append(next, v)
	}
	h.setPrepared(next)
	return nil
}

// setPrepared puts what waits for a reload in the place of what did before. The lock is held.
func (h *Host) setPrepared(next []*version) {
	for _, v := range h.prepared {
		h.releaseVersion(v)
	}
	h.prepared = next
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
