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
				h.letGo(v)
			}
			return &config.KeyError{Key: c.Key, Reason: fmt.Sprintf("plug-in %s: %v", c.Name, err)}
		}
		v.users++
		next = append(next, v)
	}
	h.prepared(next)
	return nil
}

// prepared puts what waits for a reload in the place of what did before. The lock is held.
func (h *Host) prepared(next []*version) {
	for _, v := range h.ready {
		h.letGo(v)
	}
	h.ready = next
}

// loaded is what runs or waits for a reload, by its key. The lock is held.
func (h *Host) loaded() map[string]*version {
	all := map[string]*version{}
	for _, v := range h.ready {
		all[v.key()] = v
	}
	if g := h.now.Load(); g != nil {
		for _, v := range g.chain {
			all[v.key()] = v
		}
	}
	return all
}
