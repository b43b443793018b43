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

// Name is this front's name in the journal and in captures: it must not change.
const Name = "activitypub"

// PluginHeaders limits what plug-ins may change on this front: all headers but those that the signature or the protocol sets, and
// the body before it is signed, as long as it stays the same activity by the same actor.
var PluginHeaders = rules.Front{Name: Name, Owned: []string{"Accept", "Authorization", "Content-Digest", "Content-Type", "Date",
	"Digest", "Signature", "Signature-*"}, Body: func(before, after []byte) bool {
	if !gjson.ValidBytes(after) {
		return false
	}
	was, is := gjson.ParseBytes(before), gjson.ParseBytes(after)
	times := map[string]int{} // occurrences of each key: of a repeated key partners may read either value
	is.ForEach(func(k, _ gjson.Result) bool { times[k.String()]++; return true })
	for _, key := range []string{"id", "actor", "type", "endTime"} {
		if was.Get(key).Raw != is.Get(key).Raw || times[key] > 1 {
			return false
		}
	}
	return is.IsObject()
}}

// contentType is the media type of activities and of the actor document.
const contentType = "application/activity+json"

// Submitter is the part of engine.Core that accepts messages; see engine.Core for its methods.
type Submitter interface {
	Submit(front string, m engine.Message) engine.Reply
	Withdraw(engine.Reply)
	Ready() bool
}

// Front is the engine.Front for ActivityPub. While it serves, only the fields ended and endedOrder change.
type Front struct {
	cfg      *config.ActivityPub
	limits   *config.Limits
	core     Submitter
	log      *slog.Logger
	pool     *httpwire.Pool
	signer   Signer
	actorDoc []byte // the actor document
	path     string // of the actor document

	keys           keyring
	owners         map[string]*config.Client // the client that owns a key, by key id
	clients        map[string]*config.Client // by actor
	inboxes        map[string]*url.URL       // by destination's name
	partners       map[string]config.Partner // by name
	classes        map[string]int            // by type of activity
	messageClasses []control.Class

	// Open reports whether this machine accepts new messages, such as vrrp.Instance.Active; nil: it always does.
	Open func() bool
	// Now is the clock for dates and deadlines.
	Now func() time.Time

	mu         sync.Mutex     // guards ended and endedOrder
	ended      map[string]end // how messages ended, by id
	endedOrder []string       // the ids of ended messages, oldest first
}

// New returns a front and its destinations; the caller must add both to core with AddFront. Its error is a *policy.KeyError.
func New(cfg *config.Config, core Submitter, log *slog.Logger) (*Front, engine.EndpointList, error) {
	section := cfg.ActivityPub
	front := &Front{cfg: section, limits: &cfg.Limits, core: core, log: log, pool: httpwire.NewPool(&cfg.Limits),
		keys: keyring{}, owners: map[string]*config.Client{}, clients: map[string]*config.Client{},
		inboxes: map[string]*url.URL{}, partners: map[string]config.Partner{}, classes: map[string]int{},
		messageClasses: cfg.Settings.Classes, Now: time.Now, ended: map[string]end{}}
	if err := front.setActor(); err != nil {
		return nil, engine.EndpointList{}, err
	}
	for i := range section.Clients {
		client := &section.Clients[i]
		key, err := ReadPublicKey(client.KeyFile)
		if err != nil {
			return nil, engine.EndpointList{}, config.NewKeyError(fmt.Sprintf("activitypub.clients.%d.key_file", i), err.Error())
		}
		front.keys[client.KeyID] = key
		front.owners[client.KeyID], front.clients[client.Actor] = client, client
	}
	for kind, name := range section.Classes {
		for i := range front.messageClasses {
			if front.messageClasses[i].Name == name {
				front.classes[kind] = i
			}
		}
	}
	destinations, err := front.setPartners()
	if err != nil {
		return nil, engine.EndpointList{}, err
	}
	return front, engine.EndpointList{Complete: true, Destinations: destinations}, nil
}

// setActor reads this relay's key and encodes its actor document.
func (f *Front) setActor() error {
	key, err := ReadKey(f.cfg.KeyFile)
	if err != nil {
		return config.NewKeyError("activitypub.key_file", err.Error())
	}
	f.signer = Signer{KeyID: f.cfg.KeyID, Key: key}
	actor, err := url.Parse(f.cfg.Actor)
	if err != nil {
		return config.NewKeyError("activitypub.actor", err.Error())
	}
	public, err := publicPEM(key)
	if err != nil {
		return config.NewKeyError("activitypub.key_file", err.Error())
	}
	f.path, f.actorDoc = actor.Path, actorDocument(f.cfg, actor, string(public))
	return nil
}

// setPartners adds the partners in the configuration and returns their inboxes as destinations.
func (f *Front) setPartners() (destinations []engine.Destination, err error) {
	for i, partner := range f.cfg.Partners {
		f.partners[partner.Name] = partner
		for n, inbox := range partner.Inboxes {
			inboxURL, err := url.Parse(inbox)
			if err != nil || inboxURL.Host == "" {
				return nil, config.NewKeyError(fmt.Sprintf("activitypub.partners.%d.inboxes.%d", i, n), "want a URL with a host")
			}
			f.inboxes[inbox] = inboxURL
			destinations = append(destinations, engine.Destination{Name: inbox, Address: address(inboxURL),
				Zone: partner.Zone, Kind: partner.Kind, Partner: partner.Destination})
		}
	}
	return destinations, nil
}

// address returns the host and port of a URL.
func address(u *url.URL) string {
	if u.Port() == "" {
		return u.Host + ":80"
	}
	return u.Host
}

// actorDocument encodes the actor at URL u with its public key, which is PEM.
func actorDocument(a *config.ActivityPub, u *url.URL, public string) []byte {
	b := []byte(`{"@context":["https://www.w3.org/ns/activitystreams","https://w3id.org/security/v1"],"type":"Service","id":`)
	b = append(gjson.AppendJSONString(b, a.Actor), `,"inbox":`...)
	b = append(gjson.AppendJSONString(b, u.Scheme+"://"+u.Host+"/inbox"), `,"publicKey":{"id":`...)
	b = append(gjson.AppendJSONString(b, a.KeyID), `,"owner":`...)
	b = append(gjson.AppendJSONString(b, a.Actor), `,"publicKeyPem":`...)
	return append(gjson.AppendJSONString(b, public), "}}\n"...)
}

// NotifiesDeliveries implements engine.Front. It returns true: a delivery is answered too, with an Accept.
func (f *Front) NotifiesDeliveries() bool { return true }

// CloseIdle implements engine.Front.
func (f *Front) CloseIdle(to *engine.Destination) {
	if to == nil {
		f.pool.CloseIdle(httpwire.Peer{})
	} else {
		f.pool.CloseIdle(httpwire.Peer{Address: to.Address})
	}
}

// Watch implements engine.Front. There is no endpoint list to watch: the partners are in the configuration.
func (f *Front) Watch(context.Context, int64, func(engine.EndpointList)) error { return nil }
