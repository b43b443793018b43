package plugin

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tetratelabs/wazero"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/gate"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/store"
)

// Host runs all plug-ins. Its methods are safe for concurrent use.
type Host struct {
	limits   *config.Limits
	log      *slog.Logger
	seed     uint64
	classes  []string
	fronts   map[string]*rules.Front
	rules    rules.Limits
	memories memories
	cache    wazero.CompilationCache // nil: none
	cacheDir string
	storeDir string // "": stores are not kept

	current atomic.Pointer[generation] // what messages meet

	mu              sync.Mutex // of reloads and of what follows
	number          int
	prepared        []*version // loaded for a reload that is to come
	stores          map[string]*store.Store
	owners          map[string]config.Plugin // of stores
	serving         bool                     // the first load is done: from now on loading gives way to the relay
	stop            chan struct{}
	saving          sync.WaitGroup
	liveGenerations sync.WaitGroup // generations that are in use
}

// New returns a host with the plug-ins of a configuration, all loaded. fronts tells what each front lets plug-ins
// change.
func New(cfg *config.Config, fronts []rules.Front, log *slog.Logger) (*Host, error) {
	l := &cfg.Limits
	host := &Host{limits: l, log: log, seed: cfg.Seed, fronts: map[string]*rules.Front{}, stores: map[string]*store.Store{},
		owners: map[string]config.Plugin{}, stop: make(chan struct{}), storeDir: cfg.PluginHost.Store,
		rules: rules.Limits{Headers: l.PluginHeaders, NameSize: 64, ValueSize: l.PluginValue,
			HeaderSize: l.PluginHeaderSize, BodySize: l.BodySize, MaxRetryAfter: l.PluginRetryAfterMax}}
	host.memories.maxBytes = l.PluginMemory
	for i := range cfg.Settings.Classes {
		host.classes = append(host.classes, cfg.Settings.Classes[i].Name)
	}
	for i := range fronts {
		host.fronts[fronts[i].Name] = &fronts[i]
	}
	if dir := cfg.PluginHost.Cache; dir != "" {
		cache, err := wazero.NewCompilationCacheWithDir(dir)
		if err != nil {
			return nil, config.NewKeyError("plugin_host.cache", err.Error())
		}
		host.cache, host.cacheDir = cache, dir
	}
	if host.storeDir != "" {
		if err := os.MkdirAll(host.storeDir, 0o700); err != nil {
			return nil, config.NewKeyError("plugin_host.store", err.Error())
		}
	}
	if err := host.Reload(cfg); err != nil {
		return nil, err
	}
	host.serving = true
	host.saving.Add(1)
	go host.save()
	return host, nil
}

// Close ends all plug-ins and saves their stores. It is not for concurrent use.
func (h *Host) Close() {
	select {
	case <-h.stop:
		return
	default:
		close(h.stop)
	}
	h.saving.Wait()
	h.mu.Lock()
	g := h.current.Swap(nil)
	h.setPrepared(nil)
	h.mu.Unlock()
	h.release(g)
	h.liveGenerations.Wait() // calls under way end within their deadlines
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saveStores(time.Now())
}

// Procs is how many threads may run plug-ins at once; the runtime needs as many processors more, so that no
// plug-in holds one that the relay would use.
func (h *Host) Procs() int {
	n := 0
	if g := h.current.Load(); g != nil {
		for _, v := range g.chain {
			n += v.cfg.Instances
		}
	}
	return min(n, h.limits.PluginThreads)
}

func (h *Host) gateLimits(c *config.Plugin) gate.Limits {
	return gate.Limits{Instances: c.Instances, Share: c.Share, Burst: h.limits.PluginBurst, Strikes: h.limits.PluginBreakerThreshold,
		Pardon: 0.05, Rest: h.limits.PluginBreakerOpen, MaxOpen: h.limits.PluginBreakerOpenMax, Trials: h.limits.PluginBreakerTrials,
		Partners: h.limits.PluginBreakers, SharedOpen: 4}
}

func (h *Host) class(n int) string {
	if n >= 0 && n < len(h.classes) {
		return h.classes[n]
	}
	return ""
}

// CallOnce makes one call to a plug-in, for tools: neither scope nor phase is asked for.
func (h *Host) CallOnce(name string, c Call) (Outcome, error) {
	g := h.use()
	if g == nil {
		return Outcome{}, ErrBudget
	}
	defer h.release(g)
	for _, v := range g.chain {
		if v.cfg.Name == name {
			c.guard = h.guard(c.Front)
			return v.attemptBy(&c, time.Now().Add(v.cfg.Timeout))
		}
	}
	return Outcome{}, fmt.Errorf("plugin: none is called %s", name)
}

// Rules are the limits on what plug-ins may ask for.
func (h *Host) Rules() *rules.Limits { return &h.rules }

// Status tells what runs.
func (h *Host) Status() Status {
	s := Status{At: time.Now()}
	if g := h.current.Load(); g != nil {
		s.Generation = g.number
		for _, v := range g.chain {
			s.Plugins = append(s.Plugins, StatusEntry{v.cfg.Name, v.cfg.File, fmt.Sprintf("%016x", v.hash), v.abi,
				phaseNames(v.phases)})
		}
	}
	return s
}
