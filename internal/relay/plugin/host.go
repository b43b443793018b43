package plugin

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tetratelabs/wazero"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
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

// generation is a list of plug-ins as one reload has made it. A message meets one generation for its whole arrival.
type generation struct {
	number int
	chain  []*version
	users  atomic.Int64 // calls under way, and one for being the newest
}

// New returns a host with the plug-ins of a configuration, all loaded. fronts tells what each front lets plug-ins
// change.
func New(cfg *config.Config, fronts []rules.Front, log *slog.Logger) (*Host, error) {
	l := &cfg.Limits
	h := &Host{limits: l, log: log, seed: cfg.Seed, fronts: map[string]*rules.Front{}, stores: map[string]*store.Store{},
		owners: map[string]config.Plugin{}, stop: make(chan struct{}), storeDir: cfg.PluginHost.Store,
		rules: rules.Limits{Headers: l.PluginHeaders, NameSize: 64, ValueSize: l.PluginValue,
			HeaderSize: l.PluginHeaderSize, BodySize: l.BodySize, MaxRetryAfter: l.PluginRetryAfterMax}}
	h.memories.maxBytes = l.PluginMemory
	for i := range cfg.Settings.Classes {
		h.classes = append(h.classes, cfg.Settings.Classes[i].Name)
	}
	for i := range fronts {
		h.fronts[fronts[i].Name] = &fronts[i]
	}
	if dir := cfg.PluginHost.Cache; dir != "" {
		cache, err := wazero.NewCompilationCacheWithDir(dir)
		if err != nil {
			return nil, &config.KeyError{Key: "plugin_host.cache", Reason: err.Error()}
		}
		h.cache, h.cacheDir = cache, dir
	}
	if h.storeDir != "" {
		if err := os.MkdirAll(h.storeDir, 0o700); err != nil {
			return nil, &config.KeyError{Key: "plugin_host.store", Reason: err.Error()}
		}
	}
	if err := h.Reload(cfg); err != nil {
		return nil, err
	}
	h.serving = true
	h.saving.Add(1)
	go h.save()
	return h, nil
}

// Reload puts the plug-ins of a configuration in the place of those that run, at one point between messages. Those
// that are the same go on as they are. If one can't be loaded nothing changes, and the error names its key.
func (h *Host) Reload(cfg *config.Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.loaded()
	h.number++
	next := &generation{number: h.number}
	next.users.Store(1)
	fresh := 0
	for i, c := range cfg.Plugins {
		v, err := h.take(c, old)
		if err != nil {
			for _, v := range next.chain {
				h.releaseVersion(v)
			}
			err = &config.KeyError{Key: c.Key, Reason: fmt.Sprintf("plug-in %s: %v", c.Name, err)}
			h.status(cfg, err)
			return err
		}
		if old[v.key()] != v {
			fresh++
			h.log.Info("plug-in ready", "plugin", c.Name, "order", i, "abi", v.abi, "module", fmt.Sprintf("%016x", v.hash),
				"phases", phaseNames(v.phases), "instances", c.Instances)
		}
		v.users++
		next.chain = append(next.chain, v)
	}
	h.liveGenerations.Add(1)
	before := h.current.Swap(next)
	h.release(before)
	h.setPrepared(nil)
	if h.cacheDir != "" && fresh > 0 {
		h.trimCache()
	}
	if h.status(cfg, nil); fresh > 0 {
		debug.FreeOSMemory() // to load a module takes many times what it keeps
	}
	return nil
}

// take returns the version of a configuration, loaded anew unless the same runs already.
func (h *Host) take(c config.Plugin, old map[string]*version) (*version, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	same := version{cfg: c, hash: hashOf(text)}
	if v := old[same.key()]; v != nil {
		return v, nil
	}
	// Compiling may take a second of processor time: on a thread that gives way, which ends with its goroutine.
	type loaded struct {
		v   *version
		err error
	}
	done := make(chan loaded)
	go func() {
		if h.serving && h.limits.PluginYields {
			runtime.LockOSThread()
			yieldToOthers()
		}
		v, err := h.load(c, text)
		done <- loaded{v, err}
	}()
	l := <-done
	return l.v, l.err
}

// releaseVersion drops a version that no generation has come to use. The lock is held.
func (h *Host) releaseVersion(v *version) {
	if v.users > 0 {
		v.users--
	}
	if v.users == 0 {
		v.close()
	}
}

// release ends one use of a generation; the last closes what no other generation uses.
func (h *Host) release(g *generation) {
	if g == nil || g.users.Add(-1) > 0 {
		return
	}
	go func() { // the caller may hold the lock, and answers a client
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, v := range g.chain {
			h.releaseVersion(v)
		}
		h.log.Info("plug-in generation drained", "generation", g.number)
		h.liveGenerations.Done()
	}()
}

// use returns the newest generation, which stays loaded until it is released.
func (h *Host) use() *generation {
	for {
		g := h.current.Load()
		if g == nil {
			return nil
		}
		for n := g.users.Load(); n > 0; n = g.users.Load() {
			if g.users.CompareAndSwap(n, n+1) {
				return g
			}
		}
	}
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

// OnArrival lets the plug-ins see a message before it is taken on, in their order, and fixes what it is sent as.
func (h *Host) OnArrival(front string, m *engine.Message) engine.Ruling {
	g := h.use()
	if g == nil {
		return engine.Ruling{}
	}
	defer h.release(g)
	var c *Call
	by := time.Time{}
	for _, v := range g.chain {
		if !v.applies(Arrival, front, m.Partner, m.Class) {
			continue
		}
		now := time.Now()
		if c == nil {
			by = now.Add(h.limits.PluginBudget)
			c = &Call{Phase: Arrival, Front: front, ID: m.ID, Key: m.Key, Partner: m.Partner, Class: m.Class,
				ClassName: h.class(m.Class), Resubmitted: m.Resubmitted, In: m.Header, Body: bytes.Clone(m.Body), guard: h.guard(front)}
		}
		// A call of its own for each: one that was left to itself may still read the last.
		mine := *c
		mine.Now, mine.TimeLeft = now, m.Deadline.Sub(now)
		out, err := v.attempt(&mine, by)
		switch {
		case err != nil && v.cfg.Reject:
			v.counts.Rejected.Add(1)
			return engine.Ruling{Verdict: engine.Busy, Reason: "plug-in " + v.cfg.Name + " is out of order"}
		case err != nil:
			continue
		case out.Reject:
			v.counts.Rejected.Add(1)
			return engine.Ruling{Verdict: engine.Rejected, Status: out.Status, Reason: out.Reason}
		}
		c.Shape = out.Shape
		if out.Body != nil {
			c.Body = out.Body
			m.Body = out.Body
		}
	}
	if c != nil {
		m.ExtraHeaders = c.Shape
	}
	return engine.Ruling{}
}

func (h *Host) guard(front string) *rules.Front {
	if f := h.fronts[front]; f != nil {
		return f
	}
	return &rules.Front{Name: front}
}

// SampleBytes is how many bytes of an answer's body some plug-in wants to see; below 0: none wants to see the answer.
func (h *Host) SampleBytes(front string, partner, class int) int {
	g := h.current.Load()
	if g == nil {
		return -1
	}
	for _, v := range g.chain {
		if v.applies(Answer, front, partner, class) {
			return h.limits.PluginSample
		}
	}
	return -1
}

// OnAnswer shows the plug-ins an answer and makes of its outcomes what they may. Of those that nothing may be made
// of they hear later.
func (h *Host) OnAnswer(front string, step *engine.Attempt, outs []engine.Outcome) {
	g := h.use()
	if g == nil {
		return
	}
	defer h.release(g)
	by := time.Now().Add(h.limits.PluginBudget)
	for i := range outs {
		h.answered(g, front, &step.To, &step.Items[i], step.SampledAnswer(), &outs[i], by)
	}
}

func (h *Host) answered(g *generation, front string, to *engine.Destination, it *engine.Item, seen *engine.AnswerSample,
	o *engine.Outcome, by time.Time) {
	for _, v := range g.chain {
		if !v.applies(Answer, front, to.Partner, it.Class) {
			continue
		}
		now := time.Now()
		a := rules.Answer{Result: o.Result, Wait: o.RetryAfter, Over: o.Final}
		c := &Call{Phase: Answer, Front: front, ID: it.ID, Key: it.Key, Partner: to.Partner, Class: it.Class,
			ClassName: h.class(it.Class), In: seen.Header, Body: seen.Body, Destination: to.Name, Status: seen.Status, Answer: a, Now: now}
		// The least that could be asked for: where that is refused there is nothing to wait for.
		if _, why := rules.Tighten(a, rules.Ask{Wait: a.Wait + 1}, &h.rules); why != rules.None {
			v.later(c)
			continue
		}
		out, err := v.attempt(c, by)
		if err != nil {
			continue // an answer is never worse for a plug-in that fails
		}
		a, _ = rules.Tighten(a, out.Ask, &h.rules)
		o.Result, o.RetryAfter = a.Result, a.Wait
	}
}

// OnEnd tells the plug-ins, later, that a message is over.
func (h *Host) OnEnd(front string, e engine.End) {
	g := h.use()
	if g == nil {
		return
	}
	defer h.release(g)
	for _, v := range g.chain {
		if v.applies(End, front, e.Partner, e.Class) {
			v.later(&Call{Phase: End, Front: front, ID: e.ID, Key: e.Key, Partner: e.Partner, Class: e.Class,
				ClassName: h.class(e.Class), Result: e.Result})
		}
	}
}

// storeOf returns a plug-in's store, which outlives its versions. The lock is held.
func (h *Host) storeOf(c *config.Plugin) (*store.Store, error) {
	if s := h.stores[c.Name]; s != nil && h.owners[c.Name].StoreKB == c.StoreKB {
		return s, nil
	}
	s := store.New(store.Limits{Bytes: c.StoreKB << 10, Entries: c.StoreKB << 10 / 64, KeySize: 128, ValueSize: 4 << 10})
	if h.storeDir != "" && c.StoreKB > 0 {
		file := store.File(h.storeDir, c.Name)
		if old := h.stores[c.Name]; old != nil { // its quota is another now
			if err := old.Save(file, c.Name, time.Now()); err != nil {
				return nil, err
			}
		}
		if err := s.Load(file, c.Name, time.Now()); err != nil {
			h.log.Warn("plug-in store not loaded, beginning empty", "plugin", c.Name, "err", err)
			_ = os.Rename(file, file+".bad")
		}
	}
	h.stores[c.Name], h.owners[c.Name] = s, *c
	return s, nil
}

func (h *Host) save() {
	defer h.saving.Done()
	tick := time.NewTicker(h.limits.PluginSave)
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case now := <-tick.C:
			h.mu.Lock()
			h.saveStores(now)
			h.mu.Unlock()
		}
	}
}

func (h *Host) saveStores(now time.Time) {
	if h.storeDir == "" {
		return
	}
	for name, s := range h.stores {
		if err := s.Save(store.File(h.storeDir, name), name, now); err != nil {
			h.log.Warn("plug-in store not saved", "plugin", name, "err", err)
		}
	}
}

// trimCache removes the oldest compiled modules beyond the limit.
func (h *Host) trimCache() {
	type file struct {
		path string
		size int64
		at   time.Time
	}
	var all []file
	total := int64(0)
	_ = filepath.WalkDir(h.cacheDir, func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				all = append(all, file{path, info.Size(), info.ModTime()})
				total += info.Size()
			}
		}
		return nil
	})
	slices.SortFunc(all, func(a, b file) int { return a.at.Compare(b.at) })
	for _, f := range all {
		if total <= h.limits.PluginCache {
			return
		}
		if os.Remove(f.path) == nil {
			total -= f.size
		}
	}
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
			s.Plugins = append(s.Plugins, PluginStatus{v.cfg.Name, v.cfg.File, fmt.Sprintf("%016x", v.hash), v.abi,
				phaseNames(v.phases)})
		}
	}
	return s
}
