package plugin

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	phases Phase // 0 until it has started

	runtime     wazero.Runtime
	code        wazero.CompiledModule
	store       *store.Store
	workers     []*worker
	idle        chan *worker // has room for all workers
	workersDone sync.WaitGroup

	deferred     chan *Call     // calls that nobody waits for
	deferredDone sync.WaitGroup // the goroutine that makes them, until deferred is closed

	users   int         // generations that use it; guarded by the host's lock
	closing atomic.Bool // deferred calls that still wait are dropped

	mu        sync.Mutex // guards the fields from here to logBucket
	gate      *gate.Gate
	changed   chan struct{} // closed, and replaced, when a call has left the gate
	logBucket logBucket

	counts counts
}

// counts is what a plug-in has done, for logs and tests.
type counts struct {
	Calls    atomic.Uint64 // made, also those that failed
	Failures atomic.Uint64
	Skipped  atomic.Uint64 // not made: no time, no instance, an open breaker, no processor time
	Rejected atomic.Uint64 // messages
	Refused  atomic.Uint64 // wishes that the host did not fulfil
	Dropped  atomic.Uint64 // deferred calls not made, or failed
	CPU      atomic.Int64  // processor time, ns
}

// hashOf is the hash that a module is known by.
func hashOf(module []byte) uint64 { return xxhash.Sum64(module) }

// moduleName is the hash of the module's bytes as logs and status have it.
func (v *version) moduleName() string { return fmt.Sprintf("%016x", v.hash) }

// key tells versions apart: what has the same is the same.
func (v *version) key() string { return fmt.Sprintf("%x %+v", v.hash, v.cfg) }

// close ends the version and waits until it has. No call may be made or deferred any more.
func (v *version) close() {
	v.closing.Store(true)
	close(v.deferred)
	v.deferredDone.Wait()
	for range v.workers {
		close((<-v.idle).jobs)
	}
	v.workersDone.Wait()
	if v.phases != 0 {
		v.logCounts()
	}
	if v.runtime != nil {
		_ = v.runtime.Close(context.Background())
	}
}

func (v *version) logCounts() {
	c := &v.counts
	v.host.log.Info("plug-in stopped", "plugin", v.cfg.Name, "calls", c.Calls.Load(), "failures", c.Failures.Load(),
		"skipped", c.Skipped.Load(), "rejected", c.Rejected.Load(), "refused", c.Refused.Load(),
		"dropped", c.Dropped.Load(), "cpu", time.Duration(c.CPU.Load()))
}
