package activitypub

import (
	"cmp"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/platform"
)

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
