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

// policyApplier runs the plug-ins with the settings of the relay's configuration and the fleet's policy, and applies changes to both.
type policyApplier struct {
	plugins *plugin.Host // nil: no plug-in host runs
	rules   *peer.Rules  // nil: the relay belongs to no fleet
	core    *engine.Core
	log     *slog.Logger

	mu            sync.Mutex
	policyDoc     []byte // the policy in force
	policyVersion uint64 // version of the policy in force
}

// prepare loads the plug-ins that a policy requires, before the policy is in force.
func (s *policyApplier) prepare(cfg *config.Config) error {
	if s.plugins == nil {
		return errNoPlugins
	}
	return s.plugins.Prepare(cfg)
}

// apply applies the fleet's mandate. Plug-ins are updated first, while the relay accepts no messages.
func (s *policyApplier) apply(mandate node.Mandate, at peer.Times, done func()) {
	forCore, err := s.rules.Mandate(mandate)
	if err == nil {
		err = s.applyPluginSettings(mandate)
	}
	if err != nil { // unexpected for a policy that was checked; no messages are accepted until the next mandate
		s.log.Error("policy in force not applied, nothing is accepted", "version", mandate.Version, "err", err)
		return
	}
	s.core.SetMandate(engine.Mandate{Mandate: forCore, Until: at.At(mandate.Until)}, done)
}

// applyPluginSettings reloads the plug-ins with the settings of a mandate's policy, unless that version is already applied.
func (s *policyApplier) applyPluginSettings(mandate node.Mandate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policyVersion == mandate.Version {
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
	s.policyDoc, s.policyVersion = mandate.Doc, mandate.Version
	return nil
}

// reload applies a configuration that was read again. An invalid one is rejected, and the current one stays active.
func (s *policyApplier) reload(front *platform.Front, load func() (*config.Config, error)) {
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

// replacePlugins replaces the running plug-ins by those of a configuration, with the settings of the policy in force.
func (s *policyApplier) replacePlugins(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rules == nil {
		return s.plugins.Reload(cfg)
	}
	return s.rules.Reload(cfg, s.policyDoc, s.plugins.Reload)
}
