package group

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"
)

// errStopped is the cause with which calls to a stopped member fail.
var errStopped = errors.New("the member has stopped")

// stoppedWakeInterval is the time until the next iteration that RunOnce returns for a stopped member, which has nothing to do.
const stoppedWakeInterval = time.Hour

// Stop stops the member permanently at its next iteration. Its files are kept, so that Open can open it again; done is called once the
// member no longer uses the disk, and must not block.
func (g *Group) Stop(done func()) { g.requestStop(false, done) }

// StopAndForget stops a member that a majority has confirmed to be replaced, and also removes its state and log from the disk. Term
// and vote are kept, so that it can rejoin under the same identity without voting twice in a term.
func (g *Group) StopAndForget(done func()) { g.requestStop(true, done) }

func (g *Group) requestStop(forget bool, done func()) {
	g.mutex.Lock()
	g.onStopped, g.forgetOnStop = done, forget
	g.mutex.Unlock()
	g.signal()
}

// isStopped reports whether the member has stopped.
func (g *Group) isStopped() bool { return errors.Is(g.failureCause(), errStopped) }

// stop stops the member if that was requested, and reports whether it did.
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
	if g.disk != nil { // nil if a failed disk has been closed already
		if forget {
			g.forget()
		}
		_ = g.disk.Close() // the error doesn't matter: everything acknowledged has been synced
	}
	done()
	return true
}

// forget removes the state and the log from the disk. If that fails, the files only waste disk space.
func (g *Group) forget() {
	if err := g.disk.Forget(g.writeInitialChunks); err != nil {
		level.Warn(g.options.Logger).Log("msg", "removing replica's files failed", "group", g.options.Name, "err", err)
	}
}
