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
	// writeGracePeriod is how long after its deadline a client may still take its answer.
	writeGracePeriod = 150 * time.Millisecond
	// defaultDeadline holds a request for which neither client nor route tells a time.
	defaultDeadline = 30 * time.Second
	// beginTimeoutDivisor is the part of a request's time, one in so many, in which the owner of its program is to be reached; then
	// it is refused, so that there is time to come back.
	beginTimeoutDivisor = 4
	// minBeginTimeout is the time for that in any case.
	minBeginTimeout = 300 * time.Millisecond
)

// clientRequest is one request of a client under way.
type clientRequest struct {
	proxy        *Proxy
	writer       http.ResponseWriter
	request      *http.Request
	context      context.Context // ends at the deadline, or when the client goes
	info         RequestInfo
	upstream     upstream.Request
	body         *[]byte
	headerFields *[]byte
	priority     string
	turn         *turn
	scanner      eventScanner

	mayHaveRunAttempts int           // sends after which the request may have run
	neverSentAttempts  int           // choices that led to no send
	notRunAttempts     int           // sends that the endpoint declared as not run
	mayHaveRun         bool          // nothing promises that no endpoint ran the request
	rejection          apierror.Kind // why no endpoint took it, as far as nothing was sent
	headerWritten      bool          // the head of the answer has gone to the client
	resetsOnClose      bool          // every close of the client's connection is a reset
	answeredLocally    bool          // an answer of the proxy's own has gone to the client
	retryAfter         time.Duration
}

// serve takes one request of a client.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	arrived := p.options.Now()
	if client := clientOf(r); client != nil && !client.requestStarted() {
		abortConnection()
	}
	p.closeIfDraining(w.Header())
	setReadDeadline(w, r, arrived.Add(allowedTime(r.Header, 0)))
	routes := p.options.Views.Routes()
	if routes == nil {
		p.rejections.add(apierror.NotReady)
		writeError(w, apierror.NotReady, 0)
		return
	}
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	route := routes.Match(r.Host, path)
	if route == nil {
		writeError(w, apierror.NoRoute, 0)
		return
	}
	c := &clientRequest{proxy: p, writer: w, request: r, rejection: apierror.NoEndpoint}
	c.info.Route = route
	c.info.ArrivedAt = arrived
	c.info.Deadline = arrived.Add(allowedTime(r.Header, route.TimeoutMs))
	c.readInfo(r.Header)
	if c.info.Service = routes.pickService(route, c.serviceKey()); c.info.Service == nil {
		c.writeError(apierror.NoEndpoint, 0)
		return
	}
	c.body, c.headerFields = getBuffer(), getBuffer()
	defer c.releaseBuffers()
	if !c.readBody(routes.Limits.MaxBodyBytes) {
		return
	}
	c.prepareUpstreamRequest(target)
	ctx, cancel := context.WithDeadline(r.Context(), c.info.Deadline)
	defer cancel()
	c.context = ctx
	c.proxyLoop()
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

// allowedTime returns how long a request may be held: as long as its client waits, and as its route says, if it does.
func allowedTime(header http.Header, giveUpMs int64) time.Duration {
	allowed := defaultDeadline
	if giveUpMs > 0 {
		allowed = time.Duration(giveUpMs) * time.Millisecond
	}
	if told, ok := milliseconds(first(header, headerTimeLeft)); ok {
		allowed = min(allowed, told)
	}
	return allowed
}

// readInfo reads what the headers tell.
func (c *clientRequest) readInfo(header http.Header) {
	f := &c.info
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

// serviceKey returns a number that is the same for all requests of a program, session or subject.
func (c *clientRequest) serviceKey() uint64 {
	if hash := affinityKey(&c.info); hash != 0 {
		return hash
	}
	return rand.Uint64()
}

// readBody reads the body. It returns false when the request has ended: with 413, or with a close without an answer if it
// could not be read.
func (c *clientRequest) readBody(limit int64) bool {
	if connection, ok := c.writer.(deadlineSetter); ok {
		connection.SetWriteDeadline(c.info.Deadline.Add(writeGracePeriod))
	}
	setReadDeadline(c.writer, c.request, c.info.Deadline)
	err := readBody(c.request, c.body, limit)
	if err == errBodyTooLarge {
		c.writeError(apierror.BodyTooLarge, 0)
		return false
	}
	if err != nil {
		abortConnection()
	}
	clearReadDeadline(c.writer, c.request)
	return true
}

// prepareUpstreamRequest builds what is the same in every attempt.
func (c *clientRequest) prepareUpstreamRequest(target string) {
	*c.headerFields = appendForwarded((*c.headerFields)[:0], c.request.Header)
	c.priority = strconv.Itoa(min(max(c.info.Route.Priority, 0), 9))
	c.upstream = upstream.Request{
		Method:    c.request.Method,
		Target:    target,
		Host:      c.request.Host,
		Fields:    *c.headerFields,
		Body:      [][]byte{*c.body},
		HasBody:   c.request.ContentLength != 0 || first(c.request.Header, "Content-Length") != "",
		AttemptID: c.info.AttemptID,
		Deadline:  c.info.Deadline,
	}
	c.info.BodyBytes = len(*c.body)
}

func (c *clientRequest) releaseBuffers() {
	putBuffer(c.body)
	putBuffer(c.headerFields)
}

// proxyLoop begins a turn, if the request is one, and sends the request until it is answered.
func (c *clientRequest) proxyLoop() {
	if !c.beginTurn() {
		return
	}
	defer c.commitUnfinishedTurn()
	for c.sendAttempt() {
	}
	if !c.headerWritten && !c.answeredLocally {
		abortConnection() // the library would answer 200 by itself
	}
	c.allowOrderlyClose()
}

// beginTurn has the stores take a turn. It returns false when the request has been answered.
func (c *clientRequest) beginTurn() bool {
	var budget int64
	c.turn, budget = newTurn(c.request.Header, c.info.Route, &c.info)
	if c.turn == nil {
		return true
	}
	c.scanner.collect = c.turn.stateful
	bounded, cancel := context.WithTimeout(c.context, beginTimeout(c.info.Deadline.Sub(c.proxy.options.Now())))
	defer cancel()
	kind, chain, err := c.turn.begin(bounded, c.proxy.options.Programs, &c.info, budget, *c.body)
	if err != nil {
		c.proxy.rejections.recordCause(err)
	}
	if kind != apierror.None {
		c.commitUnfinishedTurn()
		c.writeError(kind, 0)
		return false
	}
	if len(chain) > 0 {
		c.upstream.Body = [][]byte{chain, *c.body}
		c.upstream.HasBody = true
		c.info.BodyBytes += len(chain)
	}
	return true
}

// beginTimeout returns how long the owner of a program is looked for.
func beginTimeout(left time.Duration) time.Duration {
	return min(left, max(left/beginTimeoutDivisor, minBeginTimeout))
}

// commitUnfinishedTurn tells the stores, beside the request, how a turn ended that hasn't been settled yet.
func (c *clientRequest) commitUnfinishedTurn() {
	if c.turn == nil || !c.turn.reserved || c.turn.committed {
		return
	}
	c.turn.committed = true
	c.proxy.usage.commit(c.turn.key, c.turn.end(false, &c.scanner))
}

// retryable tells whether a request of the route may run more than once.
func retryable(route *model.Route) bool {
	return route.Kind == model.Retryable || route.Kind == model.Streaming && route.Resumable
}

// recordMayHaveRun notes a send of which nothing promises that the endpoint did not run it.
func (c *clientRequest) recordMayHaveRun(result Result) {
	c.mayHaveRunAttempts++
	c.mayHaveRun = true
	c.info.AttemptsUsed = c.mayHaveRunAttempts
	c.info.MayHaveRun = true
	c.info.AfterTimeout = result == TimedOut
}

// mayRetry tells whether the request may go to another endpoint after a send of which nothing is known.
func (c *clientRequest) mayRetry() bool {
	return retryable(c.info.Route) && c.mayHaveRunAttempts < c.info.Route.MaxAttempts && c.context.Err() == nil
}
