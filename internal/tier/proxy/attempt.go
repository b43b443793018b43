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
	// mostNotRun bounds the endpoints that may turn a request away before it is refused.
	mostNotRun = 4
	// mostUnsent bounds the endpoints that can't be reached before a request is refused.
	mostUnsent = 4
)

var errAttemptTimeout = errors.New("the attempt's time is over")

// attempt is one send of a call.
type attempt struct {
	choice  Selection
	started time.Time
	context context.Context
	cancel  context.CancelCauseFunc // nil: there is no time-out
	timer   *time.Timer             // nil: there is none
	outcome Outcome
	answer  *upstream.Response
	before  int64 // events that the client had before
	closed  bool  // the chooser has been told its outcome
}

// attempt sends the request to one endpoint. It returns true when the request is to be sent again.
func (c *call) attempt() (again bool) {
	choice, err := c.proxy.options.Selector.Select(c.context, &c.facts)
	if err != nil {
		c.refused(err)
		return false
	}
	a := &attempt{choice: choice, started: c.proxy.options.Now(), before: c.scanner.count}
	a.outcome.Result = IncompleteResponse
	c.bound(a)
	defer c.done(a)
	c.facts.Excluded = append(c.facts.Excluded, choice.ID)
	a.answer, err = c.proxy.pool.Do(a.context, c.endpoint(choice), c.attemptRequest(choice))
	if err != nil {
		return c.unanswered(a, err)
	}
	return c.answered(a)
}

// done closes what belongs to an attempt and tells the chooser its outcome, once.
func (c *call) done(a *attempt) {
	if a.closed {
		return
	}
	a.closed = true
	a.stopTimer()
	if a.answer != nil {
		a.answer.Close()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	a.outcome.Took = c.proxy.options.Now().Sub(a.started)
	a.outcome.Events = c.scanner.count - a.before
	a.outcome.Tokens = a.outcome.Events * tokensPerEvent(c.facts.Service)
	c.proxy.options.Selector.Done(a.choice, a.outcome)
}

// bound makes an attempt end after its choice's time-out.
func (c *call) bound(a *attempt) {
	a.context = c.context
	if a.choice.Timeout <= 0 {
		return
	}
	a.context, a.cancel = context.WithCancelCause(c.context)
	a.timer = time.AfterFunc(a.choice.Timeout, func() { a.cancel(errAttemptTimeout) })
}

func (a *attempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

// inTime ends the attempt's time-out, as its answer begins to go to the client. It returns false where the time-out has
// fired already: then nothing of the answer may go out, as the rest of it won't come.
func (a *attempt) inTime() bool {
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

func (c *call) endpoint(choice Selection) upstream.Endpoint {
	return upstream.Endpoint{ID: choice.ID, Address: choice.Address, MaxConnections: choice.MaxConnections, Permit: choice.Permit}
}

// attemptRequest returns the request with the fields of this attempt.
func (c *call) attemptRequest(choice Selection) *upstream.Request {
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
func (c *call) lastEventID() string {
	if c.scanner.lastID != "" {
		return c.scanner.lastID
	}
	return first(c.request.Header, headerLastEventID)
}

// unanswered deals with an attempt that brought no answer.
func (c *call) unanswered(a *attempt, err error) (again bool) {
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Kind == upstream.NeverSent {
		return c.neverSent(a, failure.Reason)
	}
	return c.broken(a)
}

// neverSent deals with an attempt of which no byte left.
func (c *call) neverSent(a *attempt, reason upstream.Reason) (again bool) {
	a.outcome.Result = c.unsentResult(reason)
	c.unsent++
	if reason == upstream.PoolExhausted {
		c.facts.RejectedBy = append(c.facts.RejectedBy, a.choice.ID)
	}
	if c.context.Err() == nil && c.unsent < mostUnsent {
		return true
	}
	c.giveUp()
	return false
}

// unsentResult returns what an attempt that wasn't sent tells of its endpoint.
func (c *call) unsentResult(reason upstream.Reason) Result {
	switch reason {
	case upstream.PoolExhausted:
		return NotRun
	case upstream.PermitRevoked:
		return Cancelled
	case upstream.Cancelled, upstream.ConnectFailed:
		if c.isOver() {
			return Cancelled
		}
	}
	return NeverSent
}

// isOver tells whether the deadline has passed or the client has gone.
func (c *call) isOver() bool {
	return c.context.Err() != nil || !c.proxy.options.Now().Before(c.facts.Deadline)
}

// broken deals with an attempt that was sent, and whose answer didn't come or can't be passed on.
func (c *call) broken(a *attempt) (again bool) {
	a.outcome.Result = c.brokenResult(a)
	c.ran(a.outcome.Result)
	if c.mayTryAgain() {
		return true
	}
	c.giveUp()
	return false
}

func (c *call) brokenResult(a *attempt) Result {
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

// refused ends a call for which there is no endpoint.
func (c *call) refused(err error) {
	var refusal *Rejection
	if errors.As(err, &refusal) {
		c.retryIn = refusal.RetryAfter
		if refusal.Kind != apierror.None {
			c.refusal = refusal.Kind
		}
	}
	c.giveUp()
}

// giveUp ends a call with an answer of the proxy's own, or breaks off the answer that has begun.
func (c *call) giveUp() {
	switch {
	case c.committed:
		abort()
	case !c.mayHaveRun:
		c.fail(c.refusal, c.retryIn)
	case c.context.Err() != nil:
		c.fail(apierror.EndpointTimeout, 0)
	default:
		c.fail(apierror.MayHaveExecuted, 0)
	}
}

// answered deals with the head of an answer.
func (c *call) answered(a *attempt) (again bool) {
	header := a.answer.Header
	a.outcome.Status = a.answer.Status
	a.outcome.Load = first(header, headerLoad)
	a.outcome.RetryAfter = seconds(first(header, headerRetryAfter))
	if promisesNotRun(a.answer) {
		return c.turnedAway(a)
	}
	if !c.presentable(a.answer) {
		return c.broken(a)
	}
	if a.answer.Status >= http.StatusInternalServerError && !c.committed && repeatable(c.facts.Route) && c.runs+1 < c.facts.Route.MaxAttempts {
		return c.repeatFailed(a)
	}
	if c.committed && a.answer.Status/100 != 2 {
		return c.broken(a)
	}
	return c.deliver(a)
}

// promisesNotRun tells whether an answer says that the endpoint did not run the request and never will.
func promisesNotRun(answer *upstream.Response) bool {
	_, told := answer.Header[headerNotRun]
	return told || answer.Status == http.StatusMisdirectedRequest
}

// presentable tells whether an answer may go to the client as it is.
func (c *call) presentable(answer *upstream.Response) bool {
	if first(answer.Header, headerSeal) == "" || answer.Status == http.StatusSwitchingProtocols {
		return false
	}
	if answer.Status/100 == 2 {
		return first(answer.Header, upstream.AttemptIDHeader) == c.facts.AttemptID
	}
	return repeatable(c.facts.Route) || !clientPromise(answer.Status)
}

// clientPromise tells whether clients read a status as a promise that the request has not run.
func clientPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return true
	}
	return false
}

// turnedAway deals with an endpoint that did not run the request.
func (c *call) turnedAway(a *attempt) (again bool) {
	a.outcome.Result = NotRun
	a.outcome.Misdirected = a.answer.Status == http.StatusMisdirectedRequest
	c.notRun++
	if !a.outcome.Misdirected {
		c.facts.RejectedBy = append(c.facts.RejectedBy, a.choice.ID)
	}
	c.refusal, c.retryIn = apierror.EndpointRefused, a.outcome.RetryAfter
	if a.answer.Status == http.StatusBadRequest && !c.committed {
		return c.deliver(a)
	}
	drain(a.answer)
	if c.context.Err() == nil && c.notRun < mostNotRun {
		return true
	}
	c.giveUp()
	return false
}

// repeatFailed goes on to another endpoint after a failure that came whole.
func (c *call) repeatFailed(a *attempt) bool {
	drain(a.answer)
	a.outcome.Result = ErrorResponse
	c.ran(ErrorResponse)
	return true
}

// drain reads the rest of an answer that has come already, so that its connection can be kept. It doesn't wait: an endpoint
// that has said that it won't run a request must not hold it up.
func drain(answer *upstream.Response) {
	if answer.Complete() {
		return
	}
	if answer.ContentLength >= 0 && answer.ContentLength <= int64(answer.Buffered()) {
		io.Copy(io.Discard, answer)
	}
}
