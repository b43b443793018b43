package config

import (
	"errors"
	"strings"
	"testing"

	"mastusher/internal/relay/fleet/policy"
)

// TestParse_FaultyPeers_KeyIsNamed: the error for an invalid value in the section peers names its key.
func TestParse_FaultyPeers_KeyIsNamed(t *testing.T) {
	const base = `{"listen": "127.0.0.1:1", "state": "s", "settings": {"peers_total": 1, "allowed": {"max_attempts": 6}, "family_info": {"workers": 4},
	  "lanes": [{"name": "match-event", "deadline": 1000000}]}, "peers": PEERS}`
	const good = `{"fleet": "f", "name": "a", "listen": "10.0.0.1:7400", "others": {"b": "10.0.0.2:7400", "c": "10.0.0.3:7400"}, "voters": ["a", "b", "c"]}`
	none := func(string) string { return "" }
	c, err := Parse([]byte(strings.Replace(base, "PEERS", good, 1)), none)
	if err != nil || strings.Join(c.Peers.Roster(), "") != "abc" || c.Peers.ServeWhenPartitioned {
		t.Fatal(err, c)
	}
	for _, x := range []struct{ old, new, key string }{
		{`"fleet": "f", `, "", "peers.fleet"}, {`"name": "a"`, `"name": "a b"`, "peers.name"}, {"10.0.0.1:7400", "10.0.0.1", "peers.listen"},
		{"10.0.0.2:7400", "[::1]:7400", "peers.others.b"}, {`"b": `, `"a": `, "peers.others.a"}, {`"voters": ["a", "b", "c"]`, `"voters": ["a", "b"]`, "peers.voters"},
		{`"voters": ["a", "b", "c"]`, `"voters": ["a", "b", "d"]`, "peers.voters.2"}, {`["a", "b", "c"]`, `["a", "b", "b"]`, "peers.voters.2"},
		{`"fleet"`, `"lease": "1ms", "fleet"`, "peers.lease"}, {`"fleet"`, `"drift": 0.9, "fleet"`, "peers.drift"},
		{`"fleet"`, `"alone": "maybe", "fleet"`, "peers.alone"},
	} {
		_, err := Parse([]byte(strings.Replace(base, "PEERS", strings.Replace(good, x.old, x.new, 1), 1)), none)
		var key *policy.KeyError
		if !errors.As(err, &key) || key.Source != "config" || key.Key != x.key {
			t.Errorf("%s instead of %s: error %v, want one for key %s", x.new, x.old, err, x.key)
		}
	}
}
