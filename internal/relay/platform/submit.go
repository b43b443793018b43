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

// Handle answers a request on a client's connection.
func (f *Front) Handle(q *httpwire.Request) httpwire.Answer {
	path, _, _ := strings.Cut(q.Path, "?")
	if path == "/up" && (q.Method == "GET" || q.Method == "HEAD") {
		if f.core.Ready() {
			return httpwire.Answer{Status: 200}
		}
		return httpwire.Answer{Status: 503}
	}
	if q.Method != "POST" {
		return errorAnswer(405, "want POST")
	}
	m, status, why := f.message(q, path, time.Now())
	if status != 0 {
		return errorAnswer(status, why)
	}
	switch r := f.core.Submit(Name, m); r.Verdict {
	case engine.Accepted:
		return httpwire.Answer{Status: 202, OnLost: func() { f.core.Withdraw(r) }}
	case engine.Busy:
		return BusyReply(r.RetryAfter)
	case engine.Rejected:
		// The message was sound, and others come on this connection too: a plug-in's word on one is not theirs.
		return httpwire.Answer{Status: cmp.Or(r.Status, 422), Body: []byte(r.Reason + "\n"), NoErrorDelay: true}
	default:
		return errorAnswer(500, "given up")
	}
}

// message reads the message that a request hands in; a status other than 0 is the answer to one that can't be read.
func (f *Front) message(q *httpwire.Request, path string, now time.Time) (m engine.Message, status int, reason string) {
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
	m.ID, m.Key, m.Body = q.Header.Get("X-Request-ID"), q.Header.Get("Idempotency-Key"), q.Body
	switch {
	case m.ID == "":
		return m, 400, "X-Request-ID is missing"
	case !f.printable(m.ID): // both go out again as they are, in a header
		return m, 400, "X-Request-ID can't be used"
	case m.Key == "" && class.Effect == control.Keyed:
		return m, 400, "Idempotency-Key is missing"
	case !f.printable(m.Key):
		return m, 400, "Idempotency-Key can't be used"
	}
	if names := f.settings.TenantNames; len(names) > 0 {
		if m.Tenant = slices.Index(names, q.Header.Get("X-Tenant-Id")); m.Tenant < 0 {
			return m, 400, "X-Tenant-Id names no tenant of the settings"
		}
	}
	timeout, ok := ParseTimeout(q.Header.Get("X-Timeout"))
	if !ok {
		return m, 400, "X-Timeout can't be read"
	}
	m.Deadline = now.Add(min(timeout, class.Deadline))
	if m.Partner, ok = parseEnvelope(q.Header.Get("X-Envelope")); !ok {
		return m, 400, "X-Envelope names no dest"
	}
	m.Resubmitted, m.Header = q.Header.Get("X-Retried") != "", q.Header
	return m, 0, ""
}

// parseEnvelope reads the partner out of "name=value" fields, which commas or semicolons part; the last dest counts.
func parseEnvelope(v string) (partner int, ok bool) {
	for _, field := range strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ';' }) {
		if name, value, _ := strings.Cut(strings.TrimSpace(field), "="); name == "dest" {
			if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16); err == nil {
				partner, ok = int(n), true
			}
		}
	}
	return partner, ok
}

// printable tells whether s is short and of printable ASCII.
func (f *Front) printable(s string) bool {
	return len(s) <= f.limits.NameSize && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func errorAnswer(status int, why string) httpwire.Answer {
	return httpwire.Answer{Status: status, Body: []byte(why + "\n")}
}

// BusyReply is a refusal that tells when to come again.
func BusyReply(retry time.Duration) httpwire.Answer {
	a := httpwire.Answer{Status: 429}
	if retry > 0 {
		a.Header = []string{"Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64)}
	}
	return a
}

// ParseTimeout reads a whole number of milliseconds ("480m") or microseconds ("480000u").
func ParseTimeout(v string) (time.Duration, bool) {
	unit := time.Millisecond
	num, ok := strings.CutSuffix(v, "m")
	if !ok {
		unit = time.Microsecond
		if num, ok = strings.CutSuffix(v, "u"); !ok {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(num, 10, 63)
	if err != nil || n > uint64(math.MaxInt64/unit) {
		return 0, false
	}
	return time.Duration(n) * unit, true
}
