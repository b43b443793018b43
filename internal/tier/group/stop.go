package group

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"
)

// errStopped is the cause of the errors of a stopped member's calls.
var errStopped = errors.New("the member has stopped")

// stoppedWake is how long a stopped member may sleep.
const stoppedWake = time.Hour

// Stop ends the member for good at its next iteration: to the others it is down. What it has on its disk stays, so that it
// can be opened again; done is called once the disk is free for that. It must not block.
func (g *Group) Stop(done func()) { g.requestStop(false, done) }

// StopAndForget is Stop for a member that its group has replaced, as a majority has confirmed: its state and its log go from the
// disk too. Term and vote stay, so that it may be taken in again under its identity.
func (g *Group) StopAndForget(done func()) { g.requestStop(true, done) }

func (g *Group) requestStop(forget bool, done func()) {
	g.mutex.Lock()
	g.onStopped, g.forgetOnStop = done, forget
	g.mutex.Unlock()
	g.signal()
}

// isStopped tells whether the member has ended.
func (g *Group) isStopped() bool { return errors.Is(g.failed(), errStopped) }

// stop ends the member if that was requested.
func (g *Group) stop() bool {
	g.mutex.Lock()
	done, forget := g.onStopped, g.forgetOnStop
	g.onStopped = nil
	g.mutex.Unlock()
	if done == nil {
		return false
	}
	g.disable(errStopped)
	g.takeInput()
	g.awaitCompaction()
	if g.disk != nil { // else a failed disk is closed already
		if forget {
			g.forget()
		}
		_ = g.disk.Close() // everything acknowledged has been synced
	}
	done()
	return true
}

// forget removes the state and the log from the disk. Where that fails they stay, which costs space and nothing else.
func (g *Group) forget() {
	if err := g.disk.Forget(g.writeInitialChunks); err != nil {
		level.Warn(g.options.Logger).Log("msg", "removing replica's files failed", "group", g.options.Name, "err", err)
	}
}
