package config

import (
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Peers sets up the relay's part in a fleet whose relays talk to each other.
type Peers struct {
	Fleet                string            // messages of another are dropped
	Name                 string            // this relay's
	Listen               string            // UDP address
	Addresses            map[string]string // the other relays' addresses, by name
	Voters               []string          // those who have a say
	State                string            // folder that lasts
	Lease                time.Duration     // a relay that hears nothing acts for this long at most
	Drift                float64           // how much faster or slower than another's a clock may run, as a share
	ServeWhenPartitioned bool              // a relay that is cut off goes on; otherwise it refuses
	GuaranteedShare      float64           // of each limit, that is the relays' own and never lent; 0: they share nothing
}

// Roster is the names of all relays of the fleet, sorted.
func (p *Peers) Roster() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(p.Addresses)), p.Name)))
}

// maxPeers bounds a fleet: the state that a datagram carries holds all names.
const maxPeers = 1000

// peers reads the section peers, where there is one.
func (p *parser) peers(c *Config) {
	if !p.root.Get("peers").Exists() {
		return
	}
	q := &Peers{Fleet: p.required("peers.fleet"), Name: p.text("peers.name", c.Name), Listen: p.required("peers.listen"), Addresses: map[string]string{},
		State: p.text("peers.state", filepath.Join(c.State, "fleet")), Lease: p.duration("peers.lease", 2*time.Second),
		Drift: p.number("peers.drift", 0.01, 0, 0.5)}
	p.require("peers.name", relayName(q.Name), "want letters, digits, . - and _, 64 at most")
	p.require("peers.lease", q.Lease >= 100*time.Millisecond && q.Lease <= time.Minute, "want 100ms to 1m")
	p.address("peers.listen", q.Listen)
	for name, a := range p.root.Get("peers.others").Map() {
		at := "peers.others." + name
		p.require(at, relayName(name), "want letters, digits, . - and _, 64 at most, for a name")
		p.require(at, name != q.Name, "this relay's own name")
		p.address(at, a.String())
		q.Addresses[name] = a.String()
	}
	p.require("peers.others", len(q.Addresses) < maxPeers, "too many")
	p.each("peers.voters", func(at string) {
		name := p.required(at)
		p.require(at, name == q.Name || q.Addresses[name] != "", "no relay of that name")
		p.require(at, !slices.Contains(q.Voters, name), "named twice")
		q.Voters = append(q.Voters, name)
	})
	p.require("peers.voters", len(q.Voters) >= 1 && len(q.Voters) <= 7 && len(q.Voters)%2 == 1, "want 1, 3, 5 or 7 relays")
	alone := p.text("peers.alone", "refuse")
	p.require("peers.alone", alone == "serve" || alone == "refuse", "want serve or refuse")
	q.ServeWhenPartitioned = alone == "serve"
	if p.root.Get("peers.share").Exists() {
		q.GuaranteedShare = p.number("peers.share.kept", 0.25, 0.01, 1)
	}
	c.Peers = q
}

func (p *parser) address(key, v string) {
	a, err := netip.ParseAddrPort(v)
	p.require(key, err == nil && a.Addr().Is4() && a.Port() != 0, "want an IPv4 address with a port, such as 10.0.0.7:7400")
}

func relayName(s string) bool {
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	})
}
