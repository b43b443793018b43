package exchangetest

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// goneWithin is the time after a client has left in which the work for it ends.
const goneWithin = 500 * time.Millisecond

// timeSlop is how much longer an endpoint may be told to work than its client waits: the way of the request's head.
const timeSlop = 30 * time.Millisecond

// sent is a request, or the part of one, as it arrived at an endpoint.
type sent struct {
	left    time.Duration // as the endpoint was told
	request *requestScript
	run     *run // nil: the endpoint had closed the connection
	at      time.Time
	conn    *memoryConn
}

// promised tells whether the endpoint promised that it didn't run it and won't.
func (s sent) promised() bool { return s.run != nil && s.run.promised() }

// oracle judges a world by every byte that went over its connections.
type oracle struct {
	world  *world
	sends  map[*requestScript][]sent // in the order of their arrival
	faults []string
}

// judge returns what was wrong in a world that has ended.
func judge(w *world) []string {
	o := &oracle{world: w, sends: make(map[*requestScript][]sent)}
	for _, e := range w.endpoints {
		for _, conn := range e.connections() {
			o.readSends(e, conn)
		}
	}
	for _, sends := range o.sends {
		slices.SortStableFunc(sends, func(a, b sent) int { return a.at.Compare(b.at) })
	}
	for _, c := range w.clients {
		for i := range c.results {
			o.judge(&c.results[i])
		}
	}
	return append(o.faults, w.stores.faults...)
}

func (o *oracle) fault(request *requestScript, format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf("%s %s %s: ", request.id, request.method, request.route)+fmt.Sprintf(format, args...))
}

// readSends reads all that arrived on a connection to an endpoint: requests that clients sent, byte for byte, and nothing else.
func (o *oracle) readSends(e *endpoint, conn *memoryConn) {
	seen := conn.seen()
	for offset, ordinal := 0, 0; offset < len(seen.tap); ordinal++ {
		at := arrivedAt(seen.arrivals, offset)
		used, err := o.readSend(e, conn, seen.tap[offset:], ordinal, at)
		if err != nil {
			o.faults = append(o.faults, fmt.Sprintf("UNASKED %s, request %d of a connection: %v", e.id, ordinal, err))
			return
		}
		offset += used
	}
}

// arrivedAt tells when a byte arrived.
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

// readSend reads one request and returns the number of its bytes.
func (o *oracle) readSend(e *endpoint, conn *memoryConn, data []byte, ordinal int, at time.Time) (used int, err error) {
	head, body, found := bytes.Cut(data, []byte("\r\n\r\n"))
	if !found {
		return len(data), o.checkBeginning(data)
	}
	header := headerOf(append(bytes.Clone(head), "\r\n\r\n"...))
	request := o.world.requests[header.Get("X-Attempt-Id")]
	if request == nil {
		return 0, fmt.Errorf("no client sent %q", head)
	}
	if err := checkHead(request, e, string(head)); err != nil {
		return 0, err
	}
	want := request.passedOn()
	have := body[:min(len(body), len(want))]
	if !bytes.HasPrefix(want, have) {
		return 0, fmt.Errorf("%s: other bytes where its body is due: %.80q", request.id, have)
	}
	left, err := strconv.Atoi(header.Get("X-Time-Left-Ms"))
	if err != nil {
		return 0, fmt.Errorf("%s: time left: %w", request.id, err)
	}
	o.sends[request] = append(o.sends[request], sent{request: request, run: o.runOn(conn, ordinal), at: at, conn: conn,
		left: time.Duration(left) * time.Millisecond})
	return len(head) + len("\r\n\r\n") + len(have), nil
}

// checkBeginning checks the last bytes on a connection, which are less than a head.
func (o *oracle) checkBeginning(data []byte) error {
	for _, request := range o.world.requests {
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
	if length := len(request.passedOn()); length > 0 || request.chunks > 0 {
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

// runOn returns what an endpoint made of a request on a connection; nil if it didn't take it.
func (o *oracle) runOn(conn *memoryConn, ordinal int) *run {
	for _, r := range o.world.runs {
		if r.conn == conn && r.ordinal == ordinal {
			return r
		}
	}
	return nil
}

// judge judges what became of one request.
func (o *oracle) judge(g *got) {
	o.judgeSends(g)
	if g.request.route == turnRoute {
		o.judgeTurn(g)
	}
	if !g.left.IsZero() {
		o.judgeLeave(g)
	}
	if len(g.surplus) > 0 {
		o.fault(g.request, "MIXED: bytes that nobody asked for: %.80q", g.surplus)
	}
	if g.unread {
		return
	}
	if o.world.plan.untroubled && (!g.complete() || g.status != 200) {
		o.judgeLoss(g)
	}
	if !g.answered {
		if o.world.plan.calm() && !g.unread && g.left.IsZero() && !o.brokeOff(g.request) {
			o.fault(g.request, "no answer: %v", g.err)
		}
		return
	}
	o.judgeAnswer(g)
}

// judgeLoss judges a request that was not served though nobody made trouble: it may have come too late for a proxy that shuts
// down, and wasn't passed on then.
func (o *oracle) judgeLoss(g *got) {
	if o.world.plan.calm() || g.answered || len(o.sends[g.request]) > 0 {
		o.fault(g.request, "LOST: status %d, %v, after %d sends", g.status, g.err, len(o.sends[g.request]))
	}
}

// brokeOff tells whether an endpoint may have broken off the answer to a request, its client not taken it, or the stores not its end. What of it the proxy
// had not passed on yet is dropped then, and the client may see a close alone.
func (o *oracle) brokeOff(request *requestScript) bool {
	notSafe := request.route == turnRoute && request.end != safe
	return notSafe || o.world.plan.has(crash) || request.stalls > 0 || slices.ContainsFunc(o.sends[request], func(s sent) bool { return s.run != nil && s.run.isCut() })
}

// judgeSends judges how often a request was sent.
func (o *oracle) judgeSends(g *got) {
	request, sends := g.request, o.sends[g.request]
	unpromised := 0
	for i, send := range sends {
		if until := send.at.Add(send.left); until.After(g.began.Add(request.timeIn + timeSlop)) {
			o.fault(request, "BUDGET: an endpoint may work until %v after the client", until.Sub(g.began.Add(request.timeIn)))
		}
		if send.promised() {
			continue
		}
		unpromised++
		if !request.route.repeatable() && i < len(sends)-1 {
			o.fault(request, "TWICE: send %d of %d may have run, and others followed", i+1, len(sends))
		}
	}
	if unpromised > tries {
		o.fault(request, "BUDGET: %d sends that may have run", unpromised)
	}
	if request.sent >= 0 && request.sent < len(request.wire()) && len(sends) > 0 {
		o.fault(request, "UNASKED: sent on though only %d of its bytes had come", request.sent)
	}
	if g.answered && isPromise(g.status) && !request.route.repeatable() && unpromised > 0 {
		o.fault(request, "REFUSED: %d after a send that may have run", g.status)
	}
}

// isPromise tells whether a client takes a status for a promise that its request has not run and won't.
func isPromise(status int) bool { return slices.Contains([]int{402, 408, 421, 429, 503}, status) }

// refusals are the answers to turns that the stores refuse.
var refusals = map[beginKind]int{spent: 402, noTurn: 404, noStores: 503}

// judgeTurn judges what became of a turn: it runs only if the stores took it, and looks complete only once its end is safe there.
func (o *oracle) judgeTurn(g *got) {
	if g.request.begin != taken && len(o.sends[g.request]) > 0 {
		o.fault(g.request, "UNASKED: the stores refused it, and it was sent")
	}
	if !g.answered || g.status != 200 || g.request.method == "HEAD" {
		return
	}
	end, safe := o.world.stores.ended(g.request.id)
	if g.complete() && (!safe || !end.Complete || string(end.Output) != outputOf(g.body)) {
		o.fault(g.request, "LOST: looks complete, and the stores have %v, %+v", safe, end)
	}
	if events := int64(bytes.Count(g.body, []byte("\n\n"))); safe && end.Tokens < events {
		o.fault(g.request, "BUDGET: %d events came, and the stores were told of %d tokens", events, end.Tokens)
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

// judgeLeave judges what was done for a client that had left.
func (o *oracle) judgeLeave(g *got) {
	until := g.left.Add(goneWithin)
	for _, send := range o.sends[g.request] {
		if send.at.After(until) {
			o.fault(g.request, "GONE: sent %v after its client had left", send.at.Sub(g.left))
		}
		ended := send.conn.seen().ended
		atWork := send.run != nil && (send.run.done.IsZero() || send.run.done.After(until))
		if atWork && (ended.IsZero() || ended.After(until)) {
			o.fault(g.request, "GONE: its endpoint isn't told that its client has left")
		}
	}
}

// judgeAnswer judges an answer that has begun, and whether it may look as complete as it does.
func (o *oracle) judgeAnswer(g *got) {
	seal := g.header.Get("X-Server-Seal")
	if seal == "" {
		inPart := g.request.sent >= 0 && g.status == 400
		refused := g.request.route == turnRoute && g.status == refusals[g.request.begin]
		if !inPart && !refused && !slices.Contains([]int{502, 503, 504}, g.status) {
			o.fault(g.request, "MIXED: %d of the proxy's own", g.status)
		}
		return
	}
	first := o.sealed(g.request, seal)
	if first == nil {
		o.fault(g.request, "MIXED: the answer of another request, %q", seal)
		return
	}
	if g.status != first.status() || g.status/100 == 2 && g.header.Get("X-Attempt-Id") != g.request.id {
		o.fault(g.request, "MIXED: %d, and the endpoint said %d", g.status, first.status())
		return
	}
	if g.request.route.streaming() && g.status == 200 && g.request.method != "HEAD" {
		o.judgeStream(g, first)
		return
	}
	body, whole := first.wholeBody()
	if g.complete() && (!whole || !bytes.Equal(body, g.body)) {
		o.fault(g.request, "MIXED: %d bytes look complete, the endpoint's are %d, whole: %v", len(g.body), len(body), whole)
	}
	if g.cutOff() && !bytes.HasPrefix(first.body(), g.body) {
		o.fault(g.request, "MIXED: other bytes than the endpoint's: %.80q", g.body)
	}
}

// sealed returns the run of a request that has a seal.
func (o *oracle) sealed(request *requestScript, seal string) *run {
	for _, r := range o.world.runs {
		if r.request == request && r.seal() == seal {
			return r
		}
	}
	return nil
}

// judgeStream judges the events of a stream: each once, in order, of one run or of runs that were taken up.
func (o *oracle) judgeStream(g *got, first *run) {
	last, current, rest := 0, first, g.body
	for len(rest) > 0 {
		event, tail, found := bytes.Cut(rest, []byte("\n\n"))
		if !found {
			if !heldBack(g, event, first, last+1) {
				o.fault(g.request, "ORDER: half an event, %.80q", rest)
			}
			return
		}
		rest = tail
		last++
		by := o.maker(g.request, append(bytes.Clone(event), "\n\n"...), last)
		if by == nil || by.send < current.send || by != first && !g.request.route.repeatable() {
			o.fault(g.request, "ORDER: in the place of event %d: %q", last, event)
			return
		}
		current = by
	}
	if g.complete() && !o.mayEnd(g.request, current, last) {
		o.fault(g.request, "ORDER: looks complete after event %d", last)
	}
}

// heldBack tells whether the last event of a turn's cut answer lacks its last byte alone, which waits until its end is safe.
func heldBack(g *got, event []byte, by *run, number int) bool {
	return g.cutOff() && g.request.route == turnRoute && string(event)+"\n" == string(by.event(number))
}

// maker returns the run that an event of a request is of; nil if it isn't the event with that number.
func (o *oracle) maker(request *requestScript, event []byte, number int) *run {
	for _, r := range o.world.runs {
		if r.request == request && bytes.Equal(event, r.event(number)) {
			return r
		}
	}
	return nil
}

// mayEnd tells whether a run, or one that took the stream up after it, ends after that event.
func (o *oracle) mayEnd(request *requestScript, from *run, last int) bool {
	for _, r := range o.world.runs {
		if r.request != request || r.send < from.send || r != from && !request.route.repeatable() {
			continue
		}
		body, whole := r.wholeBody()
		if whole && r.after+bytes.Count(body, []byte("\n\n")) == last && (len(body) == 0 || bytes.HasSuffix(body, []byte("\n\n"))) {
			return true
		}
	}
	return false
}
