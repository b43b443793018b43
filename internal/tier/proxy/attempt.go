package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mastusher/internal/tier/upstream"
)

// errAttemptTimeout is the cause of the end of an attempt that its selection's timeout abandoned.
var errAttemptTimeout = errors.New("attempt timed out")

// attempt is one send of a request to one endpoint.
type attempt struct {
	selection    Selection
	started      time.Time
	context      context.Context
	cancel       context.CancelCauseFunc // nil: there is no timeout
	timer        *time.Timer             // nil: there is none, or it was stopped
	outcome      Outcome
	response     *upstream.Response
	eventsBefore int64 // events that the client had from earlier attempts
	reported     bool  // the selector has the outcome
}

// sendAttempt sends the request to one endpoint. It returns true when the request is to be retried.
func (c *clientRequest) sendAttempt() (retry bool) {
	selection, err := c.proxy.options.Selector.Select(c.context, &c.info)
	if err != nil {
		c.handleRejection(err)
		return false
	}
	a := &attempt{selection: selection, started: c.proxy.options.Now(), eventsBefore: c.scanner.count}
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

// finishAttempt closes what belongs to an attempt and reports its outcome to the selector, once.
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
	a.outcome.Took = c.proxy.options.Now().Sub(a.started)
	a.outcome.Events = c.scanner.count - a.eventsBefore
	a.outcome.Tokens = a.outcome.Events * tokensPerEvent(c.info.Service)
	c.proxy.options.Selector.Done(a.selection, a.outcome)
}

// startTimeout makes an attempt end after its selection's timeout.
func (c *clientRequest) startTimeout(a *attempt) {
	a.context = c.context
	if a.selection.Timeout <= 0 {
		return
	}
	a.context, a.cancel = context.WithCancelCause(c.context)
	a.timer = time.AfterFunc(a.selection.Timeout, func() { a.cancel(errAttemptTimeout) })
}

// stopTimeout ends the attempt's timeout, as its response begins to go to the client. It returns false where the timeout has
// fired already: then nothing of the response may go out, as the rest of it won't come.
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

// upstreamEndpoint returns a selection in the form that the pool takes.
func upstreamEndpoint(selection Selection) upstream.Endpoint {
	return upstream.Endpoint{
		ID:             selection.ID,
		Address:        selection.Address,
		MaxConnections: selection.MaxConnections,
		Permit:         selection.Permit,
	}
}

// attemptRequest returns the request with the header fields of this attempt.
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

// lastEventID returns the id of the last event that the client has, from this response or from an earlier one.
func (c *clientRequest) lastEventID() string {
	if c.scanner.lastID != "" {
		return c.scanner.lastID
	}
	return firstValue(c.request.Header, headerLastEventID)
}

// handleResponse decides by the head of a response whether it is forwarded, or the request retried.
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
	if c.headerWritten && a.response.Status/100 != 2 {
		return c.handleIncomplete(a)
	}
	return c.forwardResponse(a)
}

// provesNotRun reports whether a response says that the endpoint did not run the request and never will.
func provesNotRun(response *upstream.Response) bool {
	_, notRun := response.Header[headerNotRun]
	return notRun || response.Status == http.StatusMisdirectedRequest
}

// mayForward reports whether a response may go to the client as it is.
func (c *clientRequest) mayForward(response *upstream.Response) bool {
	if firstValue(response.Header, headerServerSeal) == "" || response.Status == http.StatusSwitchingProtocols {
		return false
	}
	if response.Status/100 == 2 {
		return firstValue(response.Header, upstream.AttemptIDHeader) == c.info.AttemptID
	}
	return retryable(c.info.Route) || !impliesNotRun(response.Status)
}

// impliesNotRun reports whether clients read a status as a promise that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return true
	}
	return false
}

// drainBufferedBody reads the rest of a response that has come already, so that its connection can be kept. It doesn't wait: an endpoint
// that has said that it won't run a request must not delay it.
func drainBufferedBody(response *upstream.Response) {
	if response.Complete() {
		return
	}
	if response.ContentLength >= 0 && response.ContentLength <= int64(response.Buffered()) {
		_, _ = io.Copy(io.Discard, response)
	}
}
