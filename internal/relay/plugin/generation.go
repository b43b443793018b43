package plugin

import "sync/atomic"

// generation is the list of plug-ins that one reload installed. A message is handled by a single generation during its whole arrival.
type generation struct {
	number int
	chain  []*version   // in the order in which they are called
	users  atomic.Int64 // reference count: calls in progress, and one while it is the newest; once 0 it stays 0
}

func newGeneration(number int, chain []*version) *generation {
	g := &generation{number: number, chain: chain}
	g.users.Store(1)
	return g
}

// acquire returns the newest generation, which stays loaded until release is called; nil: the host is closed.
func (h *Host) acquire() *generation {
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

// release drops one reference to a generation. The last one closes the versions that nothing else uses.
func (h *Host) release(g *generation) {
	if g == nil || g.users.Add(-1) > 0 {
		return
	}
	go func() { // not inline: the caller may hold h.mu or be answering a client. Close waits for this goroutine.
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, v := range g.chain {
			h.releaseVersion(v)
		}
		h.log.Info("plug-in generation drained", "generation", g.number)
		h.liveGenerations.Done()
	}()
}
