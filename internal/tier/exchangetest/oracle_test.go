package exchangetest

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// disconnectGrace is the time after a client has disconnected within which the work for its request must end.
const disconnectGrace = 500 * time.Millisecond

// timeLeftSlack is by how much an endpoint's deadline may exceed its client's, because of the time that the request's head is in transit.
const timeLeftSlack = 30 * time.Millisecond

// receivedRequest is a request, or a part of one, that arrived at an endpoint.
type receivedRequest struct {
	timeLeft time.Duration // X-Time-Left-Ms that the endpoint received
	request  *requestScript
	attempt  *endpointAttempt // nil: the endpoint had closed the connection before
	at       time.Time
	conn     *memoryConn
}

// provedNotRun reports whether the endpoint's response guarantees that the endpoint has not run the request and never will.
func (s receivedRequest) provedNotRun() bool { return s.attempt != nil && s.attempt.provedNotRun() }

// oracle checks an environment by every byte that was sent over its connections.
type oracle struct {
	env        *environment
	attempts   map[*requestScript][]receivedRequest // in the order of their arrival
	violations []string
}

// checkEnvironment returns the violations of the proxy's invariants in an environment that has ended. Most begin with their kind:
// UNASKED (something was sent that no client asked for), MIXED (bytes of another origin), TWICE (sent again after it may have run),
// BUDGET (too much time, too many attempts or uncounted tokens), REFUSED (rejected as not run after it may have run), LOST (not served,
// or a turn's end not committed), ORDER (events of a stream) and GONE (work for a client that has disconnected).
func checkEnvironment(env *environment) []string {
	o := &oracle{env: env, attempts: make(map[*requestScript][]receivedRequest)}
	for _, e := range env.endpoints {
		for _, conn := range e.connections() {
			o.readAttempts(e, conn)
		}
	}
	for _, arrived := range o.attempts {
		slices.SortStableFunc(arrived, func(a, b receivedRequest) int { return a.at.Compare(b.at) })
	}
	for _, c := range env.clients {
		for i := range c.results {
			o.checkRequest(&c.results[i])
		}
	}
	return append(o.violations, env.stores.violations...)
}

// report records a violation that concerns one request.
func (o *oracle) report(request *requestScript, format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%s %s %s: ", request.id, request.method, request.route)+fmt.Sprintf(format, args...))
}

// readAttempts parses all bytes that arrived on a connection to an endpoint, which must be requests that clients sent and nothing else.
func (o *oracle) readAttempts(e *endpoint, conn *memoryConn) {
	seen := conn.snapshot()
	for offset, ordinal := 0, 0; offset < len(seen.received); ordinal++ {
		at := arrivedAt(seen.arrivals, offset)
		used, err := o.readAttempt(e, conn, seen.received[offset:], ordinal, at)
		if err != nil {
			o.violations = append(o.violations, fmt.Sprintf("UNASKED %s, request %d of a connection: %v", e.id, ordinal, err))
			return
		}
		offset += used
	}
}

// arrivedAt returns when the byte at an offset arrived.
func arrivedAt(arrivals []arrival, offset int) time.Time {
	at := time.Time{}
	for _, one := range arrivals {
		if one.offset > offset {
			break
		}
		at = one.at
	}
	return at
}

// readAttempt parses the request at the beginning of data, checks it and returns the number of its bytes.
func (o *oracle) readAttempt(e *endpoint, conn *memoryConn, data []byte, ordinal int, at time.Time) (used int, err error) {
	head, body, found := bytes.Cut(data, []byte("\r\n\r\n"))
	if !found {
		return len(data), o.checkPartialHead(data)
	}
	header := headerOf(append(bytes.Clone(head), "\r\n\r\n"...))
	request := o.env.requests[header.Get("X-Attempt-Id")]
	if request == nil {
		return 0, fmt.Errorf("no client sent %q", head)
	}
	if err = checkHead(request, e, string(head)); err != nil {
		return 0, err
	}
	want := request.forwardedBody()
	have := body[:min(len(body), len(want))]
	if !bytes.HasPrefix(want, have) {
		return 0, fmt.Errorf("%s: other bytes in place of its body: %.80q", request.id, have)
	}
	left, err := strconv.Atoi(header.Get("X-Time-Left-Ms"))
	if err != nil {
		return 0, fmt.Errorf("%s: X-Time-Left-Ms: %w", request.id, err)
	}
	o.attempts[request] = append(o.attempts[request], receivedRequest{request: request, attempt: o.attemptOn(conn, ordinal), at: at, conn: conn,
		timeLeft: time.Duration(left) * time.Millisecond})
	return len(head) + len("\r\n\r\n") + len(have), nil
}

// checkPartialHead checks that an incomplete head, the last bytes on a connection, is the beginning of some request.
func (o *oracle) checkPartialHead(data []byte) error {
	for _, request := range o.env.requests {
		line := request.method + " " + request.target() + " HTTP/1.1\r\n"
		if strings.HasPrefix(line, string(data)) || strings.HasPrefix(string(data), line) {
			return nil
		}
	}
	return fmt.Errorf("no request begins with %.80q", data)
}

// checkHead compares a request's head with what its client sent.
func checkHead(request *requestScript, e *endpoint, head string) error {
	lines := strings.Split(head, "\r\n")
	if want := request.method + " " + request.target() + " HTTP/1.1"; lines[0] != want {
		return fmt.Errorf("%s: %q, want %q", request.id, lines[0], want)
	}
	want := []string{"Host: a.example", "X-Attempt-Id: " + request.id, "X-Own: of " + request.id, "X-Expected-Server: " + e.id}
	if length := len(request.forwardedBody()); length > 0 || request.chunks > 0 {
		want = append(want, "Content-Length: "+strconv.Itoa(length))
	}
	var have []string
	for _, line := range lines[1:] {
		if name, _, _ := strings.Cut(line, ":"); !slices.Contains([]string{"X-Time-Left-Ms", "Priority", "Last-Event-Id"}, name) {
			have = append(have, line)
		}
	}
	slices.Sort(want)
	slices.Sort(have)
	if !slices.Equal(want, have) {
		return fmt.Errorf("%s: header %q, want %q", request.id, have, want)
	}
	return nil
}

// attemptOn returns an endpoint's attempt by its connection and its place there; nil if the endpoint didn't handle that request.
func (o *oracle) attemptOn(conn *memoryConn, ordinal int) *endpointAttempt {
	for _, r := range o.env.attempts {
		if r.conn == conn && r.ordinal == ordinal {
			return r
		}
	}
	return nil
}

// checkRequest checks the attempts and the response of one request.
func (o *oracle) checkRequest(result *clientResult) {
	o.checkAttempts(result)
	if result.request.route.stateful() {
		o.checkTurn(result)
	}
	if result.request.route.streaming() {
		o.checkOutcomes(result)
	}
	if !result.disconnectedAt.IsZero() {
		o.checkDisconnect(result)
	}
	if len(result.surplus) > 0 {
		o.report(result.request, "MIXED: bytes after the response: %.80q", result.surplus)
	}
	if result.unansweredPipelined {
		return
	}
	if o.env.scenario.faultFree && (!result.complete() || result.status != 200) {
		o.checkLoss(result)
	}
	if !result.answered {
		if o.env.scenario.keepsRunning() && !result.unansweredPipelined && result.disconnectedAt.IsZero() && !o.mayStayUnanswered(result.request) {
			o.report(result.request, "no response: %v", result.err)
		}
		return
	}
	o.checkResponse(result)
}

// checkLoss checks a request that was not served in a scenario without faults: this is allowed only if the proxy was shutting down, and
// has neither forwarded nor answered it.
func (o *oracle) checkLoss(result *clientResult) {
	if o.env.scenario.keepsRunning() || result.answered || len(o.attempts[result.request]) > 0 {
		o.report(result.request, "LOST: status %d, error %v, after %d attempts", result.status, result.err, len(o.attempts[result.request]))
	}
}

// mayStayUnanswered reports whether a request may stay without a response: an endpoint may have truncated its response, the client may
// not have read it, or the stores may not have committed the turn's end. The proxy then drops what it has not forwarded yet, and the
// client may only see its connection close.
func (o *oracle) mayStayUnanswered(request *requestScript) bool {
	uncommitted := request.route.stateful() && request.endResult != commitAccepted
	return uncommitted || o.env.scenario.has(crash) || request.readStall > 0 || slices.ContainsFunc(o.attempts[request], func(s receivedRequest) bool { return s.attempt != nil && s.attempt.truncates() })
}

// checkAttempts checks how often, and with how much time left, a request was sent to endpoints.
func (o *oracle) checkAttempts(result *clientResult) {
	request, arrived := result.request, o.attempts[result.request]
	mayHaveRun := 0
	for i, received := range arrived {
		if until := received.at.Add(received.timeLeft); until.After(result.startedAt.Add(request.timeLeft + timeLeftSlack)) {
			o.report(request, "BUDGET: an endpoint's deadline is %v after the client's", until.Sub(result.startedAt.Add(request.timeLeft)))
		}
		if received.provedNotRun() {
			continue
		}
		mayHaveRun++
		if !request.route.retryable() && i < len(arrived)-1 {
			o.report(request, "TWICE: attempt %d of %d may have run, and others followed", i+1, len(arrived))
		}
	}
	if mayHaveRun > request.route.maxAttempts() {
		o.report(request, "BUDGET: %d attempts that may have run", mayHaveRun)
	}
	if request.sendLimit >= 0 && request.sendLimit < len(request.wire()) && len(arrived) > 0 {
		o.report(request, "UNASKED: forwarded though its client had sent only %d bytes of it", request.sendLimit)
	}
	if result.answered && impliesNotRun(result.status) && !request.route.retryable() && mayHaveRun > 0 {
		o.report(request, "REFUSED: status %d after an attempt that may have run", result.status)
	}
}

// impliesNotRun reports whether a status guarantees to the client that its request has not run and never will.
func impliesNotRun(status int) bool { return slices.Contains([]int{402, 408, 421, 429, 503}, status) }

// rejectionStatuses are the statuses of responses to turns that the stores don't accept.
var rejectionStatuses = map[beginKind]int{budgetExhausted: 402, turnNotFound: 404, storesUnavailable: 503}

// checkTurn checks that a turn runs only if the stores accepted it, and looks complete only if they committed its end.
func (o *oracle) checkTurn(result *clientResult) {
	if result.request.beginResult != turnAccepted && len(o.attempts[result.request]) > 0 {
		o.report(result.request, "UNASKED: sent although the stores did not accept the turn")
	}
	if !result.answered || result.status != 200 || result.request.method == "HEAD" {
		return
	}
	end, committed := o.env.stores.firstCommit(result.request.id)
	if result.complete() && (!committed || !end.Complete || string(end.Output) != outputOf(result.body)) {
		o.report(result.request, "LOST: looks complete, but the stores committed: %v, %+v", committed, end)
	}
	events := int64(bytes.Count(result.body, []byte("\n\n")))
	if committed && (end.Tokens < events || result.complete() && end.Tokens != events) {
		o.report(result.request, "BUDGET: the client received %d events, and the stores counted %d tokens", events, end.Tokens)
	}
}

// checkOutcomes checks that the selector was told of each event of a complete stream once, with the attempt that it came from.
func (o *oracle) checkOutcomes(result *clientResult) {
	if !result.complete() || result.status != 200 || result.request.method == "HEAD" || result.header.Get("X-Server-Seal") == "" {
		return
	}
	var reported int64
	for _, outcome := range o.env.outcomes[result.request.id] {
		reported += outcome.Events
	}
	if events := int64(bytes.Count(result.body, []byte("\n\n"))); reported != events {
		o.report(result.request, "ORDER: the client received %d events, and the selector was told of %d", events, reported)
	}
}

// outputOf returns the data of all events, each line followed by a line feed.
func outputOf(events []byte) string {
	var output strings.Builder
	for line := range strings.Lines(string(events)) {
		if data, found := strings.CutPrefix(line, "data: "); found {
			output.WriteString(data)
		}
	}
	return output.String()
}

// checkDisconnect checks that the work for a client ends soon after it has disconnected.
func (o *oracle) checkDisconnect(result *clientResult) {
	until := result.disconnectedAt.Add(disconnectGrace)
	for _, received := range o.attempts[result.request] {
		if received.at.After(until) {
			o.report(result.request, "GONE: sent to an endpoint %v after its client had disconnected", received.at.Sub(result.disconnectedAt))
		}
		ended := received.conn.snapshot().endedAt
		atWork := received.attempt != nil && (received.attempt.done.IsZero() || received.attempt.done.After(until))
		if atWork && (ended.IsZero() || ended.After(until)) {
			o.report(result.request, "GONE: the endpoint's connection was not closed after its client had disconnected")
		}
	}
}

// checkResponse checks the origin of a response that has begun, and that it looks complete only if it is.
func (o *oracle) checkResponse(result *clientResult) {
	seal := result.header.Get("X-Server-Seal")
	if seal == "" {
		partial := result.request.sendLimit >= 0 && result.status == 400
		refused := result.request.route.stateful() && result.status == rejectionStatuses[result.request.beginResult]
		if !partial && !refused && !slices.Contains([]int{502, 503, 504}, result.status) {
			o.report(result.request, "MIXED: unexpected status %d of the proxy's own", result.status)
		}
		return
	}
	first := o.attemptWithSeal(result.request, seal)
	if first == nil {
		o.report(result.request, "MIXED: no attempt of this request has the seal %q", seal)
		return
	}
	if result.status != first.status() || result.status/100 == 2 && result.header.Get("X-Attempt-Id") != result.request.id {
		o.report(result.request, "MIXED: status %d, want the endpoint's %d", result.status, first.status())
		return
	}
	if result.request.route.streaming() && result.status == 200 && result.request.method != "HEAD" {
		o.checkStream(result, first)
		return
	}
	body, complete := first.completeBody()
	if result.complete() && (!complete || !bytes.Equal(body, result.body)) {
		o.report(result.request, "MIXED: %d bytes look complete, want the endpoint's %d, complete: %v", len(result.body), len(body), complete)
	}
	if result.truncated() && !bytes.HasPrefix(first.body(), result.body) {
		o.report(result.request, "MIXED: other bytes than the endpoint's: %.80q", result.body)
	}
}

// attemptWithSeal returns the attempt of a request whose response has the seal.
func (o *oracle) attemptWithSeal(request *requestScript, seal string) *endpointAttempt {
	for _, r := range o.env.attempts {
		if r.request == request && r.seal() == seal {
			return r
		}
	}
	return nil
}

// checkStream checks that each event of a stream occurs once, in order, and is from one attempt or from attempts that resumed the stream.
func (o *oracle) checkStream(result *clientResult, first *endpointAttempt) {
	last, current, rest := 0, first, result.body
	for len(rest) > 0 {
		event, tail, found := bytes.Cut(rest, []byte("\n\n"))
		if !found {
			if !lacksLastByte(result, event, first, last+1) {
				o.report(result.request, "ORDER: incomplete event %.80q", rest)
			}
			return
		}
		rest = tail
		last++
		by := o.attemptOfEvent(result.request, append(bytes.Clone(event), "\n\n"...), last)
		if by == nil || by.index < current.index || by != first && !result.request.route.retryable() {
			o.report(result.request, "ORDER: in place of event %d: %q", last, event)
			return
		}
		current = by
	}
	if result.complete() && !o.mayEnd(result.request, current, last) {
		o.report(result.request, "ORDER: looks complete after event %d", last)
	}
}

// lacksLastByte reports whether the last event of a turn's truncated response lacks only its last byte, which the proxy holds back until
// the turn's end is committed.
func lacksLastByte(result *clientResult, event []byte, by *endpointAttempt, number int) bool {
	return result.truncated() && result.request.route.stateful() && string(event)+"\n" == string(by.event(number))
}

// attemptOfEvent returns the attempt whose event with that number equals event; nil: none.
func (o *oracle) attemptOfEvent(request *requestScript, event []byte, number int) *endpointAttempt {
	for _, r := range o.env.attempts {
		if r.request == request && bytes.Equal(event, r.event(number)) {
			return r
		}
	}
	return nil
}

// mayEnd reports whether the stream of an attempt, or of a later one that resumed it, ends after event number last.
func (o *oracle) mayEnd(request *requestScript, from *endpointAttempt, last int) bool {
	for _, r := range o.env.attempts {
		if r.request != request || r.index < from.index || r != from && !request.route.retryable() {
			continue
		}
		body, complete := r.completeBody()
		if complete && r.lastEvent+bytes.Count(body, []byte("\n\n")) == last && (len(body) == 0 || bytes.HasSuffix(body, []byte("\n\n"))) {
			return true
		}
	}
	return false
}
