package activitypub

import (
	"context"
	"fmt"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/plugin/rules"
)

// Name is this front's name in the journal.
const Name = "activitypub"

// Guard is what plug-ins may change here: headers that neither the signature nor the protocol owns, and the body
// before it is signed, as long as it stays the same activity by the same actor.
var Guard = rules.Front{Name: Name, Owned: []string{"Accept", "Authorization", "Content-Digest", "Content-Type", "Date",
	"Digest", "Signature", "Signature-*"}, Body: func(before, after []byte) bool {
	if !gjson.ValidBytes(after) {
		return false
	}
	was, is := gjson.ParseBytes(before), gjson.ParseBytes(after)
	times := map[string]int{} // a key that stands there twice is read differently by different partners
	is.ForEach(func(k, _ gjson.Result) bool { times[k.String()]++; return true })
	for _, key := range []string{"id", "actor", "type", "endTime"} {
		if was.Get(key).Raw != is.Get(key).Raw || times[key] > 1 {
			return false
		}
	}
	return is.IsObject()
}}

const contentType = "application/activity+json"

// Submitter is the part of the core that takes messages on.
type Submitter interface {
	Submit(front string, m engine.Message) engine.Reply
	Withdraw(engine.Reply)
	Ready() bool
}

// Front speaks ActivityPub.
type Front struct {
	cfg    *config.ActivityPub
	limits *config.Limits
	core   Submitter
	log    *slog.Logger
	pool   *httpwire.Pool
	signer Signer
	doc    []byte // the actor document
	path   string // where it stands

	keys     keyring
	owners   map[string]*config.Client // by key id
	clients  map[string]*config.Client // by actor
	inboxes  map[string]*url.URL       // by destination's name
	partners map[string]config.Partner // by name
	classes  map[string]int            // by type of activity
	set      []control.Class

	// Open tells whether new messages are taken on at this router; see VRRP. nil: always.
	Open func() bool
	// Now is the clock for dates and deadlines.
	Now func() time.Time

	mu    sync.Mutex
	ended map[string]end // messages that have ended, by id
	line  []string       // their ids, the oldest first
}

// New returns the front of core, and its destinations; it still has to be added to it.
func New(cfg *config.Config, core Submitter, log *slog.Logger) (*Front, engine.EndpointList, error) {
	a := cfg.ActivityPub
	f := &Front{cfg: a, limits: &cfg.Limits, core: core, log: log, pool: httpwire.NewPool(&cfg.Limits),
		keys: keyring{}, owners: map[string]*config.Client{}, clients: map[string]*config.Client{},
		inboxes: map[string]*url.URL{}, partners: map[string]config.Partner{}, classes: map[string]int{},
		set: cfg.Settings.Classes, Now: time.Now, ended: map[string]end{}}
	none := engine.EndpointList{}
	key, err := ReadKey(a.KeyFile)
	if err != nil {
		return nil, none, &config.KeyError{Key: "activitypub.key_file", Reason: err.Error()}
	}
	f.signer = Signer{KeyID: a.KeyID, Key: key}
	u, err := url.Parse(a.Actor)
	if err != nil {
		return nil, none, &config.KeyError{Key: "activitypub.actor", Reason: err.Error()}
	}
	public, err := publicPEM(key)
	if err != nil {
		return nil, none, &config.KeyError{Key: "activitypub.key_file", Reason: err.Error()}
	}
	f.path, f.doc = u.Path, actorDocument(a, u, string(public))
	for i := range a.Clients {
		c := &a.Clients[i]
		if f.keys[c.KeyID], err = ReadPublicKey(c.KeyFile); err != nil {
			return nil, none, &config.KeyError{Key: fmt.Sprintf("activitypub.clients.%d.key_file", i), Reason: err.Error()}
		}
		f.owners[c.KeyID], f.clients[c.Actor] = c, c
	}
	for kind, class := range a.Classes {
		for i := range f.set {
			if f.set[i].Name == class {
				f.classes[kind] = i
			}
		}
	}
	pool := engine.EndpointList{Complete: true}
	for i, p := range a.Partners {
		f.partners[p.Name] = p
		for k, inbox := range p.Inboxes {
			u, err := url.Parse(inbox)
			if err != nil || u.Host == "" {
				return nil, none, &config.KeyError{Key: fmt.Sprintf("activitypub.partners.%d.inboxes.%d", i, k), Reason: "not a URL"}
			}
			f.inboxes[inbox] = u
			pool.Destinations = append(pool.Destinations, engine.Destination{Name: inbox, Address: address(u),
				Zone: p.Zone, Kind: p.Kind, Partner: p.Destination})
		}
	}
	return f, pool, nil
}

func address(u *url.URL) string {
	if u.Port() == "" {
		return u.Host + ":80"
	}
	return u.Host
}

func actorDocument(a *config.ActivityPub, u *url.URL, public string) []byte {
	b := []byte(`{"@context":["https://www.w3.org/ns/activitystreams","https://w3id.org/security/v1"],"type":"Service","id":`)
	b = append(gjson.AppendJSONString(b, a.Actor), `,"inbox":`...)
	b = append(gjson.AppendJSONString(b, u.Scheme+"://"+u.Host+"/inbox"), `,"publicKey":{"id":`...)
	b = append(gjson.AppendJSONString(b, a.KeyID), `,"owner":`...)
	b = append(gjson.AppendJSONString(b, a.Actor), `,"publicKeyPem":`...)
	return append(gjson.AppendJSONString(b, public), "}}\n"...)
}

// NotifiesDeliveries is true: whoever hands in an activity gets one Accept or Reject.
func (f *Front) NotifiesDeliveries() bool { return true }

// CloseIdle closes idle connections.
func (f *Front) CloseIdle(to *engine.Destination) {
	if to == nil {
		f.pool.CloseIdle(httpwire.Peer{})
	} else {
		f.pool.CloseIdle(httpwire.Peer{Address: to.Address})
	}
}

// Watch has nothing to follow: the partners stand in the configuration.
func (f *Front) Watch(context.Context, int64, func(engine.EndpointList)) error { return nil }
