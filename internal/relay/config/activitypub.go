package config

import (
	"slices"
	"time"

	"mastusher/control"
)

// ActivityPub is the configuration of the ActivityPub front.
type ActivityPub struct {
	Listen   string // TCP address of the relay's inboxes
	Actor    string // this relay's actor id, a URL
	KeyID    string
	KeyFile  string            // private key, PEM with PKCS #8; created at the first start if missing
	Skew     time.Duration     // maximum difference of a request's date from the relay's clock
	Partners []Partner         // systems that it delivers to
	Clients  []Client          // actors that may submit activities
	Classes  map[string]string // name of the message class, by type of activity
}

// Partner is a partner system with inboxes.
type Partner struct {
	Name        string
	Destination int // number of the partner
	Kind        string
	Zone        string
	Inboxes     []string // URLs
	Tenant      int      // index in the settings of the tenant that its messages belong to; -1: none
}

// Client is an actor that may submit activities.
type Client struct {
	Actor   string
	KeyID   string
	KeyFile string // public key, PEM
	Inbox   string // URL to which final answers to its activities are posted
}

// activityPub reads the section activitypub.
func (p *parser) activityPub(c *Config) {
	a := &ActivityPub{Listen: p.required("activitypub.listen"), Actor: p.required("activitypub.actor"),
		KeyFile: p.required("activitypub.key_file"),
		Skew:    p.duration("activitypub.date_skew", 5*time.Minute)}
	a.KeyID = p.text("activitypub.key_id", a.Actor+"#main-key")
	seen := map[int]bool{}
	p.each("activitypub.partners", func(path string) { p.partner(c, a, path, seen) })
	p.each("activitypub.clients", func(path string) {
		client := Client{Actor: p.required(path + ".actor"), KeyFile: p.required(path + ".key_file"), Inbox: p.url(path + ".inbox")}
		client.KeyID = p.text(path+".key_id", client.Actor+"#main-key")
		a.Clients = append(a.Clients, client)
	})
	p.require("activitypub.partners", len(a.Partners) > 0, "none")
	p.require("activitypub.clients", len(a.Clients) > 0, "none")
	a.Classes = map[string]string{}
	for kind, class := range p.root.Get("activitypub.classes").Map() {
		key := "activitypub.classes." + kind
		a.Classes[kind] = class.String()
		p.require(key, slices.ContainsFunc(c.Settings.Classes, func(k control.Class) bool { return k.Name == class.String() }),
			"no class of that name in settings.lanes")
	}
	p.require("activitypub.classes", len(a.Classes) > 0, "missing: want a class for each type of activity")
	c.ActivityPub = a
}

// partner reads one partner; seen holds the numbers of the partners before it.
func (p *parser) partner(c *Config, a *ActivityPub, path string, seen map[int]bool) {
	partner := Partner{Name: p.required(path + ".name"), Destination: int(p.number(path+".dest", -1, 0, 65535)),
		Kind: p.text(path+".kind", ""), Zone: p.text(path+".zone", ""), Tenant: -1}
	if name := p.text(path+".tenant", ""); name != "" {
		partner.Tenant = slices.Index(c.Settings.TenantNames, name)
		p.require(path+".tenant", partner.Tenant >= 0, "no tenant of that name in the settings")
	}
	p.each(path+".inboxes", func(inbox string) { partner.Inboxes = append(partner.Inboxes, p.url(inbox)) })
	p.require(path+".inboxes", len(partner.Inboxes) > 0, "want at least one inbox")
	if kind := slices.Index(c.Settings.KindNames, partner.Kind); kind >= 0 && kind < len(c.Settings.Kinds) {
		p.require(path+".kind", c.Settings.Kinds[kind].MaxMessagesPerCall <= 1, "calls of this kind carry several messages, but an inbox takes one")
	}
	p.require(path+".dest", !seen[partner.Destination], "used by another partner")
	seen[partner.Destination] = true
	a.Partners = append(a.Partners, partner)
}
