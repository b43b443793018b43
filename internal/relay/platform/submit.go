package platform

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
)

// Handle is the httpwire.Handler of clients' connections: GET /up reports whether messages are accepted, POST /CLASS submits one.
func (f *Front) Handle(request *httpwire.Request) httpwire.Answer {
	path, _, _ := strings.Cut(request.Path, "?")
	if path == "/up" && (request.Method == "GET" || request.Method == "HEAD") {
		if f.core.Ready() {
			return httpwire.Answer{Status: 200}
		}
		return httpwire.Answer{Status: 503}
	}
	if request.Method != "POST" {
		return errorAnswer(405, "want POST")
	}
	message, status, reason := f.message(request, path, time.Now())
	if status != 0 {
		return errorAnswer(status, reason)
	}
	switch reply := f.core.Submit(Name, message); reply.Verdict {
	case engine.Accepted:
		return httpwire.Answer{Status: 202, OnLost: func() { f.core.Withdraw(reply) }}
	case engine.Busy:
		return BusyReply(reply.RetryAfter)
	case engine.Rejected:
		// The request was well-formed: a plug-in's ruling on one message must not delay others on the same connection.
		return httpwire.Answer{Status: cmp.Or(reply.Status, 422), Body: []byte(reply.Reason + "\n"), NoErrorDelay: true}
	default:
		return errorAnswer(500, "given up")
	}
}

// message converts a request to a message. For an invalid request it returns the status and reason of the answer; otherwise status is 0.
func (f *Front) message(request *httpwire.Request, path string, now time.Time) (m engine.Message, status int, reason string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	m.Class = -1
	for i := range f.settings.Classes {
		if f.settings.Classes[i].Name == name {
			m.Class = i
		}
	}
	if m.Class < 0 {
		return m, 404, "no such class"
	}
	class := &f.settings.Classes[m.Class]
	m.ID, m.Key, m.Body = request.Header.Get("X-Request-ID"), request.Header.Get("Idempotency-Key"), request.Body
	switch {
	case m.ID == "":
		return m, 400, "X-Request-ID is missing"
	case !f.printable(m.ID): // id and key are forwarded in headers, unescaped
		return m, 400, "X-Request-ID can't be used"
	case m.Key == "" && class.Effect == control.Keyed:
		return m, 400, "Idempotency-Key is missing"
	case !f.printable(m.Key):
		return m, 400, "Idempotency-Key can't be used"
	}
	if names := f.settings.TenantNames; len(names) > 0 {
		if m.Tenant = slices.Index(names, request.Header.Get("X-Tenant-Id")); m.Tenant < 0 {
			return m, 400, "X-Tenant-Id names no tenant of the settings"
		}
	}
	timeout, ok := ParseTimeout(request.Header.Get("X-Timeout"))
	if !ok {
		return m, 400, "X-Timeout can't be read"
	}
	m.Deadline = now.Add(min(timeout, class.Deadline))
	if m.Partner, ok = parseEnvelope(request.Header.Get("X-Envelope")); !ok {
		return m, 400, "X-Envelope names no dest"
	}
	m.Resubmitted, m.Header = request.Header.Get("X-Retried") != "", request.Header
	return m, 0, ""
}

// parseEnvelope parses the partner's number from the dest field of "name=value" fields, separated by commas or semicolons. The last valid
// dest counts; false if there is none.
func parseEnvelope(envelope string) (partner int, ok bool) {
	for _, field := range strings.FieldsFunc(envelope, func(r rune) bool { return r == ',' || r == ';' }) {
		if name, value, _ := strings.Cut(strings.TrimSpace(field), "="); name == "dest" {
			if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16); err == nil {
				partner, ok = int(n), true
			}
		}
	}
	return partner, ok
}

// printable reports whether s has at most Limits.NameSize bytes, all of them printable ASCII other than space.
func (f *Front) printable(s string) bool {
	return len(s) <= f.limits.NameSize && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// errorAnswer returns an answer whose body is the reason, as one line.
func errorAnswer(status int, reason string) httpwire.Answer {
	return httpwire.Answer{Status: status, Body: []byte(reason + "\n")}
}

// BusyReply returns the answer to a message that may be submitted again after retryAfter, or at any time if that is 0.
func BusyReply(retryAfter time.Duration) httpwire.Answer {
	answer := httpwire.Answer{Status: 429}
	if retryAfter > 0 {
		answer.Header = []string{"Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	return answer
}

// ParseTimeout parses an integral number of milliseconds ("480m") or microseconds ("480000u"); false if text is neither.
func ParseTimeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(number, 10, 63)
	if err != nil || n > uint64(math.MaxInt64/unit) {
		return 0, false
	}
	return time.Duration(n) * unit, true
}
