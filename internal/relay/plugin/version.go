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

// version is one module with one configuration, compiled and with its instances started. Module and configuration never change; a
// reload replaces the version.
type version struct {
	host   *Host
	cfg    config.Plugin
	hash   uint64 // of the module's bytes
	abi    int
	phases Phase // 0 until the instances have started

	runtime     wazero.Runtime
	code        wazero.CompiledModule
	store       *store.Store
	workers     []*worker
	idle        chan *worker // with capacity for all workers
	workersDone sync.WaitGroup

	deferred     chan *Call     // calls whose result no one waits for
	deferredDone sync.WaitGroup // the goroutine that makes them, until deferred is closed

	users   int         // generations and prepared lists that use the version; guarded by Host.mu
	closing atomic.Bool // calls that are still queued in deferred are dropped

	mu        sync.Mutex // guards the fields from here to logBucket
	gate      *gate.Gate
	changed   chan struct{} // closed and replaced whenever a call has left the gate
	logBucket logBucket

	counts counts
}

// counts has a version's counters, for logs and tests.
type counts struct {
	Calls    atomic.Uint64 // calls made, including failed ones
	Failures atomic.Uint64 // calls that failed
	Skipped  atomic.Uint64 // calls not made: no time left, no instance free, breaker open, or CPU share used up
	Rejected atomic.Uint64 // messages
	Refused  atomic.Uint64 // requests of the plug-in that the host refused
	Dropped  atomic.Uint64 // deferred calls that were not made or failed
	CPU      atomic.Int64  // processor time, ns
}

// hashOf returns the hash that identifies a module.
func hashOf(module []byte) uint64 { return xxhash.Sum64(module) }

// moduleName returns the hash of the module's bytes, as used in logs and status.
func (v *version) moduleName() string { return fmt.Sprintf("%016x", v.hash) }

// key identifies a version: versions with the same key have the same module and configuration.
func (v *version) key() string { return fmt.Sprintf("%x %+v", v.hash, v.cfg) }

// close stops the version's goroutines and closes its instances. The caller ensures that no call is made or deferred any more.
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
