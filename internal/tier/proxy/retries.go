package proxy

import (
	"context"
	"errors"
	"net/http"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/upstream"
)

const (
	// maxNotRun is the number of endpoints that may decline to run a request before the request is rejected.
	maxNotRun = 4
	// maxNeverSent is the number of endpoints that may be unreachable before a request is rejected.
	maxNeverSent = 4
)

// retryable reports whether a request of the route may run more than once.
func retryable(route *model.Route) bool {
	return route.Kind == model.Retryable || route.Kind == model.Streaming && route.Resumable
}

// recordMayHaveRun counts an attempt that the endpoint may have run.
func (c *clientRequest) recordMayHaveRun(result Result) {
	c.mayHaveRunAttempts++
	c.mayHaveRun = true
	c.info.AttemptsUsed = c.mayHaveRunAttempts
	c.info.MayHaveRun = true
	c.info.AfterTimeout = result == TimedOut
}

// mayRetry reports whether the request may go to another endpoint after an attempt that may have run.
func (c *clientRequest) mayRetry() bool {
	return retryable(c.info.Route) && c.mayHaveRunAttempts < c.info.Route.MaxAttempts && c.context.Err() == nil
}

// shouldRetryStatus reports whether a response with this status is discarded in favour of another attempt. After the last attempt the
// client gets the response.
func (c *clientRequest) shouldRetryStatus(status int) bool {
	return status >= http.StatusInternalServerError && !c.response.started && retryable(c.info.Route) &&
		c.mayHaveRunAttempts+1 < c.info.Route.MaxAttempts
}

// handleNoResponse handles an attempt without a response head.
func (c *clientRequest) handleNoResponse(a *attempt, err error) (retry bool) {
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Kind == upstream.NeverSent {
		return c.handleNeverSent(a, failure.Reason)
	}
	a.noMemory = failure != nil && failure.Reason == upstream.NoMemory
	return c.handleIncomplete(a)
}

// handleNeverSent handles an attempt of which no byte was sent.
func (c *clientRequest) handleNeverSent(a *attempt, reason upstream.Reason) (retry bool) {
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

// neverSentResult returns the result of an attempt of which no byte was sent.
func (c *clientRequest) neverSentResult(reason upstream.Reason) Result {
	switch reason {
	case upstream.PoolExhausted:
		return NotRun
	case upstream.PermitRevoked:
		return Cancelled
	case upstream.Cancelled, upstream.ConnectFailed:
		if c.isCancelled() {
			return Cancelled
		}
	}
	return NeverSent
}

// isCancelled reports whether the deadline has passed or the client has closed its connection.
func (c *clientRequest) isCancelled() bool {
	return c.context.Err() != nil || !c.proxy.options.Now().Before(c.info.Deadline)
}

// handleIncomplete handles an attempt that was sent but has no response that may be forwarded.
func (c *clientRequest) handleIncomplete(a *attempt) (retry bool) {
	a.outcome.Result = c.incompleteResult(a)
	c.recordMayHaveRun(a.outcome.Result)
	if c.mayRetry() {
		return true
	}
	c.abandon()
	return false
}

// incompleteResult returns the result of an attempt that was sent but has no complete response.
func (c *clientRequest) incompleteResult(a *attempt) Result {
	switch {
	case c.request.Context().Err() != nil:
		return ClientClosed
	case c.context.Err() != nil:
		return DeadlineExceeded
	case errors.Is(context.Cause(a.context), errAttemptTimeout):
		return TimedOut
	case a.noMemory:
		return OutOfMemory
	}
	return IncompleteResponse
}

// handleNotRun handles a response that states that the endpoint did not run the request.
func (c *clientRequest) handleNotRun(a *attempt) (retry bool) {
	a.outcome.Result = NotRun
	a.outcome.Misdirected = a.response.Status == http.StatusMisdirectedRequest
	c.notRunAttempts++
	if !a.outcome.Misdirected {
		c.info.RejectedBy = append(c.info.RejectedBy, a.selection.ID)
	}
	c.rejectionKind, c.retryAfter = apierror.EndpointRefused, a.outcome.RetryAfter
	if a.response.Status == http.StatusBadRequest && !c.response.started {
		return c.forwardResponse(a)
	}
	drainBufferedBody(a.response)
	if c.context.Err() == nil && c.notRunAttempts < maxNotRun {
		return true
	}
	c.abandon()
	return false
}

// retryErrorResponse discards a response with an error status before the request is retried.
func (c *clientRequest) retryErrorResponse(a *attempt) (retry bool) {
	drainBufferedBody(a.response)
	a.outcome.Result = ErrorResponse
	c.recordMayHaveRun(ErrorResponse)
	return true
}

// handleRejection ends a request for which the selector returned an error.
func (c *clientRequest) handleRejection(err error) {
	var rejection *RejectionError
	if errors.As(err, &rejection) {
		c.retryAfter = rejection.RetryAfter
		if rejection.Kind != apierror.None {
			c.rejectionKind = rejection.Kind
		}
	}
	c.abandon()
}

// abandon ends a request with the proxy's own error response, or aborts the response that has begun. Kinds that guarantee that the
// request has not run are used only if no endpoint may have run it.
func (c *clientRequest) abandon() {
	switch {
	case c.response.started:
		abortConnection()
	case !c.mayHaveRun:
		c.writeError(c.rejectionKind, c.retryAfter)
	case c.context.Err() != nil:
		c.writeError(apierror.EndpointTimeout, 0)
	default:
		c.writeError(apierror.MayHaveExecuted, 0)
	}
}
