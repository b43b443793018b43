package plugin

import "sync/atomic"

// generation is a list of plug-ins as one reload has made it. A message meets one generation for its whole arrival.
type generation struct {
	number int
	chain  []*version   // in the order in which they are called
	users  atomic.Int64 // calls under way, and one for being the newest; at 0 it never rises again
}

func newGeneration(number int, chain []*version) *generation {
	g := &generation{number: number, chain: chain}
	g.users.Store(1)
	return g
}

// acquire returns the newest generation, which stays loaded until it is released; nil: the host is closed.
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

// release ends one use of a generation; the last closes what no other generation uses.
func (h *Host) release(g *generation) {
	if g == nil || g.users.Add(-1) > 0 {
		return
	}
	go func() { // the caller may hold the lock, and answers a client; Close waits for the end of this
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, v := range g.chain {
			h.releaseVersion(v)
		}
		h.log.Info("plug-in generation drained", "generation", g.number)
		h.liveGenerations.Done()
	}()
}
