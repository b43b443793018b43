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

// Handle is the httpwire.Handler for clients' requests: GET /up reports whether messages are accepted, GET of the actor's path returns its
// document, and POST /inbox/PARTNER submits an activity.
func (f *Front) Handle(request *httpwire.Request) httpwire.Answer {
	path, _, _ := strings.Cut(request.Path, "?")
	switch {
	case request.Method == "GET" && path == "/up":
		if f.core.Ready() {
			return httpwire.Answer{Status: 200}
		}
		return httpwire.Answer{Status: 503}
	case request.Method == "GET" && path == f.path:
		return httpwire.Answer{Status: 200, Header: []string{"Content-Type", contentType}, Body: f.actorDoc}
	case request.Method != "POST":
		return textAnswer(405, "want POST")
	}
	name, ok := strings.CutPrefix(path, "/inbox/")
	partner, known := f.partners[name]
	if !ok || !known {
		return textAnswer(404, "no such inbox")
	}
	if f.Open != nil && !f.Open() {
		return httpwire.Answer{Status: 503, Header: []string{"Retry-After", seconds(f.limits.BusyRetry)},
			Body: []byte("this router stands by\n")}
	}
	message, delivered, err := f.message(request)
	var rejected *RequestError
	if errors.As(err, &rejected) {
		return textAnswer(rejected.Status, rejected.Reason)
	}
	if delivered {
		return textAnswer(200, "delivered before")
	}
	message.Partner, message.Tenant = partner.Destination, partner.Tenant
	switch reply := f.core.Submit(Name, message); reply.Verdict {
	case engine.Accepted:
		return httpwire.Answer{Status: 202, OnLost: func() { f.core.Withdraw(reply) }}
	case engine.Busy:
		return platform.BusyReply(reply.RetryAfter)
	case engine.Rejected:
		answer := textAnswer(cmp.Or(reply.Status, 422), reply.Reason)
		answer.NoErrorDelay = true
		return answer
	default:
		return textAnswer(500, "given up")
	}
}

// textAnswer returns an answer whose body is a line of text.
func textAnswer(status int, text string) httpwire.Answer {
	return httpwire.Answer{Status: status, Header: []string{"Content-Type", "text/plain"}, Body: []byte(text + "\n")}
}

// seconds formats a duration in seconds, with three decimals.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// maxIDBytes limits an activity's id.
const maxIDBytes = 2048

// message checks the activity in a request and converts it to a message; delivered: it has been delivered before. Its error is a
// *RequestError.
func (f *Front) message(request *httpwire.Request) (message engine.Message, delivered bool, err error) {
	kind, _, _ := strings.Cut(request.Header.Get("Content-Type"), ";")
	if kind = strings.TrimSpace(kind); kind != contentType && kind != "application/ld+json" {
		return message, false, &RequestError{415, "want " + contentType}
	}
	now := f.Now()
	keyID, err := Verify(request, f.keys, now, f.cfg.Skew)
	if err != nil {
		return message, false, err
	}
	if !gjson.ValidBytes(request.Body) {
		return message, false, &RequestError{400, "the body is not JSON"}
	}
	activity := gjson.ParseBytes(request.Body)
	id, actor := activity.Get("id").String(), activity.Get("actor").String()
	class, known := f.classes[activity.Get("type").String()]
	switch {
	case !activity.IsObject() || id == "" || len(id) > maxIDBytes:
		return message, false, &RequestError{400, "the activity has no usable id"}
	case f.owners[keyID].Actor != actor:
		return message, false, &RequestError{403, "the activity's actor does not own the key"}
	case !known:
		return message, false, &RequestError{422, "no class for this type of activity"}
	}
	message = engine.Message{ID: id, Key: id, Class: class, Deadline: now.Add(f.messageClasses[class].Deadline), Body: request.Body,
		Header: request.Header}
	if endTime := activity.Get("endTime"); endTime.Exists() {
		if err = limitDeadline(&message, endTime.String(), now); err != nil {
			return message, false, err
		}
	}
	delivered, err = f.resubmitted(&message, now)
	return message, delivered, err
}

// limitDeadline shortens a message's deadline to its activity's endTime if that is earlier. Its error is a *RequestError.
func limitDeadline(message *engine.Message, endTime string, now time.Time) error {
	end, err := time.Parse(time.RFC3339, endTime)
	if err != nil {
		return &RequestError{400, "endTime can't be read"}
	}
	if !end.After(now) {
		return &RequestError{422, "endTime has passed"}
	}
	if end.Before(message.Deadline) {
		message.Deadline = end
	}
	return nil
}

// resubmitted sets Resubmitted for a message with an id that has ended before. A message that was delivered is not delivered again. One
// that may have taken effect can't be repeated if its class is unsafe, or, if its class is deduplicated by key, once its deduplication
// window is over: then the error is a *RequestError.
func (f *Front) resubmitted(message *engine.Message, now time.Time) (delivered bool, err error) {
	f.mu.Lock()
	before, ended := f.ended[message.ID]
	f.mu.Unlock()
	if message.Resubmitted = ended; !ended || before.ranAt.IsZero() && !before.delivered {
		return false, nil
	}
	if before.delivered {
		return true, nil
	}
	class := &f.messageClasses[message.Class]
	if class.Effect == control.Unsafe || class.Effect == control.Keyed && now.Sub(before.ranAt) >= class.DedupWindow {
		return false, &RequestError{409, "it may have taken effect, and can't be repeated any more"}
	}
	message.MayHaveRunAt = before.ranAt
	return false, nil
}
