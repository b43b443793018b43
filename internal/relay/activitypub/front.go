// Package activitypub is the second front: it accepts signed activities at an inbox, delivers them to the
// inboxes of partners, and tells those who handed them in of the one end that each has had.
package activitypub

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/platform"
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

// end is how a message ended, to answer for when it comes again.
type end struct {
	delivered bool
	ranAt     time.Time // zero: it never ran
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

// Handle answers a request on a client's connection.
func (f *Front) Handle(q *httpwire.Request) httpwire.Answer {
	path, _, _ := strings.Cut(q.Path, "?")
	switch {
	case q.Method == "GET" && path == "/up":
		if f.core.Ready() {
			return httpwire.Answer{Status: 200}
		}
		return httpwire.Answer{Status: 503}
	case q.Method == "GET" && path == f.path:
		return httpwire.Answer{Status: 200, Header: []string{"Content-Type", contentType}, Body: f.doc}
	case q.Method != "POST":
		return say(405, "want POST")
	}
	name, ok := strings.CutPrefix(path, "/inbox/")
	partner, known := f.partners[name]
	if !ok || !known {
		return say(404, "no such inbox")
	}
	if f.Open != nil && !f.Open() {
		return httpwire.Answer{Status: 503, Header: []string{"Retry-After", seconds(f.limits.BusyRetry)},
			Body: []byte("this router stands by\n")}
	}
	m, again, err := f.message(q)
	var no *RequestError
	if errors.As(err, &no) {
		return say(no.Status, no.Reason)
	}
	if again {
		return say(200, "delivered before")
	}
	m.Partner, m.Tenant = partner.Destination, partner.Tenant
	switch r := f.core.Submit(Name, m); r.Verdict {
	case engine.Accepted:
		return httpwire.Answer{Status: 202, OnLost: func() { f.core.Withdraw(r) }}
	case engine.Busy:
		return platform.BusyReply(r.RetryAfter)
	case engine.Rejected:
		a := say(cmp.Or(r.Status, 422), r.Reason)
		a.NoErrorDelay = true
		return a
	default:
		return say(500, "given up")
	}
}

func say(status int, why string) httpwire.Answer {
	return httpwire.Answer{Status: status, Header: []string{"Content-Type", "text/plain"}, Body: []byte(why + "\n")}
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// message checks an activity and makes a message of it; again: it has been delivered already.
func (f *Front) message(q *httpwire.Request) (m engine.Message, again bool, err error) {
	kind, _, _ := strings.Cut(q.Header.Get("Content-Type"), ";")
	if kind = strings.TrimSpace(kind); kind != contentType && kind != "application/ld+json" {
		return m, false, &RequestError{415, "want " + contentType}
	}
	now := f.Now()
	keyID, err := Verify(q, f.keys, now, f.cfg.Skew)
	if err != nil {
		return m, false, err
	}
	if !gjson.ValidBytes(q.Body) {
		return m, false, &RequestError{400, "the body is not JSON"}
	}
	act := gjson.ParseBytes(q.Body)
	id, actor := act.Get("id").String(), act.Get("actor").String()
	class, known := f.classes[act.Get("type").String()]
	switch {
	case !act.IsObject() || id == "" || len(id) > 2048:
		return m, false, &RequestError{400, "the activity has no usable id"}
	case f.owners[keyID].Actor != actor:
		return m, false, &RequestError{403, "the activity's actor does not own the key"}
	case !known:
		return m, false, &RequestError{422, "no class for this type of activity"}
	}
	m = engine.Message{ID: id, Key: id, Class: class, Deadline: now.Add(f.set[class].Deadline), Body: q.Body,
		Header: q.Header}
	if v := act.Get("endTime"); v.Exists() {
		t, err := time.Parse(time.RFC3339, v.String())
		if err != nil {
			return m, false, &RequestError{400, "endTime can't be read"}
		}
		if !t.After(now) {
			return m, false, &RequestError{422, "endTime has passed"}
		}
		if t.Before(m.Deadline) {
			m.Deadline = t
		}
	}
	// An id that has ended before: one that was delivered is not delivered again, and one that may have
	// taken effect and is keyed comes again only within its window.
	f.mu.Lock()
	before, ok := f.ended[id]
	f.mu.Unlock()
	if m.Resubmitted = ok; !ok || before.ranAt.IsZero() && !before.delivered {
		return m, false, nil
	}
	if before.delivered {
		return m, true, nil
	}
	c := &f.set[class]
	if c.Effect == control.Unsafe || c.Effect == control.Keyed && now.Sub(before.ranAt) >= c.Memory {
		return m, false, &RequestError{409, "it may have taken effect, and can't be repeated any more"}
	}
	m.MayHaveRunAt = before.ranAt
	return m, false, nil
}

// Call delivers activities to an inbox, one a request.
func (f *Front) Call(ctx context.Context, step *engine.Attempt) []engine.Outcome {
	outs := make([]engine.Outcome, len(step.Items))
	for i := range step.Items {
		it := &step.Items[i]
		outs[i] = f.post(ctx, f.inboxes[step.To.Name], it.Body, it.Headers, step)
	}
	return outs
}

// post signs a body and posts it, for a step or, where that is nil, as an answer to a client.
func (f *Front) post(ctx context.Context, u *url.URL, body []byte, more []string, step *engine.Attempt) (o engine.Outcome) {
	if u == nil {
		return engine.Outcome{Result: control.Rejected}
	}
	head, err := f.signer.Headers("POST", u.Host, u.RequestURI(), body, f.Now())
	if err != nil {
		f.log.Error("activity not signed", "err", err)
		return engine.Outcome{Result: control.NotProcessed}
	}
	request := httpwire.AppendRequest(nil, "POST", u.RequestURI(), u.Host, append(head, more...), body)
	var mayWrite func() bool
	if step != nil {
		mayWrite = step.MayWrite
	}
	stage := f.pool.Do(ctx, httpwire.Peer{Address: address(u)}, request, mayWrite, func(p *httpwire.Response) {
		if o = outcome(p); step != nil {
			step.ObserveAnswer(p.Status, p.Header, p.Body)
		}
	})
	if r, failed := platform.StageResult(stage); failed && (stage != httpwire.Malformed || o.Result != control.Delivered) {
		o = engine.Outcome{Result: r}
	}
	return o
}

// outcome maps an inbox's answer. A status that no rule names is taken for a refusal for good if it blames
// the request, and for one that may have run if it blames the server.
func outcome(p *httpwire.Response) engine.Outcome {
	switch s := p.Status; {
	case s >= 200 && s < 300:
		return engine.Outcome{Result: control.Delivered}
	case s == 429 || s == 503:
		return engine.Outcome{Result: control.Throttled, RetryAfter: platform.RetryAfter(p.Header.Get("Retry-After"))}
	case s == 408 || s >= 500:
		return engine.Outcome{Result: control.Errored}
	}
	return engine.Outcome{Result: control.Rejected} // 401 and 403 refuse the signature, 404 and 410 the inbox
}

// Notify posts to each client the one final answer to what it handed in. A client that refuses it for good
// has had it.
func (f *Front) Notify(ctx context.Context, notices []engine.Notice) []bool {
	taken := make([]bool, len(notices))
	room := make(chan struct{}, f.limits.ParallelNotices)
	var all sync.WaitGroup
	for i := range notices {
		n := &notices[i]
		f.remember(n)
		c := f.clients[gjson.GetBytes(n.Body, "actor").String()]
		if c == nil { // no longer in the configuration
			f.log.Warn("no recipient for final notification", "id", n.ID)
			taken[i] = true
			continue
		}
		u, err := url.Parse(c.Inbox)
		if err != nil {
			taken[i] = true
			continue
		}
		all.Add(1)
		room <- struct{}{}
		go func() {
			defer func() { <-room; all.Done() }()
			r := f.post(ctx, u, f.answer(n), nil, nil).Result
			taken[i] = r == control.Delivered || r == control.Rejected
		}()
	}
	all.Wait()
	return taken
}

// answer is an Accept for a delivery and a Reject for all else. Its id is the same each time it is sent.
func (f *Front) answer(n *engine.Notice) []byte {
	kind, how := "Reject", "given_up"
	c := &f.set[n.Class]
	once := !n.MayHaveRunAt.IsZero() && c.Effect == control.Keyed // it may have taken effect: only the window allows more
	back := n.HandedBack && (!once || f.Now().Before(n.MayHaveRunAt.Add(c.Memory)))
	if n.Delivered {
		kind, how = "Accept", "delivered"
	} else if back {
		how = "handed_back"
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", n.ID, n.Deadline.UnixMicro()))
	b := []byte(`{"@context":"https://www.w3.org/ns/activitystreams","id":`)
	b = append(gjson.AppendJSONString(b, f.cfg.Actor+"/answers/"+hex.EncodeToString(sum[:16])), `,"type":"`...)
	b = append(append(append(b, kind...), `","actor":`...), gjson.AppendJSONString(nil, f.cfg.Actor)...)
	b = append(gjson.AppendJSONString(append(b, `,"object":`...), n.ID), `,"summary":"`...)
	b = append(append(b, how...), '"')
	if back { // when to come again, and, if it may have taken effect, until when
		b = fmt.Appendf(b, `,"retryAfter":%s`, seconds(n.RetryAfter))
		if once {
			b = fmt.Appendf(b, `,"endTime":"%s"`, n.MayHaveRunAt.Add(c.Memory).UTC().Format(time.RFC3339Nano))
		}
	}
	return append(b, '}')
}

// remember keeps how a message ended, for as many as the limits allow.
func (f *Front) remember(n *engine.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.ended[n.ID]; !ok {
		f.line = append(f.line, n.ID)
	}
	f.ended[n.ID] = end{delivered: n.Delivered, ranAt: n.MayHaveRunAt}
	for len(f.line) > f.limits.MaxRemembered {
		delete(f.ended, f.line[0])
		f.line = f.line[1:]
	}
}
