package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an endpoint's response to a request. It belongs to one goroutine.
type Response struct {
	Status         int
	Header         http.Header
	ContentLength  int64 // -1: unknown
	CloseDelimited bool  // the end of the body is marked only by the end of the connection (RFC 9112 section 6.3)
	Reused         bool  // the connection had carried another request

	exchange *exchange
	response *http.Response
	complete bool // the body has been read to its end
	closed   bool
}

// newResponse returns a response whose head has been read.
func newResponse(e *exchange, response *http.Response) *Response {
	chunked := len(response.TransferEncoding) > 0
	return &Response{
		Status:         response.StatusCode,
		Header:         response.Header,
		ContentLength:  response.ContentLength,
		CloseDelimited: response.ContentLength < 0 && !chunked && response.Body != http.NoBody,
		Reused:         e.connection.requests > 1,
		exchange:       e,
		response:       response,
		complete:       response.Body == http.NoBody,
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body, an *Error of kind MayHaveRun if the body is truncated or
// malformed, and io.ErrClosedPipe after Close.
func (r *Response) Read(buffer []byte) (int, error) {
	if r.closed {
		return 0, io.ErrClosedPipe
	}
	n, err := r.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		reason := ReadFailed
		if r.exchange.ctx.Err() != nil {
			reason = Cancelled
		}
		return n, &Error{Kind: MayHaveRun, Reason: reason, Err: err}
	}
	return n, nil
}

// Buffered returns how many bytes of the response, including framing, can be read without a system call.
func (r *Response) Buffered() int {
	if r.closed {
		return 0
	}
	return r.exchange.connection.reader.Buffered()
}

// Complete reports whether the body has been read to its end.
func (r *Response) Complete() bool { return r.complete }

// RequestWritten reports whether the whole request has been written, so that its body isn't accessed any more unless it is sent again.
func (r *Response) RequestWritten() bool { return r.exchange.writeSucceeded() }

// Close ends the exchange. The connection is returned to the pool if it can carry another request, and closed otherwise. An endpoint
// stops its work when the connection is closed in the middle of a response.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	e := r.exchange
	notAborted := e.stop()
	timeout := r.idleTimeout()
	if notAborted && timeout > 0 && r.reusable() {
		e.pool.release(e.connection, timeout)
		return
	}
	e.pool.discard(e.connection)
	e.awaitWrite()
}

// reusable reports whether the connection can carry another request: this request was written and its response read completely, and
// neither side is to close the connection.
func (r *Response) reusable() bool {
	e := r.exchange
	if !r.complete || e.notReusable || r.response.Close || r.CloseDelimited || e.request.AttemptID == "" {
		return false
	}
	if r.Status == http.StatusSwitchingProtocols || e.connection.reader.Buffered() > 0 {
		return false
	}
	return e.writeSucceeded()
}

// idleTimeout returns how long the connection may stay idle: the endpoint's Keep-Alive timeout minus IdleTimeoutMargin, or IdleTimeout
// if the endpoint sent none.
func (r *Response) idleTimeout() time.Duration {
	options := &r.exchange.pool.options
	timeout, ok := keepAliveTimeout(r.Header.Get("Keep-Alive"))
	if !ok {
		return options.IdleTimeout
	}
	return timeout - options.IdleTimeoutMargin
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header field. It returns false if there is no valid one.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.Trim(number, `"`), 10, 31)
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
