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
	// directWriteBytes is the most that is written before the answer is read. A longer request is written at the same
	// time as its answer is read, since an endpoint may answer without reading it.
	directWriteBytes = 32 << 10
	// maxInformational bounds the 1xx heads that may come before an answer.
	maxInformational = 16
	// maxForeign bounds the late answers to other requests that are passed over on one connection.
	maxForeign = 4
	// maxForeignBytes bounds the body of a late answer.
	maxForeignBytes = 1 << 20
)

// AttemptIDHeader holds the id of a try, in requests and in their answers.
const AttemptIDHeader = "X-Attempt-Id"

// TimeLeftHeader holds how many milliseconds the caller of a request will wait.
const TimeLeftHeader = "X-Time-Left-Ms"

var (
	errForeign       = errors.New("the answer has another request's id")
	errInformational = errors.New("too many informational answers")
)

var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Do sends a request to an endpoint, once, and returns its answer when the head has come. The caller closes the answer. The
// answer's body fails when the context ends.
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
	answer, failure := exchange.run()
	if failure != nil {
		exchange.stop()
		p.discard(c)
		if ctx.Err() != nil {
			failure.Reason, failure.Err = Cancelled, context.Cause(ctx)
		}
		return nil, failure
	}
	return answer, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	pool       *Pool
	connection *connection
	request    *Request
	ctx        context.Context
	stop       func() bool
	written    chan writeResult // nil: the request was written before its answer was read
	tainted    bool             // the connection must not be used again
}

type writeResult struct {
	count int64
	err   error
}

func (e *exchange) run() (*Response, *Error) {
	e.stop = e.connection.abortOn(e.ctx)
	e.connection.used++
	e.connection.carriedHead = e.connection.carriedHead || e.request.Method == http.MethodHead
	if e.request.bodyLength() > directWriteBytes {
		e.written = make(chan writeResult, 1)
		go func() { e.written <- e.write() }()
	} else if result := e.write(); result.err != nil {
		if result.count == 0 {
			return nil, &Error{Kind: NeverSent, Reason: WriteFailed, Err: result.err}
		}
		e.tainted = true
	}
	response, err := e.readHead()
	if err != nil {
		return nil, e.readFailure(err)
	}
	return newResponse(e, response), nil
}

// readFailure tells what is known when no answer came. A write that still runs is ended first.
func (e *exchange) readFailure(err error) *Error {
	reason := ReadFailed
	if errors.Is(err, errForeign) {
		reason = ForeignResponse
	}
	if e.written != nil {
		e.connection.socket.Close()
		if result := e.awaitWrite(); result.count == 0 {
			return &Error{Kind: NeverSent, Reason: WriteFailed, Err: result.err}
		}
	}
	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}
}

// awaitWrite waits for a write that runs beside the reading, so that nothing reads the request's parts any more.
func (e *exchange) awaitWrite() writeResult {
	if e.written == nil {
		return writeResult{}
	}
	result := <-e.written
	e.written = nil
	return result
}

// writtenWhole tells, without waiting, whether a write that ran beside the reading has ended well.
func (e *exchange) writtenWhole() bool {
	if e.written == nil {
		return true
	}
	select {
	case result := <-e.written:
		e.written = nil
		return result.err == nil
	default:
		return false
	}
}

// write puts the request on the wire.
func (e *exchange) write() writeResult {
	pooled := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(pooled)
	head := e.request.appendHead((*pooled)[:0], e.pool.options.Now())
	*pooled = head[:0]
	if len(e.request.Body) == 0 {
		n, err := e.connection.socket.Write(head)
		return writeResult{int64(n), err}
	}
	buffers := make(net.Buffers, 0, 1+len(e.request.Body))
	buffers = append(buffers, head)
	for _, part := range e.request.Body {
		if len(part) > 0 {
			buffers = append(buffers, part)
		}
	}
	n, err := buffers.WriteTo(e.connection.socket)
	return writeResult{n, err}
}

// readHead reads the head of this request's answer, past informational ones and past late answers to others. Where one of
// those may belong to a HEAD request, nothing tells whether a body follows it, and so where the next answer begins.
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
		if e.belongs(response) {
			return response, nil
		}
		e.tainted = true
		foreign++
		if foreign > maxForeign || c.carriedHead || !passOver(response) {
			return nil, errForeign
		}
	}
}

// belongs tells whether an answer is this request's. One without an id is, if the connection has carried no other request.
// One that names several ids is nobody's.
func (e *exchange) belongs(response *http.Response) bool {
	ids := response.Header[AttemptIDHeader]
	if len(ids) == 0 {
		return e.connection.used == 1
	}
	return len(ids) == 1 && ids[0] == e.request.AttemptID
}

// passOver reads the body of a late answer to another request. It returns false when no answer can follow it.
func passOver(response *http.Response) bool {
	if response.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
	return err == nil && n <= maxForeignBytes
}
