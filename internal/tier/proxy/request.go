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
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/upstream"
)

const (
	// writeGracePeriod is how long after a request's deadline its response may still be written.
	writeGracePeriod = 150 * time.Millisecond
	// defaultDeadline bounds a request for which neither the client nor the route sets a limit.
	defaultDeadline = 30 * time.Second
	// maxPriority is the least urgent value of the Priority header.
	maxPriority = 9
)

// clientRequest is a client's request in progress. It belongs to the goroutine that serves the request.
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
	turn         *turn // nil: the request is not a turn
	transcript   transcript
	response     clientResponse
	lease        *memorybudget.Lease // of the request's memory

	outputReserved int64 // bytes reserved for what transcript and an attempt's parser hold
	largeOutput    int64 // part of outputReserved in the class memorybudget.Large
	headReserved   int64 // bytes reserved for the head of an attempt's response

	mayHaveRunAttempts int           // attempts that an endpoint may have run
	neverSentAttempts  int           // attempts of which no byte was sent
	notRunAttempts     int           // attempts that the endpoint declared as not run
	mayHaveRun         bool          // an endpoint may have run the request
	rejectionKind      apierror.Kind // kind of error response while no endpoint may have run the request
	retryAfter         time.Duration
	answeredLocally    bool // the proxy's own error response has been sent to the client
}

// serve serves one request of a client.
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
	c.response = clientResponse{writer: w, request: r}
	c.info.Route = route
	c.info.ArrivedAt = arrivedAt
	c.info.Deadline = arrivedAt.Add(allowedTime(r.Header, route.TimeoutMs))
	c.serveRoute(routes, target)
}

// serveRoute reads the body of a request whose route is known, and sends the request to an endpoint.
func (c *clientRequest) serveRoute(routes *Routes, target string) {
	c.readInfo(c.request.Header)
	if c.info.Service = routes.selectService(c.info.Route, c.serviceKey()); c.info.Service == nil {
		c.writeError(apierror.NoEndpoint, 0)
		return
	}
	if !c.reserveMemory() {
		return
	}
	defer c.lease.Release()
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

// requestTarget returns the path and query of a request, byte for byte. In a target in absolute form, scheme and host precede them.
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

// allowedTime returns how long a request may take: the route's limit or the default one, or the client's if that is shorter.
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

// readInfo fills info from the request's header.
func (c *clientRequest) readInfo(header http.Header) {
	info := &c.info
	info.AttemptID = firstValue(header, upstream.AttemptIDHeader)
	info.Subject = subjectFromCookie(header)
	info.Program = firstValue(header, headerProgram)
	info.Session = firstValue(header, headerSession)
	info.PreviousTurn = firstValue(header, headerPrevious)
	info.Model = firstValue(header, headerModel)
	info.PromptPrefix = firstValue(header, headerPromptPrefix)
	info.PromptTokens, info.MaxOutputTokens = parseTokenCounts(firstValue(header, headerTokenCounts))
	info.ProgramTimeLeft, _ = parseMilliseconds(firstValue(header, headerFinishMs))
}

// serviceKey returns a number that is the same for all requests of a program, session or subject, and random for other requests.
func (c *clientRequest) serviceKey() uint64 {
	if hash := affinityKey(&c.info); hash != 0 {
		return hash
	}
	return rand.Uint64()
}

// readBody reads the body. It returns false if the request has ended with an error response: the body is too large, there is no memory for
// it, or its client makes no progress while others wait. If the body cannot be read, the connection is aborted.
func (c *clientRequest) readBody(limit int64) bool {
	if connection, ok := c.writer.(deadlineSetter); ok {
		_ = connection.SetWriteDeadline(c.info.Deadline.Add(writeGracePeriod))
	}
	setReadDeadline(c.writer, c.request, c.info.Deadline)
	err := c.readRequestBody(c.bodyLimit(limit))
	var noMemory *memoryError
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.writeError(apierror.BodyTooLarge, 0)
		return false
	case errors.As(err, &noMemory):
		c.writeError(apierror.Overloaded, 0)
		return false
	case errors.Is(err, errCallerStalled):
		c.writeError(apierror.RequestTimeout, 0)
		return false
	case err != nil:
		abortConnection()
	}
	clearReadDeadline(c.writer, c.request)
	return true
}

// prepareUpstreamRequest builds the part of the upstream request that is the same in every attempt.
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

		ReserveHead: c.reserveHead,
	}
	c.info.BodyBytes = len(*c.body)
}

// releaseBuffers returns the buffers to the pool. No attempt may still be writing from them.
func (c *clientRequest) releaseBuffers() {
	if c.body != nil {
		putBuffer(c.body)
	}
	putBuffer(c.headerFields)
}

// sendWithRetries begins the turn, if the request is one, and sends the request until the client has a response.
func (c *clientRequest) sendWithRetries() {
	if !c.beginTurn() {
		return
	}
	defer c.commitUnfinishedTurn()
	for c.sendAttempt() {
	}
	if !c.response.started && !c.answeredLocally {
		abortConnection() // net/http would send 200 by itself
	}
	if c.response.restoreGracefulClose() != nil {
		abortConnection()
	}
}
