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

// Rules applies a policy's document to this relay's configuration. Its methods may be called from any goroutine.
type Rules struct {
	// Terms are what a document may name at this relay.
	Terms policy.Terms

	// LoadPlugins loads plug-ins with the settings that a policy gives them, ready to be taken over, and returns why they can't run; nil:
	// no plug-ins run here. It must be set before the first Check.
	LoadPlugins func(*config.Config) error

	mu  sync.Mutex // guards cfg and Terms.Plugins: both may be reloaded
	cfg *config.Config
}

// NewRules returns the rules of a configuration. It fails where a plug-in's file can't be read.
func NewRules(cfg *config.Config) (*Rules, error) {
	r := &Rules{cfg: cfg, Terms: policy.Terms{Relays: cfg.Peers.Roster(), MaxAttempts: cfg.Settings.MaxAttempts, Tenants: cfg.Settings.TenantNames}}
	for i := range cfg.Settings.Classes {
		r.Terms.Classes = append(r.Terms.Classes, cfg.Settings.Classes[i].Name)
	}
	var err error
	r.Terms.Plugins, err = modules(cfg)
	return r, err
}

// modules returns the SHA-256 digests, in hexadecimal, of the plug-ins that a configuration names.
func modules(cfg *config.Config) (map[string]string, error) {
	all := map[string]string{}
	for _, g := range cfg.Plugins {
		b, err := os.ReadFile(g.File)
		if err != nil {
			return nil, fmt.Errorf("the fleet: plug-in %s: %w", g.Name, err)
		}
		sum := sha256.Sum256(b)
		all[g.Name] = hex.EncodeToString(sum[:])
	}
	return all, nil
}

// Reload replaces the plug-ins by those of a configuration that was read again. doc is the document of the policy in force, empty for none;
// load gets the plug-ins with that policy's settings and is called under the lock. Nothing changes where a file can't be read, the policy
// forbids the plug-ins, or load fails: each is an error.
func (r *Rules) Reload(cfg *config.Config, doc []byte, load func(*config.Config) error) error {
	all, err := modules(cfg)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.cfg
	next.Plugins, next.PluginHost = cfg.Plugins, cfg.PluginHost
	shaped := &next
	if len(doc) > 0 {
		d, err := policy.Parse(doc)
		if err == nil {
			terms := r.Terms
			terms.Plugins = all
			err = d.Applies(&terms)
		}
		if err != nil {
			return fmt.Errorf("the policy in force forbids it: %w", err)
		}
		shaped = shape(&next, d)
	}
	if err := load(shaped); err != nil {
		return err
	}
	r.cfg, r.Terms.Plugins = &next, all
	return nil
}

// Check returns why this relay can't apply a document; nil: it can. It may take as long as loading the plug-ins.
func (r *Rules) Check(text []byte) error {
	d, err := policy.Parse(text)
	if err != nil {
		return err
	}
	r.mu.Lock()
	err = d.Applies(&r.Terms)
	shaped, same := shape(r.cfg, d), r.cfg
	r.mu.Unlock()
	if err != nil || r.LoadPlugins == nil || shaped == same {
		return err
	}
	return r.LoadPlugins(shaped)
}

// Shaped returns this relay's configuration with the plug-ins' settings of a document, empty for none. It must not be changed. It fails where
// the document can't be parsed.
func (r *Rules) Shaped(doc []byte) (*config.Config, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(doc) == 0 {
		return r.cfg, nil
	}
	d, err := policy.Parse(doc)
	if err != nil {
		return nil, err
	}
	return shape(r.cfg, d), nil
}

// shape returns a copy of a configuration with the plug-ins' settings of a document, or the configuration itself where the document has none.
func shape(cfg *config.Config, d *policy.Document) *config.Config {
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

// Mandate converts the fleet's mandate to the core's: what its document says, and for all else the relay's own configuration. It fails where
// the document can't be parsed.
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
	out.Stamp, out.Closed = d.Stamp, !d.Takes(cfg.Peers.Name)
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
			continue // it was checked
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
