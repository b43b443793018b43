package config

import (
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
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
		at := "peers.others." + name
		p.require(at, relayName(name), "want letters, digits, . - and _, 64 at most, for a name")
		p.require(at, name != peers.Name, "this relay's own name")
		p.address(at, address.String())
		peers.Addresses[name] = address.String()
	}
	p.require("peers.others", len(peers.Addresses) < maxPeers, "too many")
	p.each("peers.voters", func(at string) {
		name := p.required(at)
		p.require(at, name == peers.Name || peers.Addresses[name] != "", "no relay of that name")
		p.require(at, !slices.Contains(peers.Voters, name), "named twice")
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

// address checks an address that datagrams can be sent to.
func (p *parser) address(key, text string) {
	address, err := netip.ParseAddrPort(text)
	p.require(key, err == nil && address.Addr().Is4() && address.Port() != 0, "want an IPv4 address with a port, such as 10.0.0.7:7400")
}

// relayName tells whether a relay may be called so.
func relayName(name string) bool { return isName(name, "-_.") }
