package config

import (
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"time"
)

// Peers is the configuration of a relay in a fleet, whose relays exchange datagrams.
type Peers struct {
	Fleet                string            // name of the fleet; datagrams of other fleets are dropped
	Name                 string            // name of this relay
	Listen               string            // UDP address
	Addresses            map[string]string // the other relays' addresses, by name
	Voters               []string          // names of the voting relays
	State                string            // persistent folder for the state
	Lease                time.Duration     // how long a relay that hears from no other may go on acting
	Drift                float64           // maximum relative difference between the rates of two relays' clocks
	ServeWhenPartitioned bool              // a relay cut off from the others goes on serving; otherwise it refuses messages
	GuaranteedShare      float64           // share of each limit that is split evenly and never leased to others; 0: no limits are shared
}

// Roster returns the names of all relays of the fleet, sorted.
func (p *Peers) Roster() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(p.Addresses)), p.Name)))
}

// maxPeers limits the size of a fleet: the state in a datagram holds the names of all relays.
const maxPeers = 1000

// peers reads the section peers, if there is one.
func (p *parser) peers(cfg *Config) {
	if !p.root.Get("peers").Exists() {
		return
	}
	peers := &Peers{Fleet: p.required("peers.fleet"), Name: p.text("peers.name", cfg.Name), Listen: p.required("peers.listen"), Addresses: map[string]string{},
		State: p.text("peers.state", filepath.Join(cfg.State, "fleet")), Lease: p.duration("peers.lease", 2*time.Second),
		Drift: p.number("peers.drift", 0.01, 0, 0.5)}
	p.require("peers.name", relayName(peers.Name), "want letters, digits, . - and _, 64 at most")
	p.require("peers.lease", peers.Lease >= 100*time.Millisecond && peers.Lease <= time.Minute, "want 100ms to 1m")
	p.address("peers.listen", peers.Listen)
	for name, address := range p.root.Get("peers.others").Map() {
		path := "peers.others." + name
		p.require(path, relayName(name), "want letters, digits, . - and _, 64 at most, for a name")
		p.require(path, name != peers.Name, "want the name of another relay, not this relay's own")
		p.address(path, address.String())
		peers.Addresses[name] = address.String()
	}
	p.require("peers.others", len(peers.Addresses) < maxPeers, "want fewer than 1000 other relays")
	p.each("peers.voters", func(path string) {
		name := p.required(path)
		p.require(path, name == peers.Name || peers.Addresses[name] != "", "no relay of that name in the fleet")
		p.require(path, !slices.Contains(peers.Voters, name), "relay named twice")
		peers.Voters = append(peers.Voters, name)
	})
	p.require("peers.voters", len(peers.Voters) >= 1 && len(peers.Voters) <= 7 && len(peers.Voters)%2 == 1, "want 1, 3, 5 or 7 relays")
	alone := p.text("peers.alone", "refuse")
	p.require("peers.alone", alone == "serve" || alone == "refuse", "want serve or refuse")
	peers.ServeWhenPartitioned = alone == "serve"
	if p.root.Get("peers.share").Exists() {
		peers.GuaranteedShare = p.number("peers.share.kept", 0.25, 0.01, 1)
	}
	cfg.Peers = peers
}

// address checks that a text is an address that datagrams can be sent to.
func (p *parser) address(key, text string) {
	address, err := netip.ParseAddrPort(text)
	p.require(key, err == nil && address.Addr().Is4() && address.Port() != 0, "want an IPv4 address with a port, such as 10.0.0.7:7400")
}

// relayName reports whether a text is valid as the name of a relay.
func relayName(name string) bool { return isName(name, "-_.") }
