package exchangetest

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// disconnectGrace is the time after a client has disconnected in which the work for it ends.
const disconnectGrace = 500 * time.Millisecond

// timeLeftSlack is how much longer an endpoint may be allowed to work than its client waits: the way of the request's head.
const timeLeftSlack = 30 * time.Millisecond

// receivedRequest is a request, or the part of one, as it arrived at an endpoint.
type receivedRequest struct {
	timeLeft time.Duration // as the endpoint read it
	request  *requestScript
	attempt  *endpointAttempt // nil: the endpoint had closed the connection
	at       time.Time
	conn     *memoryConn
}

// provedNotRun reports whether the endpoint promised that it didn't run it and won't.
func (s receivedRequest) provedNotRun() bool { return s.attempt != nil && s.attempt.provedNotRun() }

// oracle judges an environment by every byte that went over its connections.
type oracle struct {
	env      *environment
	attempts map[*requestScript][]receivedRequest // in the order of their arrival
	faults   []string
}

// judgeEnvironment returns the faults found in an environment that has ended.
func judgeEnvironment(env *environment) []string {
	o := &oracle{env: env, attempts: make(map[*requestScript][]receivedRequest)}
	for _, e := range env.endpoints {
		for _, conn := range e.connections() {
			o.readAttempts(e, conn)
		}
	}
	for _, sends := range o.attempts {
		slices.SortStableFunc(sends, func(a, b receivedRequest) int { return a.at.Compare(b.at) })
	}
	for _, c := range env.clients {
		for i := range c.results {
			o.judgeRequest(&c.results[i])
		}
	}
	return append(o.faults, env.stores.faults...)
}

func (o *oracle) fault(request *requestScript, format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf("%s %s %s: ", request.id, request.method, request.route)+fmt.Sprintf(format, args...))
}

// readAttempts reads all that arrived on a connection to an endpoint: requests that clients sent, byte for byte, and nothing else.
func (o *oracle) readAttempts(e *endpoint, conn *memoryConn) {
	seen := conn.snapshot()
	for offset, ordinal := 0, 0; offset < len(seen.received); ordinal++ {
		at := arrivedAt(seen.arrivals, offset)
		used, err := o.readAttempt(e, conn, seen.received[offset:], ordinal, at)
		if err != nil {
			o.faults = append(o.faults, fmt.Sprintf("UNASKED %s, request %d of a connection: %v", e.id, ordinal, err))
			return
		}
		offset += used
	}
}

// arrivedAt returns when a byte arrived.
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

// readAttempt reads one request and returns the number of its bytes.
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
		return 0, fmt.Errorf("%s: other bytes where its body is due: %.80q", request.id, have)
	}
	left, err := strconv.Atoi(header.Get("X-Time-Left-Ms"))
	if err != nil {
		return 0, fmt.Errorf("%s: time left: %w", request.id, err)
	}
	o.attempts[request] = append(o.attempts[request], receivedRequest{request: request, attempt: o.attemptOn(conn, ordinal), at: at, conn: conn,
		timeLeft: time.Duration(left) * time.Millisecond})
	return len(head) + len("\r\n\r\n") + len(have), nil
}

// checkPartialHead checks the last bytes on a connection, which are less than a head.
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

// attemptOn returns what an endpoint made of a request on a connection; nil if it didn't take it.
func (o *oracle) attemptOn(conn *memoryConn, ordinal int) *endpointAttempt {
	for _, r := range o.env.runs {
		if r.conn == conn && r.ordinal == ordinal {
			return r
		}
	}
	return nil
}

// judgeRequest judges what became of one request.
func (o *oracle) judgeRequest(result *clientResult) {
	o.judgeAttempts(result)
	if result.request.route == turnRoute {
		o.judgeTurn(result)
	}
	if !result.disconnectedAt.IsZero() {
		o.judgeDisconnect(result)
	}
	if len(result.surplus) > 0 {
		o.fault(result.request, "MIXED: bytes that nobody asked for: %.80q", result.surplus)
	}
	if result.unansweredPipelined {
		return
	}
	if o.env.scenario.faultFree && (!result.complete() || result.status != 200) {
		o.judgeLoss(result)
	}
	if !result.answered {
		if o.env.scenario.keepsRunning() && !result.unansweredPipelined && result.disconnectedAt.IsZero() && !o.mayBreakOff(result.request) {
			o.fault(result.request, "no answer: %v", result.err)
		}
		return
	}
	o.judgeResponse(result)
}

// judgeLoss judges a request that was not served though nobody caused a fault: it may have come too late for a proxy that shuts
// down, and wasn't forwarded then.
func (o *oracle) judgeLoss(result *clientResult) {
	if o.env.scenario.keepsRunning() || result.answered || len(o.attempts[result.request]) > 0 {
		o.fault(result.request, "LOST: status %d, %v, after %d sends", result.status, result.err, len(o.attempts[result.request]))
	}
}

// mayBreakOff reports whether an endpoint may have broken off the response to a request, its client not taken it, or the stores not its end. What of it the proxy
// had not forwarded yet is dropped then, and the client may see a close alone.
func (o *oracle) mayBreakOff(request *requestScript) bool {
	notSafe := request.route == turnRoute && request.endResult != commitAccepted
	return notSafe || o.env.scenario.has(crash) || request.readStall > 0 || slices.ContainsFunc(o.attempts[request], func(s receivedRequest) bool { return s.attempt != nil && s.attempt.breaksOff() })
}

// judgeAttempts judges how often a request was sent.
func (o *oracle) judgeAttempts(result *clientResult) {
	request, sends := result.request, o.attempts[result.request]
	unpromised := 0
	for i, send := range sends {
		if until := send.at.Add(send.timeLeft); until.After(result.startedAt.Add(request.timeLeft + timeLeftSlack)) {
			o.fault(request, "BUDGET: an endpoint may work until %v after the client", until.Sub(result.startedAt.Add(request.timeLeft)))
		}
		if send.provedNotRun() {
			continue
		}
		unpromised++
		if !request.route.retryable() && i < len(sends)-1 {
			o.fault(request, "TWICE: send %d of %d may have run, and others followed", i+1, len(sends))
		}
	}
	if unpromised > maxAttempts {
		o.fault(request, "BUDGET: %d sends that may have run", unpromised)
	}
	if request.sendLimit >= 0 && request.sendLimit < len(request.wire()) && len(sends) > 0 {
		o.fault(request, "UNASKED: sent on though only %d of its bytes had come", request.sendLimit)
	}
	if result.answered && impliesNotRun(result.status) && !request.route.retryable() && unpromised > 0 {
		o.fault(request, "REFUSED: %d after a send that may have run", result.status)
	}
}

// impliesNotRun reports whether a client takes a status for a promise that its request has not run and won't.
func impliesNotRun(status int) bool { return slices.Contains([]int{402, 408, 421, 429, 503}, status) }

// rejectionStatuses are the responses to turns that the stores reject.
var rejectionStatuses = map[beginKind]int{budgetExhausted: 402, turnNotFound: 404, storesUnavailable: 503}

// judgeTurn judges what became of a turn: it runs only if the stores took it, and looks complete only once its end is committed there.
func (o *oracle) judgeTurn(result *clientResult) {
	if result.request.beginResult != turnAccepted && len(o.attempts[result.request]) > 0 {
		o.fault(result.request, "UNASKED: the stores refused it, and it was sent")
	}
	if !result.answered || result.status != 200 || result.request.method == "HEAD" {
		return
	}
	end, safe := o.env.stores.firstCommit(result.request.id)
	if result.complete() && (!safe || !end.Complete || string(end.Output) != outputOf(result.body)) {
		o.fault(result.request, "LOST: looks complete, and the stores have %v, %+v", safe, end)
	}
	if events := int64(bytes.Count(result.body, []byte("\n\n"))); safe && end.Tokens < events {
		o.fault(result.request, "BUDGET: %d events came, and the stores were told of %d tokens", events, end.Tokens)
	}
}

// outputOf returns the data of all events with a line feed behind each line.
func outputOf(events []byte) string {
	var output strings.Builder
	for line := range strings.Lines(string(events)) {
		if data, found := strings.CutPrefix(line, "data: "); found {
			output.WriteString(data)
		}
	}
	return output.String()
}

// judgeDisconnect judges what was done for a client that had disconnected.
func (o *oracle) judgeDisconnect(result *clientResult) {
	until := result.disconnectedAt.Add(disconnectGrace)
	for _, send := range o.attempts[result.request] {
		if send.at.After(until) {
			o.fault(result.request, "GONE: sent %v after its client had left", send.at.Sub(result.disconnectedAt))
		}
		ended := send.conn.snapshot().endedAt
		atWork := send.attempt != nil && (send.attempt.done.IsZero() || send.attempt.done.After(until))
		if atWork && (ended.IsZero() || ended.After(until)) {
			o.fault(result.request, "GONE: its endpoint isn't told that its client has left")
		}
	}
}

// judgeResponse judges a response that has begun, and whether it may look as complete as it does.
func (o *oracle) judgeResponse(result *clientResult) {
	seal := result.header.Get("X-Server-Seal")
	if seal == "" {
		partial := result.request.sendLimit >= 0 && result.status == 400
		refused := result.request.route == turnRoute && result.status == rejectionStatuses[result.request.beginResult]
		if !partial && !refused && !slices.Contains([]int{502, 503, 504}, result.status) {
			o.fault(result.request, "MIXED: %d of the proxy's own", result.status)
		}
		return
	}
	first := o.attemptWithSeal(result.request, seal)
	if first == nil {
		o.fault(result.request, "MIXED: the answer of another request, %q", seal)
		return
	}
	if result.status != first.status() || result.status/100 == 2 && result.header.Get("X-Attempt-Id") != result.request.id {
		o.fault(result.request, "MIXED: %d, and the endpoint said %d", result.status, first.status())
		return
	}
	if result.request.route.streaming() && result.status == 200 && result.request.method != "HEAD" {
		o.judgeStream(result, first)
		return
	}
	body, complete := first.completeBody()
	if result.complete() && (!complete || !bytes.Equal(body, result.body)) {
		o.fault(result.request, "MIXED: %d bytes look complete, the endpoint's are %d, whole: %v", len(result.body), len(body), complete)
	}
	if result.brokenOff() && !bytes.HasPrefix(first.body(), result.body) {
		o.fault(result.request, "MIXED: other bytes than the endpoint's: %.80q", result.body)
	}
}

// attemptWithSeal returns the run of a request that has a seal.
func (o *oracle) attemptWithSeal(request *requestScript, seal string) *endpointAttempt {
	for _, r := range o.env.runs {
		if r.request == request && r.seal() == seal {
			return r
		}
	}
	return nil
}

// judgeStream judges the events of a stream: each once, in order, of one run or of runs that were resumed.
func (o *oracle) judgeStream(result *clientResult, first *endpointAttempt) {
	last, current, rest := 0, first, result.body
	for len(rest) > 0 {
		event, tail, found := bytes.Cut(rest, []byte("\n\n"))
		if !found {
			if !lacksLastByte(result, event, first, last+1) {
				o.fault(result.request, "ORDER: half an event, %.80q", rest)
			}
			return
		}
		rest = tail
		last++
		by := o.attemptOfEvent(result.request, append(bytes.Clone(event), "\n\n"...), last)
		if by == nil || by.index < current.index || by != first && !result.request.route.retryable() {
			o.fault(result.request, "ORDER: in the place of event %d: %q", last, event)
			return
		}
		current = by
	}
	if result.complete() && !o.mayEnd(result.request, current, last) {
		o.fault(result.request, "ORDER: looks complete after event %d", last)
	}
}

// lacksLastByte reports whether the last event of a turn's cut response lacks its last byte alone, which waits until its end is committed.
func lacksLastByte(result *clientResult, event []byte, by *endpointAttempt, number int) bool {
	return result.brokenOff() && result.request.route == turnRoute && string(event)+"\n" == string(by.event(number))
}

// attemptOfEvent returns the run that an event of a request is of; nil if it isn't the event with that number.
func (o *oracle) attemptOfEvent(request *requestScript, event []byte, number int) *endpointAttempt {
	for _, r := range o.env.runs {
		if r.request == request && bytes.Equal(event, r.event(number)) {
			return r
		}
	}
	return nil
}

// mayEnd reports whether a run, or one that resumed the stream after it, ends after that event.
func (o *oracle) mayEnd(request *requestScript, from *endpointAttempt, last int) bool {
	for _, r := range o.env.runs {
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
