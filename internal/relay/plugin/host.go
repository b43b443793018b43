package plugin

import (
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

// maxHeaderName is how many bytes the name of a header that a plug-in sets may have.
const maxHeaderName = 64

// Bounds of the circuit breakers that no setting has.
const (
	failureDecay        = 0.05 // failures that a good call takes back
	sharedOpenThreshold = 4    // partners' breakers that count failures against the plug-in's own
)

// Host runs all plug-ins. Its methods are safe for concurrent use, but for Close.
type Host struct {
	limits   *config.Limits
	log      *slog.Logger
	seed     uint64
	classes  []string // names of the classes of messages, by number
	fronts   map[string]*rules.Front
	rules    rules.Limits
	memories memoryPool
	cache    wazero.CompilationCache // nil: none
	cacheDir string
	storeDir string // "": stores are not kept

	current atomic.Pointer[generation] // what messages meet; nil: none any more

	mu           sync.Mutex // guards reloads, and the fields from here to stop
	generationNo int        // of the last load, also one that failed
	prepared     []*version // loaded for a reload that is to come
	stores       map[string]*store.Store
	storeConfigs map[string]config.Plugin // under which each store was made
	serving      bool                     // the first load is done: from now on loading gives way to the relay

	stop            chan struct{}
	saving          sync.WaitGroup // the goroutine that saves stores, until stop is closed
	liveGenerations sync.WaitGroup // generations that are in use
}

// New returns a host with the plug-ins of a configuration, all loaded. fronts tells what each front lets plug-ins
// change. An error names the key of the configuration at fault. Whoever has the host calls Close.
func New(cfg *config.Config, fronts []rules.Front, log *slog.Logger) (*Host, error) {
	host := newHost(cfg, fronts, log)
	if err := host.openCache(cfg.PluginHost.Cache); err != nil {
		return nil, err
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
	go host.saveRegularly()
	return host, nil
}

// newHost returns a host without plug-ins.
func newHost(cfg *config.Config, fronts []rules.Front, log *slog.Logger) *Host {
	limits := &cfg.Limits
	host := &Host{
		limits: limits, log: log, seed: cfg.Seed, storeDir: cfg.PluginHost.Store,
		fronts: map[string]*rules.Front{}, stores: map[string]*store.Store{}, storeConfigs: map[string]config.Plugin{},
		stop: make(chan struct{}),
		rules: rules.Limits{
			Headers: limits.PluginHeaders, NameSize: maxHeaderName, ValueSize: limits.PluginValue, HeaderSize: limits.PluginHeaderSize,
			BodySize: limits.BodySize, MaxRetryAfter: limits.PluginRetryAfterMax,
		},
	}
	host.memories.maxBytes = limits.PluginMemory
	for i := range cfg.Settings.Classes {
		host.classes = append(host.classes, cfg.Settings.Classes[i].Name)
	}
	for i := range fronts {
		host.fronts[fronts[i].Name] = &fronts[i]
	}
	return host
}

// openCache opens the folder of compiled modules; "": there is none.
func (h *Host) openCache(dir string) error {
	if dir == "" {
		return nil
	}
	cache, err := wazero.NewCompilationCacheWithDir(dir)
	if err != nil {
		return config.NewKeyError("plugin_host.cache", err.Error())
	}
	h.cache, h.cacheDir = cache, dir
	return nil
}

// Close ends all plug-ins and saves their stores. Calls under way end within their deadlines; it waits for them. It is
// not for concurrent use; a second call does nothing.
func (h *Host) Close() {
	select {
	case <-h.stop:
		return
	default:
		close(h.stop)
	}
	h.saving.Wait()
	h.mu.Lock()
	last := h.current.Swap(nil)
	h.setPrepared(nil)
	h.mu.Unlock()
	h.release(last)
	h.liveGenerations.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saveStores(time.Now())
}

// Procs is how many threads may run plug-ins at once; the runtime needs as many processors more, so that no
// plug-in holds one that the relay would use.
func (h *Host) Procs() int {
	instances := 0
	if g := h.current.Load(); g != nil {
		for _, v := range g.chain {
			instances += v.cfg.Instances
		}
	}
	return min(instances, h.limits.PluginThreads)
}

// gateLimits is what the gate of a plug-in is bounded by.
func (h *Host) gateLimits(cfg *config.Plugin) gate.Limits {
	return gate.Limits{
		Instances: cfg.Instances, CPUShare: cfg.Share, CPUBurst: h.limits.PluginBurst,
		FailureThreshold: h.limits.PluginBreakerThreshold, FailureDecay: failureDecay,
		OpenFor: h.limits.PluginBreakerOpen, MaxOpenFor: h.limits.PluginBreakerOpenMax,
		HalfOpenTrials: h.limits.PluginBreakerTrials, MaxPartners: h.limits.PluginBreakers, SharedThreshold: sharedOpenThreshold,
	}
}

// className is the name of a class of messages; "": there is none of that number.
func (h *Host) className(class int) string {
	if class >= 0 && class < len(h.classes) {
		return h.classes[class]
	}
	return ""
}

// CallOnce makes one call to a plug-in, for tools: neither scope nor phase is asked for. Its error is one of this
// package's, or the plug-in's trap as an *EngineError.
func (h *Host) CallOnce(name string, c Call) (Outcome, error) {
	g := h.acquire()
	if g == nil {
		return Outcome{}, ErrBudget
	}
	defer h.release(g)
	for _, v := range g.chain {
		if v.cfg.Name == name {
			c.guard = h.guard(c.Front)
			return v.attemptUntil(&c, time.Now().Add(v.cfg.Timeout))
		}
	}
	return Outcome{}, &UnknownPluginError{Name: name}
}

// Rules are the limits on what plug-ins may ask for. They must not be written to.
func (h *Host) Rules() *rules.Limits { return &h.rules }

// Status tells what runs.
func (h *Host) Status() Status {
	s := Status{At: time.Now()}
	if g := h.current.Load(); g != nil {
		s.Generation = g.number
		for _, v := range g.chain {
			s.Plugins = append(s.Plugins, StatusEntry{Name: v.cfg.Name, File: v.cfg.File, Module: v.moduleName(), ABI: v.abi,
				Phases: phaseNames(v.phases)})
		}
	}
	return s
}
