package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
)

// Plugin is the configuration of one WebAssembly plug-in.
type Plugin struct {
	Key        string // path of its section in the configuration
	Name, File string
	Fronts     []string      // names of the fronts it is called for; none: all
	Partners   []int         // numbers of the partners it is called for; none: all
	Classes    []int         // indexes of the classes it is called for; none: all
	Phases     []string      // arrival, answer or end; none: all that the plug-in implements
	Timeout    time.Duration // maximum duration of one call
	MemoryMB   int           // maximum memory of one instance
	Instances  int
	Share      float64 // share of one processor core
	Reject     bool    // if the plug-in fails the message is rejected; otherwise it passes
	StoreKB    int
	Config     string // JSON, passed to the plug-in unchanged
}

// PluginHost is the configuration common to all plug-ins.
type PluginHost struct {
	On    bool   // there are plug-ins, or a reload may add some
	Cache string // folder for compiled modules; "": none
	Store string // folder for the plug-ins' stores; "": stores are not saved
}

// pluginName reports whether a text is valid as the name of a plug-in, which is also part of file names.
func pluginName(name string) bool { return isName(name, "-_") }

// plugins reads the lists plugins and hooks; the latter is the name of the list in older configurations.
func (p *parser) plugins(c *Config) {
	host := &c.PluginHost
	host.Cache, host.Store = p.text("plugin_host.cache", ""), p.text("plugin_host.store", "")
	seen := map[string]bool{}
	read := func(path string) { p.plugin(c, path, seen) }
	p.each("hooks", read)
	p.each("plugins", read)
	host.On = len(c.Plugins) > 0 || p.root.Get("plugin_host").Exists()
	// Each instance needs its first page of memory. Without this check a lack of memory would only show under load.
	needed := int64(0) // bytes
	for _, plugin := range c.Plugins {
		needed += int64(plugin.Instances) << 16
	}
	p.require("plugin_host.memory_mb", needed <= c.Limits.PluginMemory, "too small for the configured instances, which need 64 KB each")
}

// plugin reads one plug-in; seen holds the names of the plug-ins before it.
func (p *parser) plugin(cfg *Config, key string, seen map[string]bool) {
	plugin := Plugin{Key: key, Name: p.text(key+".name", fmt.Sprintf("plugin-%d", len(cfg.Plugins))), File: p.required(key + ".file"),
		Timeout:   p.duration(key+".timeout", 10*time.Millisecond),
		MemoryMB:  int(p.number(key+".memory_mb", 16, 1, 256)),
		Instances: int(p.number(key+".instances", 2, 1, 16)),
		Share:     p.number(key+".cpu_share", 0.05, 0.001, 1),
		StoreKB:   int(p.number(key+".store_kb", 64, 0, 1<<16))}
	p.require(key+".name", pluginName(plugin.Name), "want letters, digits, - and _, 64 at most")
	p.require(key+".name", !seen[plugin.Name], "used by another plug-in")
	seen[plugin.Name] = true
	p.require(key+".timeout", plugin.Timeout <= cfg.Limits.PluginBudget,
		fmt.Sprintf("want at most the %v that all plug-ins together may take", cfg.Limits.PluginBudget))
	p.each(key+".fronts", func(path string) {
		front := p.required(path)
		p.require(path, front == "platform" || front == "activitypub", "want platform or activitypub")
		plugin.Fronts = append(plugin.Fronts, front)
	})
	p.each(key+".partners", func(path string) { plugin.Partners = append(plugin.Partners, int(p.number(path, -1, 0, 65535))) })
	p.each(key+".classes", func(path string) {
		name := p.required(path)
		n := slices.IndexFunc(cfg.Settings.Classes, func(class control.Class) bool { return class.Name == name })
		p.require(path, n >= 0, "no class of that name in settings.lanes")
		plugin.Classes = append(plugin.Classes, n)
	})
	p.each(key+".phases", func(path string) {
		phase := p.required(path)
		p.require(path, slices.Contains([]string{"arrival", "answer", "end"}, phase), "want arrival, answer or end")
		plugin.Phases = append(plugin.Phases, phase)
	})
	onFailure := p.text(key+".on_failure", "pass")
	p.require(key+".on_failure", onFailure == "pass" || onFailure == "reject", "want pass or reject")
	plugin.Reject = onFailure == "reject"
	if v := p.root.Get(key + ".config"); v.Exists() {
		p.require(key+".config", len(v.Raw) <= 16<<10, "want at most 16 KB")
		plugin.Config = v.Raw
	}
	cfg.Plugins = append(cfg.Plugins, plugin)
}

// ForPlugin returns a configuration with a single plug-in, for the tools of plug-in authors. If from is not nil, the
// configuration of the plug-in called name in it, its limits, settings and seed are used instead of the defaults. A settings
// text that is not empty replaces the plug-in's Config.
func ForPlugin(file string, from *Config, name, seedText, settings string) (*Config, error) {
	p := &parser{}
	c := &Config{Plugins: []Plugin{{Key: "plugins.0", Name: "plugin", Timeout: 10 * time.Millisecond, MemoryMB: 16, Instances: 2,
		Share: 1, StoreKB: 64}}}
	c.Limits = p.limits(&c.Settings)
	c.Limits.PluginYields = false // the tools run no relay that plug-ins have to yield to
	if from != nil {
		i := slices.IndexFunc(from.Plugins, func(g Plugin) bool { return g.Name == name })
		if i < 0 {
			return nil, NewKeyError("plugins", fmt.Sprintf("no plug-in is called %q", name))
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
