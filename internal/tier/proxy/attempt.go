package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/upstream"
)

const (
	// maxNotRun bounds the endpoints that may turn a request away before it is refused.
	maxNotRun = 4
	// maxNeverSent bounds the endpoints that can't be reached before a request is refused.
	maxNeverSent = 4
)

var errAttemptTimeout = errors.New("the attempt's time is over")

// attempt is one send of a call.
type attempt struct {
	selection    Selection
	started      time.Time
	context      context.Context
	cancel       context.CancelCauseFunc // nil: there is no time-out
	timer        *time.Timer             // nil: there is none
	outcome      Outcome
	response     *upstream.Response
	eventsBefore int64 // events that the client had before
	done         bool  // the chooser has been told its outcome
}

// sendAttempt sends the request to one endpoint. It returns true when the request is to be sent again.
func (c *clientRequest) sendAttempt() (again bool) {
	choice, err := c.proxy.options.Selector.Select(c.context, &c.info)
	if err != nil {
		c.handleRejection(err)
		return false
	}
	a := &attempt{selection: choice, started: c.proxy.options.Now(), eventsBefore: c.scanner.count}
	a.outcome.Result = IncompleteResponse
	c.applyTimeout(a)
	defer c.finishAttempt(a)
	c.info.Excluded = append(c.info.Excluded, choice.ID)
	a.response, err = c.proxy.pool.Do(a.context, c.upstreamEndpoint(choice), c.attemptRequest(choice))
	if err != nil {
		return c.handleNoResponse(a, err)
	}
	return c.handleResponse(a)
}

// finishAttempt closes what belongs to an attempt and tells the chooser its outcome, once.
func (c *clientRequest) finishAttempt(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	a.stopTimer()
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

// applyTimeout makes an attempt end after its choice's time-out.
func (c *clientRequest) applyTimeout(a *attempt) {
	a.context = c.context
	if a.selection.Timeout <= 0 {
		return
	}
	a.context, a.cancel = context.WithCancelCause(c.context)
	a.timer = time.AfterFunc(a.selection.Timeout, func() { a.cancel(errAttemptTimeout) })
}

func (a *attempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

// stopTimeout ends the attempt's time-out, as its answer begins to go to the client. It returns false where the time-out has
// fired already: then nothing of the answer may go out, as the rest of it won't come.
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

func (c *clientRequest) upstreamEndpoint(choice Selection) upstream.Endpoint {
	return upstream.Endpoint{ID: choice.ID, Address: choice.Address, MaxConnections: choice.MaxConnections, Permit: choice.Permit}
}

// attemptRequest returns the request with the fields of this attempt.
func (c *clientRequest) attemptRequest(choice Selection) *upstream.Request {
	extra := append(c.upstream.AttemptFields[:0],
		upstream.Field{Name: headerExpected, Value: choice.ID},
		upstream.Field{Name: headerPriority, Value: c.priority},
	)
	if last := c.lastEventID(); last != "" {
		extra = append(extra, upstream.Field{Name: headerLastEventID, Value: last})
	}
	c.upstream.AttemptFields = extra
	return &c.upstream
}

// lastEventID returns the id of the last event that the client has, from this answer or from an earlier one.
func (c *clientRequest) lastEventID() string {
	if c.scanner.lastID != "" {
		return c.scanner.lastID
	}
	return first(c.request.Header, headerLastEventID)
}

// handleNoResponse deals with an attempt that brought no answer.
func (c *clientRequest) handleNoResponse(a *attempt, err error) (again bool) {
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Kind == upstream.NeverSent {
		return c.handleNeverSent(a, failure.Reason)
	}
	return c.handleIncomplete(a)
}

// handleNeverSent deals with an attempt of which no byte left.
func (c *clientRequest) handleNeverSent(a *attempt, reason upstream.Reason) (again bool) {
	a.outcome.Result = c.neverSentResult(reason)
	c.neverSentAttempts++
	if reason == upstream.PoolExhausted {
		c.info.RejectedBy = append(c.info.RejectedBy, a.selection.ID)
	}
	if c.context.Err() == nil && c.neverSentAttempts < maxNeverSent {
		return true
	}
	c.abandon()
	return false
}

// neverSentResult returns what an attempt that wasn't sent tells of its endpoint.
func (c *clientRequest) neverSentResult(reason upstream.Reason) Result {
	switch reason {
	case upstream.PoolExhausted:
		return NotRun
	case upstream.PermitRevoked:
		return Cancelled
	case upstream.Cancelled, upstream.ConnectFailed:
		if c.ended() {
			return Cancelled
		}
	}
	return NeverSent
}

// ended tells whether the deadline has passed or the client has gone.
func (c *clientRequest) ended() bool {
	return c.context.Err() != nil || !c.proxy.options.Now().Before(c.info.Deadline)
}

// handleIncomplete deals with an attempt that was sent, and whose answer didn't come or can't be passed on.
func (c *clientRequest) handleIncomplete(a *attempt) (again bool) {
	a.outcome.Result = c.incompleteResult(a)
	c.recordMayHaveRun(a.outcome.Result)
	if c.mayRetry() {
		return true
	}
	c.abandon()
	return false
}

func (c *clientRequest) incompleteResult(a *attempt) Result {
	switch {
	case c.request.Context().Err() != nil:
		return ClientClosed
	case c.context.Err() != nil:
		return DeadlineExceeded
	case errors.Is(context.Cause(a.context), errAttemptTimeout):
		return TimedOut
	}
	return IncompleteResponse
}

// handleRejection ends a call for which there is no endpoint.
func (c *clientRequest) handleRejection(err error) {
	var refusal *Rejection
	if errors.As(err, &refusal) {
		c.retryAfter = refusal.RetryAfter
		if refusal.Kind != apierror.None {
			c.rejection = refusal.Kind
		}
	}
	c.abandon()
}

// abandon ends a call with an answer of the proxy's own, or breaks off the answer that has begun.
func (c *clientRequest) abandon() {
	switch {
	case c.headerWritten:
		abortConnection()
	case !c.mayHaveRun:
		c.writeError(c.rejection, c.retryAfter)
	case c.context.Err() != nil:
		c.writeError(apierror.EndpointTimeout, 0)
	default:
		c.writeError(apierror.MayHaveExecuted, 0)
	}
}

// handleResponse deals with the head of an answer.
func (c *clientRequest) handleResponse(a *attempt) (again bool) {
	header := a.response.Header
	a.outcome.Status = a.response.Status
	a.outcome.Load = first(header, headerLoad)
	a.outcome.RetryAfter = seconds(first(header, headerRetryAfter))
	if provesNotRun(a.response) {
		return c.handleNotRun(a)
	}
	if !c.mayForward(a.response) {
		return c.handleIncomplete(a)
	}
	if a.response.Status >= http.StatusInternalServerError && !c.headerWritten && retryable(c.info.Route) && c.mayHaveRunAttempts+1 < c.info.Route.MaxAttempts {
		return c.retryErrorResponse(a)
	}
	if c.headerWritten && a.response.Status/100 != 2 {
		return c.handleIncomplete(a)
	}
	return c.forwardResponse(a)
}

// provesNotRun tells whether an answer says that the endpoint did not run the request and never will.
func provesNotRun(answer *upstream.Response) bool {
	_, told := answer.Header[headerNotRun]
	return told || answer.Status == http.StatusMisdirectedRequest
}

// mayForward tells whether an answer may go to the client as it is.
func (c *clientRequest) mayForward(answer *upstream.Response) bool {
	if first(answer.Header, headerSeal) == "" || answer.Status == http.StatusSwitchingProtocols {
		return false
	}
	if answer.Status/100 == 2 {
		return first(answer.Header, upstream.AttemptIDHeader) == c.info.AttemptID
	}
	return retryable(c.info.Route) || !impliesNotRun(answer.Status)
}

// impliesNotRun tells whether clients read a status as a promise that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return true
	}
	return false
}

// handleNotRun deals with an endpoint that did not run the request.
func (c *clientRequest) handleNotRun(a *attempt) (again bool) {
	a.outcome.Result = NotRun
	a.outcome.Misdirected = a.response.Status == http.StatusMisdirectedRequest
	c.notRunAttempts++
	if !a.outcome.Misdirected {
		c.info.RejectedBy = append(c.info.RejectedBy, a.selection.ID)
	}
	c.rejection, c.retryAfter = apierror.EndpointRefused, a.outcome.RetryAfter
	if a.response.Status == http.StatusBadRequest && !c.headerWritten {
		return c.forwardResponse(a)
	}
	drainBody(a.response)
	if c.context.Err() == nil && c.notRunAttempts < maxNotRun {
		return true
	}
	c.abandon()
	return false
}

// retryErrorResponse goes on to another endpoint after a failure that came whole.
func (c *clientRequest) retryErrorResponse(a *attempt) bool {
	drainBody(a.response)
	a.outcome.Result = ErrorResponse
	c.recordMayHaveRun(ErrorResponse)
	return true
}

// drainBody reads the rest of an answer that has come already, so that its connection can be kept. It doesn't wait: an endpoint
// that has said that it won't run a request must not hold it up.
func drainBody(answer *upstream.Response) {
	if answer.Complete() {
		return
	}
	if answer.ContentLength >= 0 && answer.ContentLength <= int64(answer.Buffered()) {
		io.Copy(io.Discard, answer)
	}
}
