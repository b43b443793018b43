package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/upstream"
)

const (
	// writeGracePeriod is how long after its deadline a client may still take its response.
	writeGracePeriod = 150 * time.Millisecond
	// defaultDeadline bounds a request for which neither client nor route sets a time.
	defaultDeadline = 30 * time.Second
	// maxPriority is the least urgent value of the Priority header.
	maxPriority = 9
)

// clientRequest is one request of a client in progress. It belongs to the goroutine that serves it.
type clientRequest struct {
	proxy        *Proxy
	writer       http.ResponseWriter
	request      *http.Request
	context      context.Context // ends at the deadline, or when the client closes its connection
	info         RequestInfo
	upstream     upstream.Request
	body         *[]byte
	headerFields *[]byte
	priority     string
	turn         *turn // nil: the request is none
	scanner      eventScanner

	mayHaveRunAttempts int           // sends that an endpoint may have run
	neverSentAttempts  int           // selections that led to no send
	notRunAttempts     int           // sends that the endpoint declared as not run
	mayHaveRun         bool          // nothing promises that no endpoint ran the request
	rejectionKind      apierror.Kind // why no endpoint took it, as far as nothing was sent
	retryAfter         time.Duration
	headerWritten      bool // the head of a response has gone to the client
	resetsOnClose      bool // every close of the client's connection is a reset
	answeredLocally    bool // an error response of the proxy's own has gone to the client
}

// serve takes one request of a client.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := p.options.Now()
	if client := clientConnOf(r); client != nil && !client.beginRequest() {
		abortConnection()
	}
	p.closeIfDraining(w.Header())
	setReadDeadline(w, r, arrivedAt.Add(allowedTime(r.Header, 0)))
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
	c := &clientRequest{proxy: p, writer: w, request: r, rejectionKind: apierror.NoEndpoint}
	c.info.Route = route
	c.info.ArrivedAt = arrivedAt
	c.info.Deadline = arrivedAt.Add(allowedTime(r.Header, route.TimeoutMs))
	c.serveRoute(routes, target)
}

// serveRoute reads the body of a request whose route is known, and sends it on.
func (c *clientRequest) serveRoute(routes *Routes, target string) {
	c.readInfo(c.request.Header)
	if c.info.Service = routes.selectService(c.info.Route, c.serviceKey()); c.info.Service == nil {
		c.writeError(apierror.NoEndpoint, 0)
		return
	}
	c.body, c.headerFields = getBuffer(), getBuffer()
	defer c.releaseBuffers()
	if !c.readBody(routes.Limits.MaxBodyBytes) {
		return
	}
	c.prepareUpstreamRequest(target)
	ctx, cancel := context.WithDeadline(c.request.Context(), c.info.Deadline)
	defer cancel()
	c.context = ctx
	c.sendWithRetries()
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

// allowedTime returns how long a request may take: as long as its client waits, and as its route allows, if it does.
func allowedTime(header http.Header, routeTimeoutMs int64) time.Duration {
	allowed := defaultDeadline
	if routeTimeoutMs > 0 {
		allowed = time.Duration(routeTimeoutMs) * time.Millisecond
	}
	if timeLeft, ok := parseMilliseconds(firstValue(header, headerTimeLeft)); ok {
		allowed = min(allowed, timeLeft)
	}
	return allowed
}

// readInfo reads what the headers say of the request.
func (c *clientRequest) readInfo(header http.Header) {
	info := &c.info
	info.AttemptID = firstValue(header, upstream.AttemptIDHeader)
	info.Subject = subjectFromCookie(header)
	info.Program = firstValue(header, headerProgram)
	info.Session = firstValue(header, headerSession)
	info.Previous = firstValue(header, headerPrevious)
	info.Model = firstValue(header, headerModel)
	info.Prefix = firstValue(header, headerPromptPrefix)
	info.PromptTokens, info.MaxOutputTokens = parseTokenCounts(firstValue(header, headerTokenCounts))
	info.ProgramTimeLeft, _ = parseMilliseconds(firstValue(header, headerFinishMs))
}

// serviceKey returns a number that is the same for all requests of a program, session or subject.
func (c *clientRequest) serviceKey() uint64 {
	if hash := affinityKey(&c.info); hash != 0 {
		return hash
	}
	return rand.Uint64()
}

// readBody reads the body. It returns false when the request has ended: with 413, or with a close without a response if the body
// could not be read.
func (c *clientRequest) readBody(limit int64) bool {
	if connection, ok := c.writer.(deadlineSetter); ok {
		_ = connection.SetWriteDeadline(c.info.Deadline.Add(writeGracePeriod))
	}
	setReadDeadline(c.writer, c.request, c.info.Deadline)
	err := readBody(c.request, c.body, limit)
	if errors.Is(err, errBodyTooLarge) {
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
	*c.headerFields = appendForwardedFields((*c.headerFields)[:0], c.request.Header)
	c.priority = strconv.Itoa(min(max(c.info.Route.Priority, 0), maxPriority))
	c.upstream = upstream.Request{
		Method:    c.request.Method,
		Target:    target,
		Host:      c.request.Host,
		Fields:    *c.headerFields,
		Body:      [][]byte{*c.body},
		HasBody:   c.request.ContentLength != 0 || firstValue(c.request.Header, "Content-Length") != "",
		AttemptID: c.info.AttemptID,
		Deadline:  c.info.Deadline,
	}
	c.info.BodyBytes = len(*c.body)
}

// releaseBuffers gives the buffers back. No attempt may still be writing from them.
func (c *clientRequest) releaseBuffers() {
	putBuffer(c.body)
	putBuffer(c.headerFields)
}

// sendWithRetries begins a turn, if the request is one, and sends the request until the client has a response.
func (c *clientRequest) sendWithRetries() {
	if !c.beginTurn() {
		return
	}
	defer c.commitUnfinishedTurn()
	for c.sendAttempt() {
	}
	if !c.headerWritten && !c.answeredLocally {
		abortConnection() // the library would answer 200 by itself
	}
	c.restoreGracefulClose()
}
