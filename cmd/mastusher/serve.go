package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
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
// Upon SIGHUP it reads its configuration again and moves to the discovery that is named there, also while it drains. A second
// signal to end it changes nothing.
func serve(cfg *config.Config, log *slog.Logger, told signals, again func() (*config.Config, error)) error {
	runtime.GOMAXPROCS(cfg.Limits.Cores)
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes * 3 / 4)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(50) // what lives is small: the heap need not grow to 4 MB before it is looked through
	}
	jour, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err != nil {
		return err
	}
	core, err := engine.New(cfg, jour, log, time.Now())
	if err != nil {
		return err
	}
	plugins, err := loadPlugins(cfg, log)
	if err != nil {
		return err
	}
	if plugins != nil {
		defer plugins.Close()
		core.SetInspector(plugins)
	}
	var servers []*httpwire.Server
	var router *vrrp.Instance // nil: off
	var listeners []net.Listener
	listen := func(name, address string, handle httpwire.Handler) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("the %s front: %w", name, err)
		}
		s := httpwire.NewServer(&cfg.Limits, handle)
		servers, listeners = append(servers, s), append(listeners, l)
		go func() { _ = s.Serve(l) }()
		return nil
	}
	var front *platform.Front // nil: off
	if cfg.Listen != "" {
		front = platform.New(cfg, core)
		core.AddFront(platform.Name, front, platform.ParseEndpointList(cfg.Known))
		if err := listen(platform.Name, cfg.Listen, front.Handle); err != nil {
			return err
		}
	}
	if cfg.ActivityPub != nil {
		front, pool, err := activitypub.New(cfg, core, log)
		if err != nil {
			return err
		}
		core.AddFront(activitypub.Name, front, pool)
		if cfg.VRRP != nil {
			if router, err = vrrp.Listen(cfg.VRRP, log); err != nil {
				return err
			}
			defer router.Shutdown()
			front.Open = router.Active
		}
		if err := listen(activitypub.Name, cfg.ActivityPub.Listen, front.Handle); err != nil {
			return err
		}
	}
	rec := &recorder{cfg: cfg, core: core, log: log}
	defer rec.close()
	if cfg.Capture.On {
		rec.start()
	}
	shape := &shaper{plugins: plugins, core: core, log: log}
	if cfg.Peers != nil {
		if shape.rules, err = peer.NewRules(cfg); err != nil {
			return err
		}
		shape.rules.Try = shape.prepare
		core.Govern(engine.Mandate{}, nil) // until the fleet says more, nothing is taken on and nothing sent
	}
	core.Restore(time.Now())
	if cfg.Peers != nil {
		fleet, err := peer.Open(cfg, shape.rules, log, core, shape.stand)
		if err != nil {
			return err
		}
		defer fleet.Close()
	}
	reloads := make(chan struct{}, 1) // one more is enough for any number that come while one is under way
	go func() {
		for range reloads {
			shape.reload(front, again)
		}
	}()
	go func() {
		for s := range told.other {
			switch s {
			case syscall.SIGHUP: // not here: to compile plug-ins takes time, and others must not wait
				select {
				case reloads <- struct{}{}:
				default:
				}
			case syscall.SIGUSR1:
				rec.start()
			case syscall.SIGUSR2:
				rec.stop()
			}
		}
	}()
	go func() {
		s := <-told.end
		log.Info("relay draining", "signal", s.String())
		if router != nil {
			router.Shutdown() // the others need not wait for this process to end
		}
		for _, s := range servers {
			s.DisableKeepAlives()
		}
		linger := time.After(cfg.Limits.DrainLinger)
		core.Drain()
		// Clients still come for a moment after the signal: they are refused, not cut off. The core answers until the last of them
		// is gone; then its last turn writes down what calls have come to meanwhile.
		<-core.Drained()
		<-linger
		for _, l := range listeners {
			_ = l.Close()
		}
		for _, s := range servers {
			s.Close(cfg.Limits.DrainClose)
		}
		core.Stop()
	}()
	log.Info("relay serving", "name", cfg.Name, "listen", cfg.Listen)
	core.Run()
	return jour.Close() // nothing begins from here on
}

// loadPlugins starts the plug-ins, or returns nil where the configuration sets up no host for them: then nothing of
// theirs costs anything. With a plugin_host, plug-ins may also come with a reload.
func loadPlugins(cfg *config.Config, log *slog.Logger) (*plugin.Host, error) {
	if !cfg.PluginHost.On {
		return nil, nil
	}
	h, err := plugin.New(cfg, []rules.Front{platform.Guard, activitypub.Guard}, log)
	if err != nil {
		return nil, err
	}
	// A thread that runs a plug-in holds one of the runtime's processors: those are to be in excess. Which threads
	// get the machine's is the scheduler's to say, and plug-ins have the lowest class there.
	runtime.GOMAXPROCS(cfg.Limits.Cores + max(h.Procs(), 2))
	return h, nil
}
