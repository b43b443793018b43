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

// signals holds the channels of received signals. The shutdown signals have a channel of their own, which others cannot fill.
type signals struct{ end, other <-chan os.Signal }

// receiveSignals starts to receive signals. It must be called first: a signal that arrives while the relay starts is then queued until
// it serves, and SIGHUP does not kill the process, as it does by default.
func receiveSignals() signals {
	end, other := make(chan os.Signal, 1), make(chan os.Signal, 16)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(other, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2)
	return signals{end, other}
}

// serve runs the relay until a shutdown signal has arrived and all messages are finished or safe in the journal. On SIGHUP, also while
// draining, it reloads its configuration with load and moves to the discovery address there. A second shutdown signal has no effect.
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
	return entries.Close() // no new work can begin after Run has returned
}

// limitRuntime applies the configured limits to the Go runtime.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(cfg.Limits.Cores)
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes * 3 / 4)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(50) // the live heap is small and need not grow to 4 MB before a collection
	}
}

// relay is a running relay: its core and the components around it.
type relay struct {
	cfg          *config.Config
	log          *slog.Logger
	core         *engine.Core
	front        *platform.Front // nil: disabled
	router       *vrrp.Instance  // nil: disabled
	servers      []*httpwire.Server
	listeners    []net.Listener
	captures     *recorder
	pluginPolicy *policyApplier
	closers      []func() // called in reverse order
}

// close closes what start has opened, except for the servers, which drain closes.
func (r *relay) close() {
	for _, closer := range slices.Backward(r.closers) {
		closer()
	}
}

// start sets up plug-ins, fronts, captures and the fleet, and restores the journal. The order matters: a message may arrive as soon as a
// front listens, and a capture must include the core's first turn.
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
	r.pluginPolicy = &policyApplier{plugins: plugins, core: r.core, log: r.log}
	return r.joinFleet()
}

// listen starts the HTTP server of a front.
func (r *relay) listen(name, address string, handle httpwire.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for the %s front: %w", name, err)
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

// joinFleet restores the journal and, if the relay belongs to a fleet, joins it. Until the fleet grants a lease, the relay accepts and
// sends nothing.
func (r *relay) joinFleet() error {
	if r.cfg.Peers == nil {
		r.core.Restore(time.Now())
		return nil
	}
	var err error
	if r.pluginPolicy.rules, err = peer.NewRules(r.cfg); err != nil {
		return err
	}
	r.pluginPolicy.rules.LoadPlugins = r.pluginPolicy.prepare
	r.core.SetMandate(engine.Mandate{}, nil)
	r.core.Restore(time.Now())
	fleet, err := peer.Open(r.cfg, r.pluginPolicy.rules, r.log, r.core, r.pluginPolicy.apply)
	if err != nil {
		return err
	}
	r.closers = append(r.closers, fleet.Close)
	return nil
}

// handleSignals handles SIGHUP, SIGUSR1 and SIGUSR2 until the process ends.
func (r *relay) handleSignals(got <-chan os.Signal, load func() (*config.Config, error)) {
	reloads := make(chan struct{}, 1) // one queued reload covers all signals that arrive during a reload
	go func() {
		for range reloads {
			r.pluginPolicy.reload(r.front, load)
		}
	}()
	for s := range got {
		switch s {
		case syscall.SIGHUP: // reload in another goroutine: compiling plug-ins takes time, and other signals must not wait for it
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

// drain waits for the shutdown signal, and then stops the core once all messages are finished or safe in the journal. Clients still
// connect for a moment after the signal: their messages are rejected, and their connections are not cut off. The core answers until the
// last server is closed. Its last turn then records the results of calls that have ended in the meantime.
func (r *relay) drain(end <-chan os.Signal) {
	s := <-end
	r.log.Info("relay draining", "signal", s.String())
	if r.router != nil {
		r.router.Shutdown() // lets the other routers take over before this process ends
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

// loadPlugins starts the plug-in host. It returns nil if the configuration has no plugin_host, so that plug-ins then cost nothing. With a
// plugin_host, plug-ins may also be added by a reload.
func loadPlugins(cfg *config.Config, log *slog.Logger) (*plugin.Host, error) {
	if !cfg.PluginHost.On {
		return nil, nil
	}
	host, err := plugin.New(cfg, []rules.Front{platform.PluginHeaders, activitypub.PluginHeaders}, log)
	if err != nil {
		return nil, err
	}
	// A thread that runs a plug-in occupies one of the runtime's processors, so there must be more of them than cores. The operating system
	// schedules the threads, with the lowest priority for those of plug-ins.
	runtime.GOMAXPROCS(cfg.Limits.Cores + max(host.Procs(), 2))
	return host, nil
}
