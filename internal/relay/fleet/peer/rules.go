package peer

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"

	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/policy"
)

// Rules applies documents of policies to this relay's configuration. Its methods may be called from any goroutine.
type Rules struct {
	// Terms are what a document may refer to at this relay.
	Terms policy.Terms

	// LoadPlugins tries to load the plug-ins with the settings of a policy, and returns why they can't run. It is nil if no plug-ins run
	// here, and must be set before the first Check.
	LoadPlugins func(*config.Config) error

	mu  sync.Mutex // guards cfg and Terms.Plugins, which Reload replaces
	cfg *config.Config
}

// NewRules returns the rules of a configuration. It fails if a plug-in's file can't be read.
func NewRules(cfg *config.Config) (*Rules, error) {
	r := &Rules{cfg: cfg, Terms: policy.Terms{Relays: cfg.Peers.Roster(), MaxAttempts: cfg.Settings.MaxAttempts, Tenants: cfg.Settings.TenantNames}}
	for i := range cfg.Settings.Classes {
		r.Terms.Classes = append(r.Terms.Classes, cfg.Settings.Classes[i].Name)
	}
	var err error
	r.Terms.Plugins, err = moduleDigests(cfg)
	return r, err
}

// moduleDigests returns the SHA-256 digests, in hexadecimal, of a configuration's plug-ins by name.
func moduleDigests(cfg *config.Config) (map[string]string, error) {
	all := map[string]string{}
	for _, g := range cfg.Plugins {
		b, err := os.ReadFile(g.File)
		if err != nil {
			return nil, fmt.Errorf("peer: plug-in %s: %w", g.Name, err)
		}
		sum := sha256.Sum256(b)
		all[g.Name] = hex.EncodeToString(sum[:])
	}
	return all, nil
}

// Reload replaces the plug-ins by those of a reloaded configuration. doc is the document of the policy in force, empty for none. load is
// called under the lock, with the plug-ins and that policy's settings. If a file can't be read, the policy does not allow the plug-ins or
// load fails, Reload returns an error and changes nothing.
func (r *Rules) Reload(cfg *config.Config, doc []byte, load func(*config.Config) error) error {
	all, err := moduleDigests(cfg)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.cfg
	next.Plugins, next.PluginHost = cfg.Plugins, cfg.PluginHost
	effective := &next
	if len(doc) > 0 {
		d, err := policy.Parse(doc)
		if err == nil {
			terms := r.Terms
			terms.Plugins = all
			err = d.CheckTerms(&terms)
		}
		if err != nil {
			return fmt.Errorf("the policy in force does not allow the plug-ins: %w", err)
		}
		effective = withPluginSettings(&next, d)
	}
	if err := load(effective); err != nil {
		return err
	}
	r.cfg, r.Terms.Plugins = &next, all
	return nil
}

// Check returns why this relay can't apply a document; nil: it can. It may load plug-ins, which takes long.
func (r *Rules) Check(text []byte) error {
	d, err := policy.Parse(text)
	if err != nil {
		return err
	}
	r.mu.Lock()
	err = d.CheckTerms(&r.Terms)
	effective, base := withPluginSettings(r.cfg, d), r.cfg
	r.mu.Unlock()
	if err != nil || r.LoadPlugins == nil || effective == base {
		return err
	}
	return r.LoadPlugins(effective)
}

// WithPluginSettings returns this relay's configuration with the plug-ins' settings of a document, which is empty for no policy. The result must not be
// changed. WithPluginSettings fails if the document can't be parsed.
func (r *Rules) WithPluginSettings(doc []byte) (*config.Config, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(doc) == 0 {
		return r.cfg, nil
	}
	d, err := policy.Parse(doc)
	if err != nil {
		return nil, err
	}
	return withPluginSettings(r.cfg, d), nil
}

// withPluginSettings returns a copy of a configuration with the plug-ins' settings of a document, or the configuration itself if the
// document has none.
func withPluginSettings(cfg *config.Config, d *policy.Document) *config.Config {
	c := *cfg
	c.Plugins = slices.Clone(c.Plugins)
	changed := false
	for i := range c.Plugins {
		if s := d.Plugins[c.Plugins[i].Name].Settings; len(s) > 0 {
			c.Plugins[i].Config, changed = string(s), true
		}
	}
	if !changed {
		return cfg
	}
	return &c
}

// Mandate converts the fleet's mandate to the core's: the values of the policy's document, and the relay's own configuration for those that
// the document does not set. It fails if the document can't be parsed.
func (r *Rules) Mandate(s node.Mandate) (capture.Mandate, error) {
	r.mu.Lock()
	cfg := r.cfg // never changed, only replaced
	r.mu.Unlock()
	out := capture.Mandate{Version: s.Version, Halted: s.Halted}
	set := &cfg.Settings
	for i := range set.Classes {
		out.Worth = append(out.Worth, set.Classes[i].Value)
	}
	for _, t := range set.Tenants {
		out.Quotas = append(out.Quotas, t.Quota)
	}
	if s.Version == 0 {
		return out, nil
	}
	d, err := policy.Parse(s.Doc)
	if err != nil {
		return out, err
	}
	out.Stamp, out.Closed = d.Stamp, !d.AcceptsMessages(cfg.Peers.Name)
	out.Attempts = make([]int, len(set.Classes))
	for i := range set.Classes {
		c := d.Classes[set.Classes[i].Name]
		if out.Attempts[i] = c.Attempts; c.Value != nil {
			out.Worth[i] = *c.Value
		}
	}
	for i, name := range set.TenantNames {
		if t, ok := d.Tenants[name]; ok && i < len(out.Quotas) {
			out.Quotas[i] = t.Quota
		}
	}
	for name, p := range d.Partners {
		n, err := strconv.Atoi(name)
		if err != nil {
			continue // Parse has checked it
		}
		if p.Shut {
			out.Shut = append(out.Shut, n)
		}
		if p.Limit > 0 {
			out.Most = append(out.Most, capture.PartnerRateLimit{Partner: n, Limit: p.Limit})
		}
	}
	slices.Sort(out.Shut)
	slices.SortFunc(out.Most, func(a, b capture.PartnerRateLimit) int { return cmp.Compare(a.Partner, b.Partner) })
	return out, nil
}
