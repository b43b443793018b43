package plugin

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tetratelabs/wazero"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/gate"
	"mastusher/internal/relay/plugin/store"
)

// version is one module under one configuration, compiled and ready. It does not change; a reload puts another in
// its place.
type version struct {
	host   *Host
	cfg    config.Plugin
	hash   uint64 // of the module's bytes
	abi    int
	phases Phase

	runtime        wazero.Runtime
	code           wazero.CompiledModule
	store          *store.Store
	idle           chan *worker
	workers        []*worker
	afterwards     chan *Call // what is told after the fact
	afterwardsDone sync.WaitGroup

	workersDone sync.WaitGroup
	users       int         // generations that use it; the host's lock
	closing     atomic.Bool // what is in the line is dropped

	mu       sync.Mutex // of the gate
	gate     *gate.Gate
	changed  chan struct{} // closed when a call has left while others wait
	logLines logBucket

	counts counts
}

// counts is what a plug-in has done, for logs and status.
type counts struct {
	Calls, Failures, Skipped, Rejected, Refused, Dropped atomic.Uint64
	CPU                                                  atomic.Int64 // ns
}

// key tells versions apart: what has the same is the same.
func (v *version) key() string { return fmt.Sprintf("%x %+v", v.hash, v.cfg) }

// close ends the version. No call may be made or put in the line any more.
func (v *version) close() {
	v.closing.Store(true)
	close(v.afterwards)
	v.afterwardsDone.Wait()
	for range v.workers {
		close((<-v.idle).jobs)
	}
	v.workersDone.Wait()
	if c := &v.counts; v.phases != 0 {
		v.host.log.Info("plug-in stopped", "plugin", v.cfg.Name, "calls", c.Calls.Load(), "failures", c.Failures.Load(),
			"skipped", c.Skipped.Load(), "rejected", c.Rejected.Load(), "refused", c.Refused.Load(),
			"dropped", c.Dropped.Load(), "cpu", time.Duration(c.CPU.Load()))
	}
	if v.runtime != nil {
		_ = v.runtime.Close(context.Background())
	}
}
