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
	cfg      *config.ActivityPub
	limits   *config.Limits
	core     Submitter
	log      *slog.Logger
	pool     *httpwire.Pool
	signer   Signer
	actorDoc []byte // the actor document
	path     string // where it stands

	keys           keyring
	owners         map[string]*config.Client // by key id
	clients        map[string]*config.Client // by actor
	inboxes        map[string]*url.URL       // by destination's name
	partners       map[string]config.Partner // by name
	classes        map[string]int            // by type of activity
	messageClasses []control.Class

	// Open tells whether new messages are taken on at this router; see VRRP. nil: always.
	Open func() bool
	// Now is the clock for dates and deadlines.
	Now func() time.Time

	mu         sync.Mutex
	ended      map[string]end // messages that have ended, by id
	endedOrder []string       // their ids, the oldest first
}

// New returns the front of core, and its destinations; it still has to be added to it. Its error is a *policy.KeyError.
func New(cfg *config.Config, core Submitter, log *slog.Logger) (*Front, engine.EndpointList, error) {
	section := cfg.ActivityPub
	f := &Front{cfg: section, limits: &cfg.Limits, core: core, log: log, pool: httpwire.NewPool(&cfg.Limits),
		keys: keyring{}, owners: map[string]*config.Client{}, clients: map[string]*config.Client{},
		inboxes: map[string]*url.URL{}, partners: map[string]config.Partner{}, classes: map[string]int{},
		messageClasses: cfg.Settings.Classes, Now: time.Now, ended: map[string]end{}}
	if err := f.setActor(); err != nil {
		return nil, engine.EndpointList{}, err
	}
	for i := range section.Clients {
		client := &section.Clients[i]
		key, err := ReadPublicKey(client.KeyFile)
		if err != nil {
			return nil, engine.EndpointList{}, config.NewKeyError(fmt.Sprintf("activitypub.clients.%d.key_file", i), err.Error())
		}
		f.keys[client.KeyID] = key
		f.owners[client.KeyID], f.clients[client.Actor] = client, client
	}
	for kind, name := range section.Classes {
		for i := range f.messageClasses {
			if f.messageClasses[i].Name == name {
				f.classes[kind] = i
			}
		}
	}
	destinations, err := f.setPartners()
	if err != nil {
		return nil, engine.EndpointList{}, err
	}
	return f, engine.EndpointList{Complete: true, Destinations: destinations}, nil
}

// setActor reads this relay's key and makes its actor document.
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

// setPartners makes the partners known, and returns their inboxes as destinations.
func (f *Front) setPartners() (destinations []engine.Destination, err error) {
	for i, partner := range f.cfg.Partners {
		f.partners[partner.Name] = partner
		for k, inbox := range partner.Inboxes {
			u, err := url.Parse(inbox)
			if err != nil || u.Host == "" {
				return nil, config.NewKeyError(fmt.Sprintf("activitypub.partners.%d.inboxes.%d", i, k), "not a URL")
			}
			f.inboxes[inbox] = u
			destinations = append(destinations, engine.Destination{Name: inbox, Address: address(u),
				Zone: partner.Zone, Kind: partner.Kind, Partner: partner.Destination})
		}
	}
	return destinations, nil
}

// address is where a URL's host listens.
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
