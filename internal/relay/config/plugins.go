package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
)

// Plugin is one WebAssembly plug-in.
type Plugin struct {
	Key        string // where it stands in the configuration
	Name, File string
	Fronts     []string      // names; none: all
	Partners   []int         // none: all
	Classes    []int         // none: all
	Phases     []string      // arrival, answer, end; none: all that it takes part in
	Timeout    time.Duration // of one call
	MemoryMB   int           // of one instance
	Instances  int
	Share      float64 // of one core
	Reject     bool    // a message is turned away when the plug-in fails; otherwise it passes
	StoreKB    int
	Config     string // JSON, handed to the plug-in as it is
}

// PluginHost is what all plug-ins share.
type PluginHost struct {
	On    bool   // there are plug-ins, or may be after a reload
	Cache string // folder for compiled modules; "": none
	Store string // folder for the plug-ins' stores; "": they are not kept
}

// pluginName tells whether a plug-in may be called so: the name is a file's too.
func pluginName(name string) bool { return isName(name, "-_") }

// plugins reads the plug-ins, and as plug-ins the hooks of earlier configurations.
func (p *parser) plugins(c *Config) {
	host := &c.PluginHost
	host.Cache, host.Store = p.text("plugin_host.cache", ""), p.text("plugin_host.store", "")
	seen := map[string]bool{}
	one := func(at string) { p.plugin(c, at, seen) }
	p.each("hooks", one)
	p.each("plugins", one)
	host.On = len(c.Plugins) > 0 || p.root.Get("plugin_host").Exists()
	// An instance that could not have its first page would only be found out under load.
	needed := int64(0) // bytes
	for _, plugin := range c.Plugins {
		needed += int64(plugin.Instances) << 16
	}
	p.require("plugin_host.memory_mb", needed <= c.Limits.PluginMemory, "too little for the instances that are set up")
}

// plugin reads one plug-in; seen are the names of those before it.
func (p *parser) plugin(cfg *Config, key string, seen map[string]bool) {
	plugin := Plugin{Key: key, Name: p.text(key+".name", fmt.Sprintf("plugin-%d", len(cfg.Plugins))), File: p.required(key + ".file"),
		Timeout:   p.duration(key+".timeout", 10*time.Millisecond),
		MemoryMB:  int(p.number(key+".memory_mb", 16, 1, 256)),
		Instances: int(p.number(key+".instances", 2, 1, 16)),
		Share:     p.number(key+".cpu_share", 0.05, 0.001, 1),
		StoreKB:   int(p.number(key+".store_kb", 64, 0, 1<<16))}
	p.require(key+".name", pluginName(plugin.Name), "want letters, digits, - and _, 64 at most")
	p.require(key+".name", !seen[plugin.Name], "given to two plug-ins")
	seen[plugin.Name] = true
	p.require(key+".timeout", plugin.Timeout <= cfg.Limits.PluginBudget,
		fmt.Sprintf("more than the %v that all plug-ins together may take", cfg.Limits.PluginBudget))
	p.each(key+".fronts", func(at string) {
		front := p.required(at)
		p.require(at, front == "platform" || front == "activitypub", "want platform or activitypub")
		plugin.Fronts = append(plugin.Fronts, front)
	})
	p.each(key+".partners", func(at string) { plugin.Partners = append(plugin.Partners, int(p.number(at, -1, 0, 65535))) })
	p.each(key+".classes", func(at string) {
		name := p.required(at)
		n := slices.IndexFunc(cfg.Settings.Classes, func(class control.Class) bool { return class.Name == name })
		p.require(at, n >= 0, "no class of that name in settings.lanes")
		plugin.Classes = append(plugin.Classes, n)
	})
	p.each(key+".phases", func(at string) {
		phase := p.required(at)
		p.require(at, slices.Contains([]string{"arrival", "answer", "end"}, phase), "want arrival, answer or end")
		plugin.Phases = append(plugin.Phases, phase)
	})
	fail := p.text(key+".on_failure", "pass")
	p.require(key+".on_failure", fail == "pass" || fail == "reject", "want pass or reject")
	plugin.Reject = fail == "reject"
	if v := p.root.Get(key + ".config"); v.Exists() {
		p.require(key+".config", len(v.Raw) <= 16<<10, "more than 16 KB")
		plugin.Config = v.Raw
	}
	cfg.Plugins = append(cfg.Plugins, plugin)
}

// ForPlugin is a configuration with one plug-in and nothing else, for the tools of authors. Limits and settings are
// those of the plug-in of a name in from, or the defaults where from is nil.
func ForPlugin(file string, from *Config, name, seedText, settings string) (*Config, error) {
	p := &parser{}
	c := &Config{Plugins: []Plugin{{Key: "plugins.0", Name: "plugin", Timeout: 10 * time.Millisecond, MemoryMB: 16, Instances: 2,
		Share: 1, StoreKB: 64}}}
	c.Limits = p.limits(&c.Settings)
	c.Limits.PluginYields = false // there is no relay to give way to
	if from != nil {
		i := slices.IndexFunc(from.Plugins, func(g Plugin) bool { return g.Name == name })
		if i < 0 {
			return nil, NewKeyError("plugins", fmt.Sprintf("none is called %q", name))
		}
		c.Plugins[0], c.Limits, c.Settings, c.Seed = from.Plugins[i], from.Limits, from.Settings, from.Seed
		c.PluginHost.Cache = from.PluginHost.Cache
	}
	if c.Plugins[0].File = file; settings != "" {
		if !gjson.Valid(settings) {
			return nil, NewKeyError("plugins.0.config", "not valid JSON")
		}
		c.Plugins[0].Config = settings
	}
	if seedText != "" {
		c.Seed = seedOf(seedText)
	}
	c.PluginHost.On = true
	return c, nil
}
