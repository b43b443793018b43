package plugin

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"mastusher/internal/relay/config"
)

// generation is a list of plug-ins as one reload has made it. A message meets one generation for its whole arrival.
type generation struct {
	number int
	chain  []*version
	users  atomic.Int64 // calls under way, and one for being the newest
}

// Reload puts the plug-ins of a configuration in the place of those that run, at one point between messages. Those
// that are the same go on as they are. If one can't be loaded nothing changes, and the error names its key.
func (h *Host) Reload(cfg *config.Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.loaded()
	h.number++
	next := &generation{number: h.number}
	next.users.Store(1)
	fresh := 0
	for i, c := range cfg.Plugins {
		v, err := h.take(c, old)
		if err != nil {
			for _, v := range next.chain {
				h.releaseVersion(v)
			}
			err = config.NewKeyError(c.Key, fmt.Sprintf("plug-in %s: %v", c.Name, err))
			h.status(cfg, err)
			return err
		}
		if old[v.key()] != v {
			fresh++
			h.log.Info("plug-in ready", "plugin", c.Name, "order", i, "abi", v.abi, "module", fmt.Sprintf("%016x", v.hash),
				"phases", phaseNames(v.phases), "instances", c.Instances)
		}
		v.users++
		next.chain = append(next.chain, v)
	}
	h.liveGenerations.Add(1)
	before := h.current.Swap(next)
	h.release(before)
	h.setPrepared(nil)
	if h.cacheDir != "" && fresh > 0 {
		h.trimCache()
	}
	if h.status(cfg, nil); fresh > 0 {
		debug.FreeOSMemory() // to load a module takes many times what it keeps
	}
	return nil
}

// take returns the version of a configuration, loaded anew unless the same runs already.
func (h *Host) take(c config.Plugin, old map[string]*version) (*version, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	same := version{cfg: c, hash: hashOf(text)}
	if v := old[same.key()]; v != nil {
		return v, nil
	}
	// Compiling may take a second of processor time: on a thread that gives way, which ends with its goroutine.
	type loaded struct {
		v   *version
		err error
	}
	done := make(chan loaded)
	go func() {
		if h.serving && h.limits.PluginYields {
			runtime.LockOSThread()
			yieldToOthers()
		}
		v, err := h.load(c, text)
		done <- loaded{v, err}
	}()
	l := <-done
	return l.v, l.err
}

// releaseVersion drops a version that no generation has come to use. The lock is held.
func (h *Host) releaseVersion(v *version) {
	if v.users > 0 {
		v.users--
	}
	if v.users == 0 {
		v.close()
	}
}

// release ends one use of a generation; the last closes what no other generation uses.
func (h *Host) release(g *generation) {
	if g == nil || g.users.Add(-1) > 0 {
		return
	}
	go func() { // the caller may hold the lock, and answers a client
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, v := range g.chain {
			h.releaseVersion(v)
		}
		h.log.Info("plug-in generation drained", "generation", g.number)
		h.liveGenerations.Done()
	}()
}

// use returns the newest generation, which stays loaded until it is released.
func (h *Host) use() *generation {
	for {
		g := h.current.Load()
		if g == nil {
			return nil
		}
		for n := g.users.Load(); n > 0; n = g.users.Load() {
			if g.users.CompareAndSwap(n, n+1) {
				return g
			}
		}
	}
}
