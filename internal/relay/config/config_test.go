package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"mastusher/internal/relay/fleet/policy"
)

const good = `{"listen": "127.0.0.1:8000", "state": "/run/state", "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
  "settings": {"peers_total": 1, "allowed": {"max_attempts": 6, "conn_idle": 15000000, "connect_timeout": 1500000}, "round": 5000,
    "family_info": {"workers": 4, "per_call": [10, 1]}, "machine_types": ["news-groups", "club-sites"], "lanes": [{"name": "match-event", "deadline": 9}]},
  "activitypub": {"listen": "127.0.0.1:8100", "actor": "http://r.example/actor", "key_file": "key", "classes": {"Create": "match-event"},
    "partners": [{"name": "herald", "dest": 7, "kind": "club-sites", "inboxes": ["http://h.example/inbox"]}],
    "clients": [{"actor": "http://c.example/a", "key_file": "pub", "inbox": "http://c.example/in"}]},
  "vrrp": {"listen": "10.0.0.5:1120", "vrid": 7, "address": "10.0.0.5", "peers": ["10.0.0.6:1120"], "virtual": ["10.0.0.100"]},
  "hooks": [{"file": "hook.wasm"}]}`

func parse(text string) (*Config, error) {
	return Parse([]byte(text), func(string) string { return "" })
}

func TestParse_EveryKey(t *testing.T) {
	c, err := parse(good)
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Limits.IdleSocket != 13500*time.Millisecond || c.Limits.Round != 5*time.Millisecond ||
		c.Limits.DiskBytes != 3<<20 || c.ActivityPub.KeyID != "http://r.example/actor#main-key" || !c.VRRP.Preempt ||
		c.Plugins[0].Timeout != 10*time.Millisecond {
		t.Errorf("configuration %+v", c)
	}
	if l := c.Limits; l.ClientConnections+l.IdleEndpoints >= l.Sockets {
		t.Errorf("%d client and %d idle connections leave none of %d descriptors", l.ClientConnections, l.IdleEndpoints, l.Sockets)
	}
	// Idle connections must leave enough descriptors for the maximum number of calls in flight.
	if narrow, narrowErr := parse(strings.NewReplacer(`"sockets": 1024`, `"sockets": 128`, `"workers": 4`, `"workers": 32`).Replace(good)); narrowErr != nil ||
		narrow.Limits.ClientConnections != 64 || narrow.Limits.IdleEndpoints != 16 {
		t.Errorf("error %v, limits %+v", narrowErr, narrow)
	}
	c, err = Parse([]byte(good), func(k string) string { return map[string]string{"RELAY_LISTEN": "127.0.0.2:1"}[k] })
	if err != nil || c.Listen != "127.0.0.2:1" {
		t.Errorf("error %v, listen %q; want the address from the environment", err, c.Listen)
	}
}

// TestParse_FaultyKey_IsNamed: the error for an invalid value names its key.
func TestParse_FaultyKey_IsNamed(t *testing.T) {
	for _, fault := range []struct{ old, new, key string }{
		{`"state": "/run/state",`, ``, "state"},
		{`"settings": {`, `"settings": 3, "x": {`, "settings"},
		{`"lanes": [{"name": "match-event", "deadline": 9}]`, `"lanes": 3`, "settings"},
		{`"lanes": [{"name": "match-event", "deadline": 9}]`, `"lanes": []`, "settings.lanes"},
		{`"peers_total": 1`, `"peers_total": 0`, "settings"},
		{`"peers_total": 1`, `"peers_total": 1, "registry_mode": "gossip"`, "settings.registry_mode"},
		{`"peers_total": 1`, `"peers_total": 1, "weight_source": "guess"`, "settings.weight_source"},
		{`"workers": 4`, `"workers": 4, "loses_worth": "thirds"`, "settings.family_info.loses_worth"},
		{`"deadline": 9}]`, `"deadline": 9, "effect": "mostly_pure"}]`, "settings.lanes.0.effect"},
		{`"deadline": 9}]`, `"deadline": 9, "group": "hall"}]`, "settings.lanes.0.group"},
		{`"deadline": 9}]`, `"deadline": 9}, {"name": "match-event", "deadline": 8}]`, "settings.lanes.1.name"},
		{`"workers": 4`, `"workers": 0`, "settings.family_info.workers"},
		{`"memory_mb": 192`, `"memory_mb": "much"`, "limits.memory_mb"},
		{`"sockets": 1024`, `"sockets": 3`, "limits.sockets"},
		{`"dest": 7, `, ``, "activitypub.partners.0.dest"},
		{`"dest": 7, "kind": "club-sites"`, `"dest": 7, "kind": "news-groups"`, "activitypub.partners.0.kind"},
		{`"http://h.example/inbox"`, `"h.example"`, "activitypub.partners.0.inboxes.0"},
		{`"Create": "match-event"`, `"Create": "match"`, "activitypub.classes.Create"},
		{`"key_file": "pub", `, ``, "activitypub.clients.0.key_file"},
		{`"vrid": 7`, `"vrid": 256`, "vrrp.vrid"},
		{`"address": "10.0.0.5"`, `"address": "here"`, "vrrp.address"},
		{`"virtual": ["10.0.0.100"]`, `"virtual": []`, "vrrp.virtual"},
		{`"file": "hook.wasm"`, `"file": "hook.wasm", "timeout": 20`, "hooks.0.timeout"},
		{`{"listen"`, `{listen`, "(whole file)"},
	} {
		text := strings.Replace(good, fault.old, fault.new, 1)
		_, err := parse(text)
		var key *policy.KeyError
		if !errors.As(err, &key) || key.Source != "config" || key.Key != fault.key {
			t.Errorf("%s instead of %s: error %v, want one for key %s", fault.new, fault.old, err, fault.key)
		}
	}
	if _, err := Load("", func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("error %v, want one that names RELAY_CONFIG", err)
	}
}
