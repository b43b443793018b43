package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"mastusher/internal/tier/metrics"
)

const (
	// directWriteBytes is the largest body that is written before the response is read. A longer one is written while the response
	// is read, since an endpoint may respond without reading all of it.
	directWriteBytes = 32 << 10
	// maxPooledHeadBytes is the largest buffer for the head of a request that is kept for later requests.
	maxPooledHeadBytes = 16 << 10
	// maxInformational is the largest number of informational (1xx) responses before a response.
	maxInformational = 16
	// maxForeignResponses is the largest number of foreign responses that are skipped before a response.
	maxForeignResponses = 4
	// maxForeignBytes is the largest body of a foreign response that is skipped.
	maxForeignBytes = 1 << 20
)

// AttemptIDHeader is the header field with the id of an attempt, in requests and in their responses.
const AttemptIDHeader = "X-Attempt-Id"

// TimeLeftHeader is the request header field with the time until the request's deadline in milliseconds.
const TimeLeftHeader = "X-Time-Left-Ms"

// Errors of readHead. readError maps errForeign to ForeignResponse, errNoHeadMemory to NoMemory and the others to ReadFailed.
var (
	errForeign       = errors.New("response doesn't carry the X-Attempt-Id of its request")
	errInformational = errors.New("more informational (1xx) responses than allowed before a response")
)

// headBuffers pools buffers for formatting the heads of requests.
var headBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Do sends a request to an endpoint once and returns its response when the head has been read. The caller must close the response.
// Reading the body fails once the context ends. The error is an *Error.
func (p *Pool) Do(ctx context.Context, endpoint Endpoint, request *Request) (*Response, error) {
	if err := request.check(); err != nil {
		return nil, &Error{Kind: NeverSent, Reason: InvalidRequest, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{Kind: NeverSent, Reason: Cancelled, Err: context.Cause(ctx)}
	}
	c, failure := p.acquire(ctx, endpoint, request)
	if failure != nil {
		if ctx.Err() != nil {
			failure.Reason = Cancelled
		}
		return nil, failure
	}
	if endpoint.Permit != nil && !endpoint.Permit.Granted() {
		p.discard(c)
		return nil, &Error{Kind: NeverSent, Reason: PermitRevoked}
	}
	if ctx.Err() != nil {
		p.discard(c)
		return nil, &Error{Kind: NeverSent, Reason: Cancelled, Err: context.Cause(ctx)}
	}
	exchange := &exchange{pool: p, connection: c, request: request, ctx: ctx}
	response, failure := exchange.run()
	if failure != nil {
		exchange.stop()
		p.discard(c)
		if ctx.Err() != nil {
			failure.Reason, failure.Err = Cancelled, context.Cause(ctx)
		}
		return nil, failure
	}
	return response, nil
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool        *Pool
	connection  *connection
	request     *Request
	ctx         context.Context
	stop        func() bool      // of connection.abortOnDone
	writeDone   chan writeResult // result of the writing goroutine; nil: there is none, or its result was received
	notReusable bool             // the connection must not carry another request
}

// writeResult is the result of writing a request.
type writeResult struct {
	count int64 // bytes written
	err   error
}

// run writes the request and reads the head of its response. A long request is written by a separate goroutine, which readError or
// Response.Close waits for.
func (e *exchange) run() (*Response, *Error) {
	e.stop = e.connection.abortOnDone(e.ctx)
	e.countRepeatedSend()
	e.connection.requests++
	e.request.carriedBy = append(e.request.carriedBy, e.connection)
	e.connection.carriedHead = e.connection.carriedHead || e.request.Method == http.MethodHead
	if e.request.bodyLength() > directWriteBytes {
		e.writeDone = make(chan writeResult, 1)
		go func() { e.writeDone <- e.write() }()
	} else if result := e.write(); result.err != nil {
		if result.count == 0 {
			return nil, &Error{Kind: NeverSent, Reason: WriteFailed, Err: result.err}
		}
		e.notReusable = true
	}
	response, err := e.readHead()
	if err != nil {
		return nil, e.readError(err)
	}
	return newResponse(e, response), nil
}

// countRepeatedSend counts the send if the request has been sent to the endpoint before.
func (e *exchange) countRepeatedSend() {
	if !e.request.sentTo(e.connection.endpoint.id) {
		return
	}
	age := metrics.ReusedConnection
	if e.connection.requests == 0 {
		age = metrics.NewConnection
	}
	e.pool.options.Metrics.CountRepeatedSend(age)
}

// readError converts an error of readHead to an Error. It ends a write in progress first, whose result tells whether any bytes were
// sent.
func (e *exchange) readError(err error) *Error {
	countDropped(e.pool.options.Metrics, err)
	reason := ReadFailed
	switch {
	case errors.Is(err, errForeign):
		reason = ForeignResponse
	case errors.Is(err, errNoHeadMemory):
		reason = NoMemory
	}
	if e.writeDone != nil {
		e.connection.socket.Close()
		if result := e.awaitWrite(); result.count == 0 {
			return &Error{Kind: NeverSent, Reason: WriteFailed, Err: result.err}
		}
	}
	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}
}

// awaitWrite waits for the writing goroutine, if there is one: after that, the request's body isn't accessed any more.
func (e *exchange) awaitWrite() writeResult {
	if e.writeDone == nil {
		return writeResult{}
	}
	result := <-e.writeDone
	e.writeDone = nil
	return result
}

// writeSucceeded reports, without waiting, whether the whole request has been written.
func (e *exchange) writeSucceeded() bool {
	if e.writeDone == nil {
		return true
	}
	select {
	case result := <-e.writeDone:
		e.writeDone = nil
		e.notReusable = e.notReusable || result.err != nil
		return result.err == nil
	default:
		return false
	}
}

// write writes the request to the connection.
func (e *exchange) write() writeResult {
	pooled := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(pooled)
	head := e.request.appendHead((*pooled)[:0], e.pool.options.Now())
	if cap(head) <= maxPooledHeadBytes {
		*pooled = head[:0]
	}
	if len(e.request.Body) == 0 {
		n, err := e.connection.socket.Write(head)
		return writeResult{int64(n), err}
	}
	buffers := make(net.Buffers, 0, 1+len(e.request.Body))
	buffers = append(buffers, head)
	for _, slice := range e.request.Body {
		if len(slice) > 0 {
			buffers = append(buffers, slice)
		}
	}
	n, err := buffers.WriteTo(e.connection.socket)
	return writeResult{n, err}
}

// readHead reads the head of this request's response. It skips informational and foreign responses. If a foreign response may belong
// to a HEAD request, it can't be skipped: it is unknown whether a body follows its head, and so where the next response begins.
func (e *exchange) readHead() (*http.Response, error) {
	c := e.connection
	httpRequest := &http.Request{Method: e.request.Method}
	for informational, foreign := 0, 0; ; {
		if err := c.beginHead(e.pool.options.MaxHeaderBytes, e.pool.options.MaxHeaderFields, e.request.ReserveHead); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, httpRequest)
		if err != nil {
			return nil, err
		}
		c.endHead()
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			informational++
			if informational > maxInformational {
				return nil, errInformational
			}
			continue
		}
		if e.matches(response) {
			return response, nil
		}
		e.pool.options.Metrics.CountForeignResponse()
		e.notReusable = true
		foreign++
		if foreign > maxForeignResponses || c.carriedHead || !skipForeign(response) {
			return nil, errForeign
		}
	}
}

// matches reports whether a response belongs to this exchange. A response with the request's id does, since the connection has carried
// the request only once (Request.mayUse): it can't be a late response to an earlier exchange of the same request. A response without an
// id does if the connection has carried no other request. A response with several ids belongs to no request.
func (e *exchange) matches(response *http.Response) bool {
	ids := response.Header[AttemptIDHeader]
	if len(ids) == 0 {
		return e.connection.requests == 1
	}
	return len(ids) == 1 && ids[0] == e.request.AttemptID
}

// skipForeign reads and drops the body of a foreign response. It returns false if the body can't be skipped, or if no other response
// can follow on the connection.
func skipForeign(response *http.Response) bool {
	if response.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
	return err == nil && n <= maxForeignBytes
}
