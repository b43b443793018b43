package group

import (
	"errors"
	"time"
)

// errStopped is the cause of the errors of a stopped member's calls.
var errStopped = errors.New("the member has stopped")

// stoppedWake is how long a stopped member may sleep.
const stoppedWake = time.Hour

// Stop ends the member for good at its next iteration: to the others it is down. What it has on its disk stays, so that it
// can be opened again; done is called once the disk is free for that. It must not block.
func (g *Group) Stop(done func()) {
	g.mutex.Lock()
	g.onStopped = done
	g.mutex.Unlock()
	g.signal()
}

// isStopped tells whether the member has ended.
func (g *Group) isStopped() bool { return errors.Is(g.failed(), errStopped) }

// stop ends the member if that was requested.
func (g *Group) stop() bool {
	g.mutex.Lock()
	done := g.onStopped
	g.onStopped = nil
	g.mutex.Unlock()
	if done == nil {
		return false
	}
	g.disable(errStopped)
	g.takeInput()
	g.awaitCompaction()
	if g.disk != nil { // else a failed disk is closed already
		_ = g.disk.Close() // everything acknowledged has been synced
	}
	done()
	return true
}
