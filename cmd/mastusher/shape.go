package main

import (
	"log/slog"
	"runtime"
	"sync"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/peer"
	"mastusher/internal/relay/platform"
	"mastusher/internal/relay/plugin"
)

// shaper has the plug-ins run as the relay's file and the fleet's policy say together, whichever of them changes.
type shaper struct {
	plugins *plugin.Host // nil: none run
	rules   *peer.Rules  // nil: the relay belongs to no fleet
	core    *engine.Core
	log     *slog.Logger

	mu       sync.Mutex
	document []byte // of the policy in force
	version  uint64 // its number
}

// prepare loads plug-ins as a policy would have them, for when it is in force.
func (s *shaper) prepare(cfg *config.Config) error {
	if s.plugins == nil {
		return errNoPlugins
	}
	return s.plugins.Prepare(cfg)
}

// apply takes over what the fleet lets this relay do: plug-ins first, while nothing is taken on.
func (s *shaper) apply(mandate node.Mandate, at peer.Times, done func()) {
	forCore, err := s.rules.Mandate(mandate)
	if err == nil {
		err = s.adopt(mandate)
	}
	if err != nil { // it has been checked; until the next mandate nothing is taken on
		s.log.Error("policy in force not applied, nothing is accepted", "version", mandate.Version, "err", err)
		return
	}
	s.core.SetMandate(engine.Mandate{Mandate: forCore, Until: at.At(mandate.Until)}, done)
}

// adopt has the plug-ins run with the settings of a policy.
func (s *shaper) adopt(mandate node.Mandate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == mandate.Version {
		return nil
	}
	if s.plugins != nil {
		cfg, err := s.rules.WithPluginSettings(mandate.Doc)
		if err == nil {
			err = s.plugins.Reload(cfg)
		}
		if err != nil {
			return err
		}
	}
	s.document, s.version = mandate.Doc, mandate.Version
	return nil
}

// reload takes over a configuration that was read again. A faulty one changes nothing: the relay goes on with what it has.
func (s *shaper) reload(front *platform.Front, load func() (*config.Config, error)) {
	cfg, err := load()
	if err != nil {
		s.log.Error("configuration reload rejected, previous one stays active", "err", err)
		return
	}
	s.log.Info("reloading configuration", "discovery", cfg.Discovery)
	if front != nil {
		front.SetDiscovery(cfg.Discovery)
	}
	switch {
	case s.plugins != nil:
		if err := s.replacePlugins(cfg); err != nil {
			s.log.Error("plug-in reload rejected, previous generation stays active", "err", err)
		}
		runtime.GOMAXPROCS(cfg.Limits.Cores + max(s.plugins.Procs(), 2))
	case len(cfg.Plugins) > 0:
		s.log.Warn("plug-in reload ignored, relay was started without plugin_host and plug-ins")
	}
}

// replacePlugins puts a configuration's plug-ins in the place of those that run, with the settings of the policy in force.
func (s *shaper) replacePlugins(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rules == nil {
		return s.plugins.Reload(cfg)
	}
	return s.rules.Reload(cfg, s.document, s.plugins.Reload)
}
