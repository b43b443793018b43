package group

import (
	"errors"
	"time"
)

// errStopped is what calls of a member get that was stopped.
var errStopped = errors.New("the member was stopped")

// idle is how long a stopped member may go without a turn.
const idle = time.Hour

// Stop ends the member for good at its next turn: to the others it is one that is down. What it has on its disk stays, so that
// it can be opened again; done is told once the disk is free for that. It must not block.
func (g *Group) Stop(done func()) {
	g.mutex.Lock()
	g.stopping = done
	g.mutex.Unlock()
	g.poke()
}

// isStopped tells whether the member has ended.
func (g *Group) isStopped() bool { return errors.Is(g.brokenBy(), errStopped) }

// stop ends the member if that was asked for.
func (g *Group) stop() bool {
	g.mutex.Lock()
	done := g.stopping
	g.stopping = nil
	g.mutex.Unlock()
	if done == nil {
		return false
	}
	g.disable(errStopped)
	g.takeInput()
	if g.disk != nil { // else a broken disk has been given up already
		_ = g.disk.Close() // all that counts has been synced
	}
	done()
	return true
}
