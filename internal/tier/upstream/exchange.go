package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

const (
	// directWriteBytes is the most that is written before the response is read. A longer request is written while its response is
	// read, since an endpoint may answer without reading it.
	directWriteBytes = 32 << 10
	// maxInformational bounds the 1xx heads that may come before a response.
	maxInformational = 16
	// maxForeignResponses bounds the late responses to other requests that are skipped on one connection.
	maxForeignResponses = 4
	// maxForeignBytes bounds the body of a late response.
	maxForeignBytes = 1 << 20
)

// AttemptIDHeader holds the id of an attempt, in requests and in their responses.
const AttemptIDHeader = "X-Attempt-Id"

// TimeLeftHeader holds how many milliseconds the caller of a request will wait.
const TimeLeftHeader = "X-Time-Left-Ms"

// Errors of readHead. readError gives errForeign a Reason of its own.
var (
	errForeign       = errors.New("response has another request's id")
	errInformational = errors.New("too many informational responses")
)

// headBuffers pools the buffers in which heads of requests are formatted.
var headBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Do sends a request to an endpoint, once, and returns its response when the head has come. The caller must close the response.
// The response's body fails when the context ends. The error is an *Error.
func (p *Pool) Do(ctx context.Context, endpoint Endpoint, request *Request) (*Response, error) {
	if err := request.check(); err != nil {
		return nil, &Error{Kind: NeverSent, Reason: InvalidRequest, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{Kind: NeverSent, Reason: Cancelled, Err: context.Cause(ctx)}
	}
	c, failure := p.acquire(ctx, endpoint, request.AttemptID == "")
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
	stop        func() bool
	writeDone   chan writeResult // nil: the request was written before its response was read
	notReusable bool             // the connection must not be used again
}

// writeResult is how the writing of a request ended: how many bytes were written, and why no more.
type writeResult struct {
	count int64
	err   error
}

// run writes the request and reads the head of its response. A long request is written by a goroutine of its own, which ends with
// its write: awaitWrite, or the response's Close, waits for it.
func (e *exchange) run() (*Response, *Error) {
	e.stop = e.connection.abortOnDone(e.ctx)
	e.connection.requests++
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

// readError returns what is known when no response came. A write that still runs is ended first.
func (e *exchange) readError(err error) *Error {
	reason := ReadFailed
	if errors.Is(err, errForeign) {
		reason = ForeignResponse
	}
	if e.writeDone != nil {
		e.connection.socket.Close()
		if result := e.awaitWrite(); result.count == 0 {
			return &Error{Kind: NeverSent, Reason: WriteFailed, Err: result.err}
		}
	}
	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}
}

// awaitWrite waits for a write that runs beside the reading, so that nothing reads the request's body any more.
func (e *exchange) awaitWrite() writeResult {
	if e.writeDone == nil {
		return writeResult{}
	}
	result := <-e.writeDone
	e.writeDone = nil
	return result
}

// writeSucceeded reports, without waiting, whether a write that ran beside the reading has succeeded.
func (e *exchange) writeSucceeded() bool {
	if e.writeDone == nil {
		return true
	}
	select {
	case result := <-e.writeDone:
		e.writeDone = nil
		return result.err == nil
	default:
		return false
	}
}

// write puts the request on the wire.
func (e *exchange) write() writeResult {
	pooled := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(pooled)
	head := e.request.appendHead((*pooled)[:0], e.pool.options.Now())
	*pooled = head[:0]
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

// readHead reads the head of this request's response, past informational ones and past late responses to other requests. Where
// one of those may belong to a HEAD request, nothing reports whether a body follows it, and so where the next response begins.
func (e *exchange) readHead() (*http.Response, error) {
	c := e.connection
	libraryRequest := &http.Request{Method: e.request.Method}
	for informational, foreign := 0, 0; ; {
		c.readLeft = e.pool.options.MaxHeaderBytes
		response, err := http.ReadResponse(c.reader, libraryRequest)
		if err != nil {
			return nil, err
		}
		c.readLeft = unlimited
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
		e.notReusable = true
		foreign++
		if foreign > maxForeignResponses || c.carriedHead || !skipForeign(response) {
			return nil, errForeign
		}
	}
}

// matches reports whether a response is this request's. One without an id is, if the connection has carried no other request. One
// with several ids is no request's.
func (e *exchange) matches(response *http.Response) bool {
	ids := response.Header[AttemptIDHeader]
	if len(ids) == 0 {
		return e.connection.requests == 1
	}
	return len(ids) == 1 && ids[0] == e.request.AttemptID
}

// skipForeign reads the body of a late response to another request. It returns false when no response can follow it.
func skipForeign(response *http.Response) bool {
	if response.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
	return err == nil && n <= maxForeignBytes
}
