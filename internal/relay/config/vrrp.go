package config

import (
	"net"
	"time"
)

// VRRP is the configuration of the virtual router whose state opens and closes the ActivityPub front.
type VRRP struct {
	Listen     string   // UDP address
	Peers      []string // UDP addresses of the other routers
	VRID       uint8
	Priority   uint8
	Advertise  time.Duration
	Preempt    bool
	Address    net.IP   // this router's own address, which decides between equal priorities
	Virtual    []net.IP // the addresses of the virtual router
	AcceptMode bool
}

// vrrp reads the section vrrp.
func (p *parser) vrrp(c *Config) {
	v := &VRRP{Listen: p.required("vrrp.listen"), VRID: uint8(p.number("vrrp.vrid", -1, 1, 255)),
		Priority:  uint8(p.number("vrrp.priority", 100, 1, 255)),
		Advertise: p.duration("vrrp.advertise", time.Second),
		Preempt:   p.flag("vrrp.preempt", true), Address: p.ip("vrrp.address")}
	p.require("vrrp.advertise", v.Advertise >= 10*time.Millisecond && v.Advertise <= 40950*time.Millisecond,
		"want 10ms to 40.95s")
	p.each("vrrp.peers", func(path string) { v.Peers = append(v.Peers, p.required(path)) })
	p.each("vrrp.virtual", func(path string) { v.Virtual = append(v.Virtual, p.ip(path)) })
	p.require("vrrp", c.ActivityPub != nil, "want a section activitypub too: vrrp opens and closes that front")
	p.require("vrrp.virtual", len(v.Virtual) > 0 && len(v.Virtual) < 256, "want 1 to 255 addresses")
	c.VRRP = v
}
