// Package platform is the thin front: the platform's own protocol, towards clients, destinations and discovery.
package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/wire"
)

// Name is this front's name in the journal.
const Name = "platform"

// Guard is what plug-ins may change here: headers that the protocol does not own. Id, key and body pass on as they
// came.
var Guard = rules.Front{Name: Name, Owned: []string{"Idempotency-Key", "Retry-After", "X-Envelope", "X-No-Slot", "X-Policy-Version", "X-Request-Id",
	"X-Retried", "X-Server-Load", "X-Timeout"}}

// Front speaks the platform's protocol.
type Front struct {
	core      *engine.Core
	set       *wire.Settings
	lim       *config.Limits
	discovery atomic.Pointer[string] // its address
	pool      *httpwire.Pool
}

// New returns the front of core; it still has to be added to it.
func New(cfg *config.Config, core *engine.Core) *Front {
	f := &Front{core: core, set: &cfg.Settings, lim: &cfg.Limits, pool: httpwire.NewPool(&cfg.Limits)}
	f.discovery.Store(&cfg.Discovery)
	return f
}

// Move takes discovery to be at address from now on.
func (f *Front) Move(address string) {
	f.discovery.Store(&address)
	f.core.DiscoveryMoved(Name)
}

// NotifiesDeliveries is false: the platform counts the deliveries itself.
func (f *Front) NotifiesDeliveries() bool { return false }

// CloseIdle closes idle connections.
func (f *Front) CloseIdle(to *engine.Destination) { f.pool.CloseIdle(peer(to)) }

func peer(to *engine.Destination) httpwire.Peer {
	if to == nil {
		return httpwire.Peer{}
	}
	return httpwire.Peer{Name: to.Name, Address: to.Address}
}

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
		return fault(405, "want POST")
	}
	m, status, why := f.message(q, path, time.Now())
	if status != 0 {
		return fault(status, why)
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
		return fault(500, "given up")
	}
}

// message reads the message that q hands in; a status other than 0 is the answer to one that can't be read.
func (f *Front) message(q *httpwire.Request, path string, now time.Time) (m engine.Message, status int, why string) {
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	m.Class = -1
	for i := range f.set.Classes {
		if f.set.Classes[i].Name == class {
			m.Class = i
		}
	}
	if m.Class < 0 {
		return m, 404, "no such class"
	}
	m.ID, m.Key, m.Body = q.Header.Get("X-Request-ID"), q.Header.Get("Idempotency-Key"), q.Body
	k := &f.set.Classes[m.Class]
	switch {
	case m.ID == "":
		return m, 400, "X-Request-ID is missing"
	case !f.plain(m.ID): // both go out again as they are, in a header
		return m, 400, "X-Request-ID can't be used"
	case m.Key == "" && k.Effect == control.Keyed:
		return m, 400, "Idempotency-Key is missing"
	case !f.plain(m.Key):
		return m, 400, "Idempotency-Key can't be used"
	}
	if names := f.set.TenantNames; len(names) > 0 {
		if m.Tenant = slices.Index(names, q.Header.Get("X-Tenant-Id")); m.Tenant < 0 {
			return m, 400, "X-Tenant-Id names no tenant of the settings"
		}
	}
	left, ok := ParseTimeout(q.Header.Get("X-Timeout"))
	if !ok {
		return m, 400, "X-Timeout can't be read"
	}
	m.Deadline = now.Add(min(left, k.Deadline))
	m.Partner = -1
	for _, part := range strings.FieldsFunc(q.Header.Get("X-Envelope"), func(r rune) bool { return r == ',' || r == ';' }) {
		if name, v, _ := strings.Cut(strings.TrimSpace(part), "="); name == "dest" {
			if n, err := strconv.ParseUint(strings.TrimSpace(v), 10, 16); err == nil {
				m.Partner = int(n)
			}
		}
	}
	if m.Partner < 0 {
		return m, 400, "X-Envelope names no dest"
	}
	m.Resubmitted, m.Header = q.Header.Get("X-Retried") != "", q.Header
	return m, 0, ""
}

// plain tells whether s is short and of printable ASCII.
func (f *Front) plain(s string) bool {
	return len(s) <= f.lim.NameSize && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func fault(status int, why string) httpwire.Answer {
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

// Call makes an attempt: a single call, or a bulk one where it carries several messages.
func (f *Front) Call(ctx context.Context, step *engine.Attempt) []engine.Outcome {
	outs := make([]engine.Outcome, len(step.Items))
	stage := f.pool.Do(ctx, peer(&step.To), f.request(step), step.MayWrite, func(p *httpwire.Response) {
		step.ObserveAnswer(p.Status, p.Header, p.Body)
		f.read(p, step, outs)
	})
	if r, failed := StageResult(stage); failed {
		// Of one message the first line tells all, of several each has its part in the body.
		if stage == httpwire.Malformed && len(outs) == 1 && outs[0].Result == control.Delivered {
			r = control.Delivered
		}
		for i := range outs {
			outs[i] = engine.Outcome{Result: r}
		}
	}
	return outs
}

// StageResult is the result of a call that got no answer; false: it got one.
func StageResult(s httpwire.Stage) (control.Result, bool) {
	switch s {
	case httpwire.Malformed:
		return control.Malformed, true
	case httpwire.Withheld:
		return control.NotProcessed, true
	case httpwire.NotConnected:
		return control.NoConnection, true
	case httpwire.Broken:
		return control.Reset, true
	case httpwire.TimedOut:
		return control.TimedOut, true
	case httpwire.Canceled:
		return control.Cancelled, true
	}
	return 0, false
}

func (f *Front) request(step *engine.Attempt) []byte {
	header := []string{"X-Timeout", strconv.FormatInt(step.Timeout.Milliseconds(), 10) + "m"}
	if step.PolicyVersion != 0 {
		header = append(header, "X-Policy-Version", strconv.FormatUint(step.PolicyVersion, 10))
	}
	header = append(header, step.Items[0].Headers...) // the same for all of a bulk call
	if len(step.Items) == 1 {
		it := &step.Items[0]
		header = append(header, "X-Request-ID", it.ID)
		if it.Key != "" {
			header = append(header, "Idempotency-Key", it.Key)
		}
		body := it.Body
		if body == nil {
			body = []byte{}
		}
		return httpwire.AppendRequest(nil, "POST", "/inbox", step.To.Address, header, body)
	}
	body := []byte{'['}
	for i := range step.Items {
		it := &step.Items[i]
		if i > 0 {
			body = append(body, ',')
		}
		body = append(gjson.AppendJSONString(append(body, `{"id":`...), it.ID), `,"key":`...)
		body = append(gjson.AppendJSONString(body, it.Key), `,"body":"`...)
		body = append(base64.StdEncoding.AppendEncode(body, it.Body), `"}`...)
	}
	body = append(body, ']')
	return httpwire.AppendRequest(nil, "POST", "/inbox/bulk", step.To.Address, header, body)
}

// read turns an answer into an outcome for each item.
func (f *Front) read(p *httpwire.Response, step *engine.Attempt, outs []engine.Outcome) {
	var all engine.Outcome
	all.RetryAfter = RetryAfter(p.Header.Get("Retry-After"))
	f.report(p.Header.Get("X-Server-Load"), &all)
	switch p.Status {
	case 200:
		all.Result = control.Delivered
	case 429, 503:
		switch all.Result = control.Throttled; {
		case p.Header.Get("X-No-Slot") != "":
			all.Result = control.NotProcessed
		case p.Status == 503 && p.Close && p.FirstOnConnection && all.RetryAfter == 0:
			// The connection itself was turned away: the endpoint holds as many as it takes, idle ones counted. That is no limit on
			// calls; what helps is to hold none that is not in use.
			all.Result = control.NoConnection
		}
	case 504, 400, 413: // has not run
		all.Result = control.NotProcessed
	case 410:
		all.Result, all.Final = control.NotProcessed, true
	default:
		all.Result = control.Errored
	}
	for i := range outs {
		outs[i] = all
	}
	if p.Status != 200 || len(outs) == 1 {
		return
	}
	for i := range outs { // an item that the answer does not name may have run
		outs[i].Result = control.Malformed
	}
	if !gjson.ValidBytes(p.Body) { // gjson would read what it can of it
		return
	}
	gjson.ParseBytes(p.Body).ForEach(func(_, e gjson.Result) bool {
		id, state := e.Get("id").String(), e.Get("state").String()
		for i := range step.Items {
			if step.Items[i].ID != id {
				continue
			}
			switch o := &outs[i]; state {
			case "delivered":
				o.Result = control.Delivered
			case "failed":
				o.Result = control.Errored
			case "refused":
				o.Result = control.Throttled
			case "over":
				o.Result, o.Final = control.NotProcessed, true
			case "spent":
				o.Result = control.NotProcessed
			}
		}
		return true
	})
}

// RetryAfter reads a wait in seconds, whole or decimal; 0: none, or one of over an hour, which nobody means.
func RetryAfter(v string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || !(s > 0 && s <= 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// report reads "TEXT x0=0.4, x1=25".
func (f *Front) report(v string, o *engine.Outcome) {
	v, ok := strings.CutPrefix(v, "TEXT ")
	if !ok || f.set.Reports.Share < 0 || f.set.Reports.Limit < 0 {
		return
	}
	found := 0
	for _, field := range strings.Split(v, ",") {
		name, num, _ := strings.Cut(strings.TrimSpace(field), "=")
		x, err := strconv.ParseFloat(num, 64)
		switch {
		case err != nil || !(x >= 0 && x <= 1e6): // nor what is not a number, or no figure that can be
		case name == "x0":
			o.Share, found = x, found|1
		case name == "x1":
			o.Limit, found = x, found|2
		}
	}
	o.Reported = found == 3
}

// Notify posts notices to the platform, which takes all of them or none.
func (f *Front) Notify(ctx context.Context, notices []engine.Notice) []bool {
	var body []byte
	for _, n := range notices {
		body = gjson.AppendJSONString(append(body, `{"message":`...), n.ID)
		if n.HandedBack {
			body = fmt.Appendf(body, ",\"outcome\":\"handed_back\",\"retry_in_ms\":%d}\n", n.RetryAfter.Milliseconds())
		} else {
			body = append(body, ",\"outcome\":\"given_up\"}\n"...)
		}
	}
	discovery := *f.discovery.Load()
	request := httpwire.AppendRequest(nil, "POST", "/v1/outcomes", discovery, nil, body)
	ok := false
	f.pool.Do(ctx, httpwire.Peer{Address: discovery}, request, nil, func(p *httpwire.Response) { ok = p.Status == 204 })
	return slices.Repeat([]bool{ok}, len(notices))
}

// ParseEndpointList reads a list in discovery's form.
func ParseEndpointList(list gjson.Result) engine.EndpointList {
	p := engine.EndpointList{Index: list.Get("index").Int(), Complete: list.Get("snapshot").Bool()}
	list.Get("endpoints").ForEach(func(_, e gjson.Result) bool {
		d := engine.Destination{Name: e.Get("name").String(), Address: e.Get("address").String(), Zone: e.Get("zone").String(),
			Kind: e.Get("type").String(), Partner: int(e.Get("group").Int()), Weight: e.Get("weight").Float()}
		switch e.Get("status").String() {
		case "ready":
		case "gone":
			d.State = control.Removed
		default:
			d.State = control.Draining
		}
		p.Destinations = append(p.Destinations, d)
		return true
	})
	return p
}

// Watch follows discovery's list of endpoints until the watch is lost. An entry may stand over several lines. One that has begun
// must be whole before the watch would count as silent: empty lines in its middle are no life.
func (f *Front) Watch(ctx context.Context, after int64, changed func(engine.EndpointList)) error {
	discovery := *f.discovery.Load()
	path := fmt.Sprintf("/discovery/hosts?watch=1&after=%d", after)
	s, err := httpwire.OpenStream(ctx, discovery, httpwire.AppendRequest(nil, "GET", path, discovery, nil, nil), f.lim)
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Close)()
	for {
		by := time.Now().Add(f.lim.WatchTimeout)
		entry, err := s.Next(by)
		open := nesting(entry)
		if open > 0 {
			entry = bytes.Clone(entry) // the next line takes its place
		}
		for err == nil && open > 0 {
			var line []byte
			if line, err = s.Next(by); err == nil {
				entry, open = append(append(entry, '\n'), line...), open+nesting(line)
			}
			if len(entry) > 16*f.lim.BodySize {
				err = fmt.Errorf("platform: a change of over %d bytes", 16*f.lim.BodySize)
			}
		}
		switch entry = bytes.TrimSpace(entry); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return engine.ErrWatchTimeout
		case err != nil:
			return err
		case len(entry) == 0:
		case !gjson.ValidBytes(entry):
			return fmt.Errorf("platform: a change of %d bytes that is not JSON", len(entry))
		default:
			changed(ParseEndpointList(gjson.ParseBytes(entry)))
		}
	}
}

// nesting is how many more brackets a line of JSON opens than it closes.
func nesting(line []byte) (open int) {
	text := false
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case text && c == '\\':
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			open++
		case c == '}' || c == ']':
			open--
		}
	}
	return open
}
