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
	// maxNotRun bounds the endpoints that may answer that they won't run a request before it is rejected.
	maxNotRun = 4
	// maxNeverSent bounds the endpoints that can't be reached before a request is rejected.
	maxNeverSent = 4
)

// retryable reports whether a request of the route may run more than once.
func retryable(route *model.Route) bool {
	return route.Kind == model.Retryable || route.Kind == model.Streaming && route.Resumable
}

// recordMayHaveRun counts a send of which nothing promises that the endpoint did not run it.
func (c *clientRequest) recordMayHaveRun(result Result) {
	c.mayHaveRunAttempts++
	c.mayHaveRun = true
	c.info.AttemptsUsed = c.mayHaveRunAttempts
	c.info.MayHaveRun = true
	c.info.AfterTimeout = result == TimedOut
}

// mayRetry reports whether the request may go to another endpoint after a send that may have run.
func (c *clientRequest) mayRetry() bool {
	return retryable(c.info.Route) && c.mayHaveRunAttempts < c.info.Route.MaxAttempts && c.context.Err() == nil
}

// shouldRetryStatus reports whether a response that came with a status is withheld from the client for another attempt. Where
// this one is the last, the client gets the response.
func (c *clientRequest) shouldRetryStatus(status int) bool {
	return status >= http.StatusInternalServerError && !c.headerWritten && retryable(c.info.Route) &&
		c.mayHaveRunAttempts+1 < c.info.Route.MaxAttempts
}

// handleNoResponse deals with an attempt whose response's head didn't come.
func (c *clientRequest) handleNoResponse(a *attempt, err error) (retry bool) {
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Kind == upstream.NeverSent {
		return c.handleNeverSent(a, failure.Reason)
	}
	return c.handleIncomplete(a)
}

// handleNeverSent deals with an attempt of which no byte was sent.
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

// neverSentResult returns what an attempt that wasn't sent says of its endpoint.
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

// handleIncomplete deals with an attempt that was sent, and whose response didn't come or can't be forwarded.
func (c *clientRequest) handleIncomplete(a *attempt) (retry bool) {
	a.outcome.Result = c.incompleteResult(a)
	c.recordMayHaveRun(a.outcome.Result)
	if c.mayRetry() {
		return true
	}
	c.abandon()
	return false
}

// incompleteResult returns why an attempt that was sent brought no complete response.
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

// handleNotRun deals with an endpoint that did not run the request.
func (c *clientRequest) handleNotRun(a *attempt) (retry bool) {
	a.outcome.Result = NotRun
	a.outcome.Misdirected = a.response.Status == http.StatusMisdirectedRequest
	c.notRunAttempts++
	if !a.outcome.Misdirected {
		c.info.RejectedBy = append(c.info.RejectedBy, a.selection.ID)
	}
	c.rejectionKind, c.retryAfter = apierror.EndpointRefused, a.outcome.RetryAfter
	if a.response.Status == http.StatusBadRequest && !c.headerWritten {
		return c.forwardResponse(a)
	}
	drainBufferedBody(a.response)
	if c.context.Err() == nil && c.notRunAttempts < maxNotRun {
		return true
	}
	c.abandon()
	return false
}

// retryErrorResponse goes on to another endpoint after a complete response with a failure.
func (c *clientRequest) retryErrorResponse(a *attempt) (retry bool) {
	drainBufferedBody(a.response)
	a.outcome.Result = ErrorResponse
	c.recordMayHaveRun(ErrorResponse)
	return true
}

// handleRejection ends a request for which the selector has no endpoint.
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

// abandon ends a request with an error response of the proxy's own, or breaks off the response that has begun. The kinds that
// promise that the request has not run are given only where that is so.
func (c *clientRequest) abandon() {
	switch {
	case c.headerWritten:
		abortConnection()
	case !c.mayHaveRun:
		c.writeError(c.rejectionKind, c.retryAfter)
	case c.context.Err() != nil:
		c.writeError(apierror.EndpointTimeout, 0)
	default:
		c.writeError(apierror.MayHaveExecuted, 0)
	}
}
