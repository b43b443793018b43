package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"mastusher/internal/relay/activitypub"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/peer"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/platform"
	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/vrrp"
)

// signals are those that the process has got. What ends it has a channel of its own, in which no other can take its place.
type signals struct{ end, other <-chan os.Signal }

// catch has signals kept from now on. It comes before all else: one that arrives while the relay starts waits for it to serve, and
// SIGHUP, which ends a process that does not ask for it, is read as what it means.
func catch() signals {
	end, other := make(chan os.Signal, 1), make(chan os.Signal, 16)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(other, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2)
	return signals{end, other}
}

// serve runs the relay until a signal says to end it and what it holds is finished or safe in the journal.
// Upon SIGHUP it reads its configuration again (by load) and moves to the discovery that is named there, also while it drains. A second
// signal to end it changes nothing.
func serve(cfg *config.Config, log *slog.Logger, got signals, load func() (*config.Config, error)) error {
	limitRuntime(cfg)
	entries, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err != nil {
		return err
	}
	r := &relay{cfg: cfg, log: log}
	defer r.close()
	if r.core, err = engine.New(cfg, entries, log, time.Now()); err != nil {
		return err
	}
	if err := r.start(); err != nil {
		return err
	}
	go r.handleSignals(got.other, load)
	go r.drain(got.end)
	log.Info("relay serving", "name", cfg.Name, "listen", cfg.Listen)
	r.core.Run()
	return entries.Close() // nothing begins from here on
}

// limitRuntime has the Go runtime keep to what the configuration grants.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(cfg.Limits.Cores)
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes * 3 / 4)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(50) // what lives is small: the heap need not grow to 4 MB before it is looked through
	}
}

// relay is a relay in service with all that stands around its core.
type relay struct {
	cfg       *config.Config
	log       *slog.Logger
	core      *engine.Core
	front     *platform.Front // nil: off
	router    *vrrp.Instance  // nil: off
	servers   []*httpwire.Server
	listeners []net.Listener
	captures  *recorder
	shape     *shaper
	closers   []func() // called the last first
}

// close closes what start has opened, but for the servers: drain ends those.
func (r *relay) close() {
	for _, closer := range slices.Backward(r.closers) {
		closer()
	}
}

// start sets up plug-ins, fronts, captures and the fleet, and restores the journal: in this order, since a message may come as soon as a
// front listens, and the core's first turn is to be in the capture.
func (r *relay) start() error {
	plugins, err := loadPlugins(r.cfg, r.log)
	if err != nil {
		return err
	}
	if plugins != nil {
		r.closers = append(r.closers, plugins.Close)
		r.core.SetInspector(plugins)
	}
	if err := r.startPlatform(); err != nil {
		return err
	}
	if err := r.startActivityPub(); err != nil {
		return err
	}
	r.captures = &recorder{cfg: r.cfg, core: r.core, log: r.log}
	r.closers = append(r.closers, r.captures.close)
	if r.cfg.Capture.On {
		r.captures.start()
	}
	r.shape = &shaper{plugins: plugins, core: r.core, log: r.log}
	return r.joinFleet()
}

// listen serves a front.
func (r *relay) listen(name, address string, handle httpwire.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("the %s front: %w", name, err)
	}
	server := httpwire.NewServer(&r.cfg.Limits, handle)
	r.servers, r.listeners = append(r.servers, server), append(r.listeners, l)
	go func() { _ = server.Serve(l) }()
	return nil
}

func (r *relay) startPlatform() error {
	if r.cfg.Listen == "" {
		return nil
	}
	r.front = platform.New(r.cfg, r.core)
	r.core.AddFront(platform.Name, r.front, platform.ParseEndpointList(r.cfg.Known))
	return r.listen(platform.Name, r.cfg.Listen, r.front.Handle)
}

func (r *relay) startActivityPub() error {
	if r.cfg.ActivityPub == nil {
		return nil
	}
	front, partners, err := activitypub.New(r.cfg, r.core, r.log)
	if err != nil {
		return err
	}
	r.core.AddFront(activitypub.Name, front, partners)
	if r.cfg.VRRP != nil {
		if r.router, err = vrrp.Listen(r.cfg.VRRP, r.log); err != nil {
			return err
		}
		r.closers = append(r.closers, r.router.Shutdown)
		front.Open = r.router.Active
	}
	return r.listen(activitypub.Name, r.cfg.ActivityPub.Listen, front.Handle)
}

// joinFleet restores the journal and, where the relay belongs to a fleet, takes part in that: until the fleet says more, nothing is taken
// on and nothing sent.
func (r *relay) joinFleet() error {
	if r.cfg.Peers == nil {
		r.core.Restore(time.Now())
		return nil
	}
	var err error
	if r.shape.rules, err = peer.NewRules(r.cfg); err != nil {
		return err
	}
	r.shape.rules.LoadPlugins = r.shape.prepare
	r.core.SetMandate(engine.Mandate{}, nil)
	r.core.Restore(time.Now())
	fleet, err := peer.Open(r.cfg, r.shape.rules, r.log, r.core, r.shape.apply)
	if err != nil {
		return err
	}
	r.closers = append(r.closers, fleet.Close)
	return nil
}

// handleSignals does what SIGHUP, SIGUSR1 and SIGUSR2 ask for, until the process ends.
func (r *relay) handleSignals(got <-chan os.Signal, load func() (*config.Config, error)) {
	reloads := make(chan struct{}, 1) // one more is enough for any number that come while one is under way
	go func() {
		for range reloads {
			r.shape.reload(r.front, load)
		}
	}()
	for s := range got {
		switch s {
		case syscall.SIGHUP: // not here: to compile plug-ins takes time, and others must not wait
			select {
			case reloads <- struct{}{}:
			default:
			}
		case syscall.SIGUSR1:
			r.captures.start()
		case syscall.SIGUSR2:
			r.captures.stop()
		}
	}
}

// drain waits for the signal that ends the process, and then has the core end once all is finished or safe. Clients still come for a
// moment after the signal: they are refused, not cut off. The core answers until the last of them is gone; then its last turn writes down
// what calls have come to meanwhile.
func (r *relay) drain(end <-chan os.Signal) {
	s := <-end
	r.log.Info("relay draining", "signal", s.String())
	if r.router != nil {
		r.router.Shutdown() // the others need not wait for this process to end
	}
	for _, server := range r.servers {
		server.DisableKeepAlives()
	}
	lingered := time.After(r.cfg.Limits.DrainLinger)
	r.core.Drain()
	<-r.core.Drained()
	<-lingered
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for _, server := range r.servers {
		server.Close(r.cfg.Limits.DrainClose)
	}
	r.core.Stop()
}

// loadPlugins starts the plug-ins, or returns nil where the configuration sets up no host for them: then nothing of
// theirs costs anything. With a plugin_host, plug-ins may also come with a reload.
func loadPlugins(cfg *config.Config, log *slog.Logger) (*plugin.Host, error) {
	if !cfg.PluginHost.On {
		return nil, nil
	}
	host, err := plugin.New(cfg, []rules.Front{platform.PluginHeaders, activitypub.PluginHeaders}, log)
	if err != nil {
		return nil, err
	}
	// A thread that runs a plug-in holds one of the runtime's processors: those are to be in excess. Which threads
	// get the machine's is the scheduler's to say, and plug-ins have the lowest class there.
	runtime.GOMAXPROCS(cfg.Limits.Cores + max(host.Procs(), 2))
	return host, nil
}
