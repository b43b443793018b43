package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/upstream"
)

const (
	// lateWrite is how long after its deadline a client may still take its answer.
	lateWrite = 150 * time.Millisecond
	// deadlineUntold holds a request for which neither client nor route tells a time.
	deadlineUntold = 30 * time.Second
	// beginPart is the part of a request's time, one in so many, in which the owner of its program is to be reached; then
	// it is refused, so that there is time to come back.
	beginPart = 4
	// leastBeginTime is the time for that in any case.
	leastBeginTime = 300 * time.Millisecond
)

// call is one request of a client under way.
type call struct {
	proxy    *Proxy
	writer   http.ResponseWriter
	request  *http.Request
	context  context.Context // ends at the deadline, or when the client goes
	facts    RequestInfo
	upstream upstream.Request
	body     *[]byte
	fields   *[]byte
	priority string
	turn     *turn
	scanner  eventScanner

	runs       int           // sends after which the request may have run
	unsent     int           // choices that led to no send
	notRun     int           // sends that the endpoint declared as not run
	mayHaveRun bool          // nothing promises that no endpoint ran the request
	refusal    apierror.Kind // why no endpoint took it, as far as nothing was sent
	committed  bool          // the head of the answer has gone to the client
	guarded    bool          // every close of the client's connection is a reset
	failed     bool          // an answer of the proxy's own has gone to the client
	retryIn    time.Duration
}

// serve takes one request of a client.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	arrived := p.options.Now()
	if client := clientOf(r); client != nil && !client.begin() {
		abort()
	}
	p.closeIfDraining(w.Header())
	boundReading(w, r, arrived.Add(timeAllowed(r.Header, 0)))
	routes := p.options.Views.Routes()
	if routes == nil {
		p.refusals.add(apierror.NotReady)
		fail(w, apierror.NotReady, 0)
		return
	}
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	route := routes.Match(r.Host, path)
	if route == nil {
		fail(w, apierror.NoRoute, 0)
		return
	}
	c := &call{proxy: p, writer: w, request: r, refusal: apierror.NoEndpoint}
	c.facts.Route = route
	c.facts.ArrivedAt = arrived
	c.facts.Deadline = arrived.Add(timeAllowed(r.Header, route.TimeoutMs))
	c.readFacts(r.Header)
	if c.facts.Service = routes.pickService(route, c.key()); c.facts.Service == nil {
		c.fail(apierror.NoEndpoint, 0)
		return
	}
	c.body, c.fields = takeBuffer(), takeBuffer()
	defer c.release()
	if !c.readWhole(routes.Limits.MaxBodyBytes) {
		return
	}
	c.prepare(target)
	ctx, cancel := context.WithDeadline(r.Context(), c.facts.Deadline)
	defer cancel()
	c.context = ctx
	c.run()
}

// requestTarget returns the path and the query of a request, byte for byte. A target may name its host before them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	if _, rest, found := strings.Cut(r.RequestURI, "://"); found {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 && slash == strings.IndexAny(rest, "/?#") {
			return rest[slash:]
		}
	}
	return r.URL.RequestURI()
}

// timeAllowed returns how long a request may be held: as long as its client waits, and as its route says, if it does.
func timeAllowed(header http.Header, giveUpMs int64) time.Duration {
	allowed := deadlineUntold
	if giveUpMs > 0 {
		allowed = time.Duration(giveUpMs) * time.Millisecond
	}
	if told, ok := milliseconds(first(header, headerTimeLeft)); ok {
		allowed = min(allowed, told)
	}
	return allowed
}

// readFacts reads what the headers tell.
func (c *call) readFacts(header http.Header) {
	f := &c.facts
	f.AttemptID = first(header, upstream.AttemptIDHeader)
	f.Subject = subject(header)
	f.Program = first(header, headerProgram)
	f.Session = first(header, headerSession)
	f.Previous = first(header, headerPrevious)
	f.Model = first(header, headerModel)
	f.Prefix = first(header, headerPrefix)
	f.PromptTokens, f.MaxOutputTokens = tokenCounts(first(header, headerTokenCounts))
	f.ProgramTimeLeft, _ = milliseconds(first(header, headerFinish))
}

// key returns a number that is the same for all requests of a program, session or subject.
func (c *call) key() uint64 {
	if hash := affinity(&c.facts); hash != 0 {
		return hash
	}
	return rand.Uint64()
}

// readWhole reads the body. It returns false when the request has ended: with 413, or with a close without an answer if it
// could not be read.
func (c *call) readWhole(limit int64) bool {
	if connection, ok := c.writer.(deadliner); ok {
		connection.SetWriteDeadline(c.facts.Deadline.Add(lateWrite))
	}
	boundReading(c.writer, c.request, c.facts.Deadline)
	err := readBody(c.request, c.body, limit)
	if err == errBodyTooLarge {
		c.fail(apierror.BodyTooLarge, 0)
		return false
	}
	if err != nil {
		abort()
	}
	endReading(c.writer, c.request)
	return true
}

// prepare builds what is the same in every attempt.
func (c *call) prepare(target string) {
	*c.fields = appendPassedOn((*c.fields)[:0], c.request.Header)
	c.priority = strconv.Itoa(min(max(c.facts.Route.Priority, 0), 9))
	c.upstream = upstream.Request{
		Method:    c.request.Method,
		Target:    target,
		Host:      c.request.Host,
		Fields:    *c.fields,
		Body:      [][]byte{*c.body},
		HasBody:   c.request.ContentLength != 0 || first(c.request.Header, "Content-Length") != "",
		AttemptID: c.facts.AttemptID,
		Deadline:  c.facts.Deadline,
	}
	c.facts.BodyBytes = len(*c.body)
}

func (c *call) release() {
	returnBuffer(c.body)
	returnBuffer(c.fields)
}

// run begins a turn, if the request is one, and sends the request until it is answered.
func (c *call) run() {
	if !c.beginTurn() {
		return
	}
	defer c.settle()
	for c.attempt() {
	}
	if !c.committed && !c.failed {
		abort() // the library would answer 200 by itself
	}
	c.releaseEnd()
}

// beginTurn has the stores take a turn. It returns false when the request has been answered.
func (c *call) beginTurn() bool {
	var budget int64
	c.turn, budget = newTurn(c.request.Header, c.facts.Route, &c.facts)
	if c.turn == nil {
		return true
	}
	c.scanner.collect = c.turn.remembered
	bounded, cancel := context.WithTimeout(c.context, beginTime(c.facts.Deadline.Sub(c.proxy.options.Now())))
	defer cancel()
	kind, chain, err := c.turn.begin(bounded, c.proxy.options.Programs, &c.facts, budget, *c.body)
	if err != nil {
		c.proxy.refusals.noteCause(err)
	}
	if kind != apierror.None {
		c.settle()
		c.fail(kind, 0)
		return false
	}
	if len(chain) > 0 {
		c.upstream.Body = [][]byte{chain, *c.body}
		c.upstream.HasBody = true
		c.facts.BodyBytes += len(chain)
	}
	return true
}

// beginTime returns how long the owner of a program is looked for.
func beginTime(left time.Duration) time.Duration {
	return min(left, max(left/beginPart, leastBeginTime))
}

// settle tells the stores, beside the request, how a turn ended that hasn't been settled yet.
func (c *call) settle() {
	if c.turn == nil || !c.turn.begun || c.turn.settled {
		return
	}
	c.turn.settled = true
	c.proxy.settler.settle(c.turn.key, c.turn.end(false, &c.scanner))
}

// repeatable tells whether a request of the route may run more than once.
func repeatable(route *model.Route) bool {
	return route.Kind == model.Retryable || route.Kind == model.Streaming && route.Resumable
}

// ran notes a send of which nothing promises that the endpoint did not run it.
func (c *call) ran(result Result) {
	c.runs++
	c.mayHaveRun = true
	c.facts.AttemptsUsed = c.runs
	c.facts.MayHaveRun = true
	c.facts.AfterTimeout = result == TimedOut
}

// mayTryAgain tells whether the request may go to another endpoint after a send of which nothing is known.
func (c *call) mayTryAgain() bool {
	return repeatable(c.facts.Route) && c.runs < c.facts.Route.MaxAttempts && c.context.Err() == nil
}
