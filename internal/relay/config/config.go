package config

import (
	"encoding/hex"
	"errors"
	"hash/fnv"
	"os"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/wire"
)

// Config is a relay's whole configuration.
type Config struct {
	Name, Listen, Discovery, State string
	Seed                           uint64
	Known                          gjson.Result // the last endpoint list that this relay knew
	Settings                       wire.Settings
	Limits                         Limits
	ActivityPub                    *ActivityPub // nil: off
	VRRP                           *VRRP        // nil: off
	Plugins                        []Plugin     // in the order in which they are called
	PluginHost                     PluginHost
	Capture                        Capture
	Peers                          *Peers // nil: the relay belongs to no fleet
}

// Load reads file or, if that is empty, the file that RELAY_CONFIG names. The environment variables RELAY_NAME,
// RELAY_LISTEN and RELAY_STATE take precedence over the file, but the file takes precedence over RELAY_DISCOVERY: it can be
// replaced while the process runs, unlike the environment, so where the two differ the file is the newer.
func Load(file string, env func(string) string) (*Config, error) {
	if file == "" {
		file = env("RELAY_CONFIG")
	}
	if file == "" {
		return nil, NewKeyError("RELAY_CONFIG", "not set, and --config is not given")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, NewKeyError("RELAY_CONFIG", err.Error())
	}
	return Parse(text, env)
}

// Parse parses and checks a configuration and fills in the defaults. Its error is a *policy.KeyError for the first invalid key.
func Parse(text []byte, env func(string) string) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, NewKeyError("(whole file)", "not valid JSON")
	}
	p := &parser{root: gjson.ParseBytes(text)}
	envOrFile := func(name, key string) string {
		if v := env(name); v != "" {
			return v
		}
		return p.text(key, "")
	}
	c := &Config{Name: envOrFile("RELAY_NAME", "name"), Listen: envOrFile("RELAY_LISTEN", "listen"),
		Discovery: p.text("discovery", env("RELAY_DISCOVERY")), State: envOrFile("RELAY_STATE", "state"), Known: p.root.Get("known")}
	p.require("state", c.State != "", "missing, and RELAY_STATE is not set")
	c.Seed = seedOf(p.text("seed", ""))
	p.settings(c)
	c.Limits = p.limits(&c.Settings)
	p.optional(c)
	p.require("listen", c.Listen != "" || c.ActivityPub != nil, "missing, and RELAY_LISTEN is not set")
	if p.err != nil {
		return nil, p.err
	}
	return c, nil
}

// settings reads the settings of the decision module.
func (p *parser) settings(c *Config) {
	raw := p.root.Get("settings")
	p.require("settings", raw.IsObject(), "missing or not an object")
	if raw.IsObject() {
		settings, err := wire.ParseSettings([]byte(raw.Raw))
		var keyError *wire.KeyError
		if errors.As(err, &keyError) {
			p.fail("settings."+keyError.Key, keyError.Reason)
		} else if err != nil {
			p.fail("settings", err.Error())
		}
		if _, err := control.New(settings.Settings, 0); err == nil || len(settings.Classes) == 0 || settings.Slots < 1 || settings.MaxAttempts < 1 {
			c.Settings = settings // faults in the keys checked below get their own messages
		} else {
			p.fail("settings", err.Error())
		}
	}
	p.require("settings.lanes", len(c.Settings.Classes) > 0, "want at least one message class")
	p.require("settings.family_info.workers", c.Settings.Slots > 0, "want at least 1 slot")
	p.require("settings.allowed.max_attempts", c.Settings.MaxAttempts > 0, "want at least 1 attempt")
}

// seedOf returns the seed for a text: the value of 16 hexadecimal digits, or the hash of any other text.
func seedOf(s string) uint64 {
	if b, err := hex.DecodeString(s); err == nil && len(b) == 8 {
		var v uint64
		for _, x := range b {
			v = v<<8 | uint64(x)
		}
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// optional reads the optional sections.
func (p *parser) optional(c *Config) {
	if p.root.Get("activitypub").Exists() {
		p.activityPub(c)
	}
	if p.root.Get("vrrp").Exists() {
		p.vrrp(c)
	}
	p.plugins(c)
	p.peers(c)
	p.capture(c)
}
