package apierror

import (
	"net/http"
	"strconv"
	"time"
)

// Response is what a caller gets for a kind of error.
type Response struct {
	Status      int  // 0: nothing can be answered any more
	NotExecuted bool // the request has not run and never will; the order takes no effect through this call
	RetryAfter  bool // the answer tells when to come back
	Close       bool // the connection ends after it
}

// The answers. A status that clients take for a promise stands only beside NotExecuted.
var answers = [kindCount]Response{
	None:                 {Status: http.StatusOK},
	BadRequest:           {Status: http.StatusBadRequest, NotExecuted: true, Close: true},
	RequestTimeout:       {Status: http.StatusRequestTimeout, NotExecuted: true, Close: true},
	HeadersTooLarge:      {Status: http.StatusRequestHeaderFieldsTooLarge, NotExecuted: true, Close: true},
	BodyTooLarge:         {Status: http.StatusRequestEntityTooLarge, NotExecuted: true, Close: true},
	NoRoute:              {Status: http.StatusNotFound, NotExecuted: true},
	NotReady:             {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
	NoEndpoint:           {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
	Overloaded:           {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
	DeadlineTooShort:     {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
	ShuttingDown:         {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true, Close: true},
	BudgetExhausted:      {Status: http.StatusPaymentRequired, NotExecuted: true},
	TurnNotFound:         {Status: http.StatusNotFound, NotExecuted: true},
	StateUnavailable:     {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
	EndpointRefused:      {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
	MayHaveExecuted:      {Status: http.StatusBadGateway},
	EndpointTimeout:      {Status: http.StatusGatewayTimeout},
	ResponseTruncated:    {Close: true},
	InvalidConfiguration: {Status: http.StatusBadRequest, NotExecuted: true},
	VersionConflict:      {Status: http.StatusPreconditionFailed, NotExecuted: true},
	NotLeader:            {Status: http.StatusTemporaryRedirect, NotExecuted: true},
	Unconfirmed:          {Status: http.StatusGatewayTimeout},
	TooFewStores:         {Status: http.StatusConflict, NotExecuted: true},
	UnknownNode:          {Status: http.StatusNotFound, NotExecuted: true},
	UnknownService:       {Status: http.StatusNotFound, NotExecuted: true},
	OperationInProgress:  {Status: http.StatusConflict, NotExecuted: true},
	Internal:             {Status: http.StatusInternalServerError, Close: true},
}

// Response is the kind's line of the table; a kind that isn't on the list is answered as Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// ResponseOf is the answer to an error.
func ResponseOf(err error) Response {
	return KindOf(err).Response()
}

// FormatRetryAfter writes a wait as the value of a Retry-After header: seconds, rounded up to a thousandth.
func FormatRetryAfter(wait time.Duration) string {
	const digits = 3
	rounded := (max(wait, 0) + time.Millisecond - 1).Truncate(time.Millisecond)
	return trimFraction(strconv.FormatFloat(rounded.Seconds(), 'f', digits, 64))
}

// trimFraction drops the zeros at the end of a fraction.
func trimFraction(text string) string {
	end := len(text)
	for text[end-1] == '0' {
		end--
	}
	if text[end-1] == '.' {
		end--
	}
	return text[:end]
}
