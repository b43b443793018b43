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
		return httpwire.Answer{Status: 200, Header: []string{"Content-Type", contentType}, Body: f.actorDoc}
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
	m, delivered, err := f.message(q)
	var rejected *RequestError
	if errors.As(err, &rejected) {
		return say(rejected.Status, rejected.Reason)
	}
	if delivered {
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

// message checks an activity and makes a message of it; delivered: it has been delivered already. Its error is a *RequestError.
func (f *Front) message(q *httpwire.Request) (m engine.Message, delivered bool, err error) {
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
	activity := gjson.ParseBytes(q.Body)
	id, actor := activity.Get("id").String(), activity.Get("actor").String()
	class, known := f.classes[activity.Get("type").String()]
	switch {
	case !activity.IsObject() || id == "" || len(id) > 2048:
		return m, false, &RequestError{400, "the activity has no usable id"}
	case f.owners[keyID].Actor != actor:
		return m, false, &RequestError{403, "the activity's actor does not own the key"}
	case !known:
		return m, false, &RequestError{422, "no class for this type of activity"}
	}
	m = engine.Message{ID: id, Key: id, Class: class, Deadline: now.Add(f.messageClasses[class].Deadline), Body: q.Body,
		Header: q.Header}
	if v := activity.Get("endTime"); v.Exists() {
		if err = limitDeadline(&m, v.String(), now); err != nil {
			return m, false, err
		}
	}
	delivered, err = f.resubmitted(&m, now)
	return m, delivered, err
}

// limitDeadline takes an activity's endTime for its deadline if that is earlier.
func limitDeadline(m *engine.Message, endTime string, now time.Time) error {
	t, err := time.Parse(time.RFC3339, endTime)
	if err != nil {
		return &RequestError{400, "endTime can't be read"}
	}
	if !t.After(now) {
		return &RequestError{422, "endTime has passed"}
	}
	if t.Before(m.Deadline) {
		m.Deadline = t
	}
	return nil
}

// resubmitted marks a message whose id has ended before. One that was delivered is not delivered again, and one that may have taken effect
// and is keyed comes again only within its window.
func (f *Front) resubmitted(m *engine.Message, now time.Time) (delivered bool, err error) {
	f.mu.Lock()
	before, ok := f.ended[m.ID]
	f.mu.Unlock()
	if m.Resubmitted = ok; !ok || before.ranAt.IsZero() && !before.delivered {
		return false, nil
	}
	if before.delivered {
		return true, nil
	}
	class := &f.messageClasses[m.Class]
	if class.Effect == control.Unsafe || class.Effect == control.Keyed && now.Sub(before.ranAt) >= class.Memory {
		return false, &RequestError{409, "it may have taken effect, and can't be repeated any more"}
	}
	m.MayHaveRunAt = before.ranAt
	return false, nil
}
