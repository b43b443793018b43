package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an endpoint's answer to a request. It is read by one goroutine.
type Response struct {
	Status         int
	Header         http.Header
	ContentLength  int64 // -1: not told
	CloseDelimited bool  // the body has no end but that of the connection
	Reused         bool  // the connection had carried another request before

	exchange *exchange
	response *http.Response
	whole    bool
	finished bool
}

func newResponse(e *exchange, response *http.Response) *Response {
	chunked := len(response.TransferEncoding) > 0
	return &Response{
		Status:         response.StatusCode,
		Header:         response.Header,
		ContentLength:  response.ContentLength,
		CloseDelimited: response.ContentLength < 0 && !chunked && response.Body != http.NoBody,
		Reused:         e.connection.used > 1,
		exchange:       e,
		response:       response,
		whole:          response.Body == http.NoBody,
	}
}

// Read reads the body. It returns io.EOF only at the end of a whole body, and an Error of kind MayHaveRun when the body
// breaks off.
func (a *Response) Read(buffer []byte) (int, error) {
	if a.finished {
		return 0, io.ErrClosedPipe
	}
	n, err := a.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		reason := ReadFailed
		if a.exchange.ctx.Err() != nil {
			reason = Cancelled
		}
		return n, &Error{Kind: MayHaveRun, Reason: reason, Err: err}
	}
	return n, nil
}

// Buffered tells how many bytes of the answer, framing included, wait to be read without a call to the system.
func (a *Response) Buffered() int {
	if a.finished {
		return 0
	}
	return a.exchange.connection.reader.Buffered()
}

// Complete tells whether the body has been read to its end.
func (a *Response) Complete() bool { return a.whole }

// Close ends the exchange. The connection is kept if it can carry another request, and closed otherwise; an endpoint takes a
// close in the middle of an answer as a sign to stop its work.
func (a *Response) Close() {
	if a.finished {
		return
	}
	a.finished = true
	e := a.exchange
	undisturbed := e.stop()
	keep := a.keepFor()
	if undisturbed && keep > 0 && a.reusable() {
		e.pool.release(e.connection, keep)
		return
	}
	e.pool.discard(e.connection)
	e.awaitWrite()
}

// reusable tells whether nothing of this exchange is left on the connection.
func (a *Response) reusable() bool {
	e := a.exchange
	if !a.whole || e.tainted || a.response.Close || a.CloseDelimited || e.request.AttemptID == "" {
		return false
	}
	if a.Status == http.StatusSwitchingProtocols || e.connection.reader.Buffered() > 0 {
		return false
	}
	return e.writtenWhole()
}

// keepFor returns how long the connection may stay idle.
func (a *Response) keepFor() time.Duration {
	options := &a.exchange.pool.options
	told, ok := keepAliveTimeout(a.Header.Get("Keep-Alive"))
	if !ok {
		return options.IdleTimeout
	}
	return told - options.IdleTimeoutMargin
}

// keepAliveTimeout reads the timeout of a Keep-Alive header.
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
