package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mastusher/internal/tier/upstream"
)

// errAttemptTimeout is the cause with which an attempt's context is cancelled at its selection's timeout.
var errAttemptTimeout = errors.New("attempt exceeded its timeout")

// attempt is the state of one send of a request to one endpoint. What outlives it, since another attempt may go on from there, stands in
// clientRequest, clientResponse and transcript.
type attempt struct {
	selection Selection
	started   time.Time
	context   context.Context
	cancel    context.CancelCauseFunc // nil: there is no timeout
	timer     *time.Timer             // nil: there is no timeout, or it was stopped
	outcome   Outcome
	response  *upstream.Response
	parser    eventParser // of a stream
	events    int64       // forwarded to the client
	noMemory  bool        // the proxy had no memory for the response
	reported  bool        // the selector has been given the outcome
}

// sendAttempt selects an endpoint, sends the request to it and handles the response. It returns true if the request is to be retried.
func (c *clientRequest) sendAttempt() (retry bool) {
	selection, err := c.proxy.options.Selector.Select(c.context, &c.info)
	if err != nil {
		c.handleRejection(err)
		return false
	}
	a := &attempt{selection: selection, started: c.proxy.options.Now()}
	a.outcome.Result = IncompleteResponse
	c.startTimeout(a)
	defer c.finishAttempt(a)
	c.info.Excluded = append(c.info.Excluded, selection.ID)
	a.response, err = c.proxy.pool.Do(a.context, upstreamEndpoint(selection), c.attemptRequest(selection))
	if err != nil {
		return c.handleNoResponse(a, err)
	}
	return c.handleResponse(a)
}

// finishAttempt releases the resources of an attempt and reports its outcome to the selector. Further calls do nothing.
func (c *clientRequest) finishAttempt(a *attempt) {
	if a.reported {
		return
	}
	a.reported = true
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.response != nil {
		a.response.Close()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	a.outcome.Elapsed = c.proxy.options.Now().Sub(a.started)
	a.outcome.Events = a.events
	a.outcome.Tokens = a.events * tokensPerEvent(c.info.Service)
	c.proxy.options.Selector.Done(a.selection, a.outcome)
}

// startTimeout makes the attempt's context end at its selection's timeout.
func (c *clientRequest) startTimeout(a *attempt) {
	a.context = c.context
	if a.selection.Timeout <= 0 {
		return
	}
	a.context, a.cancel = context.WithCancelCause(c.context)
	a.timer = time.AfterFunc(a.selection.Timeout, func() { a.cancel(errAttemptTimeout) })
}

// stopTimeout stops the attempt's timeout when its response starts to be forwarded. It returns false if the timeout has already fired:
// the rest of the response will not arrive, so none of it may be forwarded.
func (a *attempt) stopTimeout() bool {
	timer := a.timer
	if timer == nil {
		return true
	}
	a.timer = nil
	if timer.Stop() {
		return true
	}
	a.cancel(errAttemptTimeout)
	return false
}

// upstreamEndpoint converts a selection to the pool's type.
func upstreamEndpoint(selection Selection) upstream.Endpoint {
	return upstream.Endpoint{
		ID:             selection.ID,
		Address:        selection.Address,
		MaxConnections: selection.MaxConnections,
		Permit:         selection.Permit,
	}
}

// attemptRequest returns the upstream request with the header fields of this attempt.
func (c *clientRequest) attemptRequest(selection Selection) *upstream.Request {
	fields := append(c.upstream.AttemptFields[:0],
		upstream.Field{Name: headerExpectedServer, Value: selection.ID},
		upstream.Field{Name: headerPriority, Value: c.priority},
	)
	if last := c.lastEventID(); last != "" {
		fields = append(fields, upstream.Field{Name: headerLastEventID, Value: last})
	}
	c.upstream.AttemptFields = fields
	return &c.upstream
}

// lastEventID returns the id of the last event that the client has received, in this response or in an earlier one.
func (c *clientRequest) lastEventID() string {
	if c.transcript.lastID != "" {
		return c.transcript.lastID
	}
	return firstValue(c.request.Header, headerLastEventID)
}

// handleResponse decides from the head of a response whether to forward it or to retry the request.
func (c *clientRequest) handleResponse(a *attempt) (retry bool) {
	header := a.response.Header
	a.outcome.Status = a.response.Status
	a.outcome.Load = firstValue(header, headerServerLoad)
	a.outcome.RetryAfter = parseRetryAfter(firstValue(header, headerRetryAfter))
	if provesNotRun(a.response) {
		return c.handleNotRun(a)
	}
	if !c.mayForward(a.response) {
		return c.handleIncomplete(a)
	}
	if c.shouldRetryStatus(a.response.Status) {
		return c.retryErrorResponse(a)
	}
	if c.response.started && !c.response.continues(a.response) {
		return c.handleIncomplete(a)
	}
	return c.forwardResponse(a)
}

// provesNotRun reports whether a response states that the endpoint did not run the request and never will.
func provesNotRun(response *upstream.Response) bool {
	_, notRun := response.Header[headerNotRun]
	return notRun || response.Status == http.StatusMisdirectedRequest
}

// mayForward reports whether a response may be forwarded to the client unchanged.
func (c *clientRequest) mayForward(response *upstream.Response) bool {
	if firstValue(response.Header, headerServerSeal) == "" || response.Status == http.StatusSwitchingProtocols {
		return false
	}
	if response.Status/100 == 2 {
		return firstValue(response.Header, upstream.AttemptIDHeader) == c.info.AttemptID
	}
	return retryable(c.info.Route) || !impliesNotRun(response.Status)
}

// impliesNotRun reports whether clients interpret a status as a guarantee that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return true
	}
	return false
}

// drainBufferedBody discards a response body that has been received completely, so that the connection can be reused. It does not wait
// for the rest of a body: an endpoint that won't run a request must not delay it.
func drainBufferedBody(response *upstream.Response) {
	if response.Complete() {
		return
	}
	if response.ContentLength >= 0 && response.ContentLength <= int64(response.Buffered()) {
		_, _ = io.Copy(io.Discard, response)
	}
}
