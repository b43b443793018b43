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

// maxHeaderName is the maximum length in bytes of a header name that a plug-in sets.
const maxHeaderName = 64

// Limits of the circuit breakers that can't be configured.
const (
	failureDecay          = 0.05 // subtracted from the failure count by each successful call
	openPartnersThreshold = 4    // failures count for the plug-in's breaker if at least this many partners' breakers are not closed
)

// Host runs all plug-ins. Its methods are safe for concurrent use, except Close.
type Host struct {
	limits   *config.Limits
	log      *slog.Logger
	seed     uint64
	classes  []string // names of the message classes, by number
	fronts   map[string]*rules.Front
	rules    rules.Limits
	memories memoryPool
	cache    wazero.CompilationCache // nil: none
	cacheDir string
	storeDir string // "": stores are not saved

	current atomic.Pointer[generation] // handles the messages that arrive now; nil: the host is closed

	mu           sync.Mutex // guards reloads, and the fields from here to stop
	generationNo int        // of the last load, including failed ones
	prepared     []*version // loaded by Prepare for the next Reload
	stores       map[string]*store.Store
	storeConfigs map[string]config.Plugin // configuration with which each store was created
	serving      bool                     // the first load is done: later loads run at low priority

	stop            chan struct{}
	saving          sync.WaitGroup // the goroutine that saves stores, until stop is closed
	liveGenerations sync.WaitGroup // generations that are in use
}

// New returns a host that has loaded all plug-ins of a configuration. fronts specifies what plug-ins may change at each front. An
// error names the configuration key that caused it. The caller must call Close.
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

// newHost returns a host that has no plug-ins yet.
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

// openCache opens the folder of compiled modules; "": no cache is used.
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

// Close stops all plug-ins and saves their stores. It waits for the calls in progress, which end by their deadlines. Close must
// not be called concurrently; a second call does nothing.
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

// Procs returns how many threads may run plug-ins at the same time. GOMAXPROCS must be raised by that number, so that plug-ins don't
// occupy the processors that the relay would use.
func (h *Host) Procs() int {
	instances := 0
	if g := h.current.Load(); g != nil {
		for _, v := range g.chain {
			instances += v.cfg.Instances
		}
	}
	return min(instances, h.limits.PluginThreads)
}

// gateLimits returns the limits for a plug-in's gate.
func (h *Host) gateLimits(cfg *config.Plugin) gate.Limits {
	return gate.Limits{
		Instances: cfg.Instances, CPUShare: cfg.Share, CPUBurst: h.limits.PluginBurst,
		FailureThreshold: h.limits.PluginBreakerThreshold, FailureDecay: failureDecay,
		OpenFor: h.limits.PluginBreakerOpen, MaxOpenFor: h.limits.PluginBreakerOpenMax,
		HalfOpenTrials: h.limits.PluginBreakerTrials, MaxPartners: h.limits.PluginBreakers, OpenPartnersThreshold: openPartnersThreshold,
	}
}

// className returns the name of a message class; "": there is no class with that number.
func (h *Host) className(class int) string {
	if class >= 0 && class < len(h.classes) {
		return h.classes[class]
	}
	return ""
}

// CallOnce makes one call to a plug-in, for tools. It ignores the configured scope and phases. Its error is one of this package's;
// a trap is an *EngineError.
func (h *Host) CallOnce(name string, c Call) (Outcome, error) {
	g := h.acquire()
	if g == nil {
		return Outcome{}, ErrBudget
	}
	defer h.release(g)
	for _, v := range g.chain {
		if v.cfg.Name == name {
			c.frontRules = h.frontRules(c.Front)
			return v.attemptUntil(&c, time.Now().Add(v.cfg.Timeout))
		}
	}
	return Outcome{}, &UnknownPluginError{Name: name}
}

// Rules returns the limits on what plug-ins may request. The caller must not modify them.
func (h *Host) Rules() *rules.Limits { return &h.rules }

// Status describes the plug-ins that run.
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
