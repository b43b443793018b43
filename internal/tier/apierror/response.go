package apierror

import (
	"net/http"
	"strconv"
	"time"
)

// Response is how a kind of error is answered over HTTP.
type Response struct {
	Status      int  // 0: the response has already begun, no status can be sent
	NotExecuted bool // the request was not and will not be executed; an order takes no effect through this call
	RetryAfter  bool // a Retry-After header is sent
	Close       bool // the connection is closed after it
}

// responses is the table. A status from which clients conclude that the request was not executed must have NotExecuted.
var responses = [kindCount]Response{
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
	StorageFull:          {Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAfter: true},
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

// Response returns the kind's row of the table; that of Internal for a kind that isn't on the list.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// ResponseOf returns the response to an error, by its KindOf.
func ResponseOf(err error) Response {
	return KindOf(err).Response()
}

// FormatRetryAfter formats a wait as the value of a Retry-After header: seconds, rounded up to a thousandth. A negative wait is 0. The
// fraction goes beyond RFC 9110 section 10.2.3, which has whole seconds.
func FormatRetryAfter(wait time.Duration) string {
	const digits = 3
	rounded := (max(wait, 0) + time.Millisecond - 1).Truncate(time.Millisecond)
	return trimFraction(strconv.FormatFloat(rounded.Seconds(), 'f', digits, 64))
}

// trimFraction removes the trailing zeros of a fraction.
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
