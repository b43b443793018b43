package apierror

import (
	"net/http"
	"strconv"
	"time"
)

// Response is the HTTP response to a kind of error.
type Response struct {
	Status      int  // 0: the response has already begun, so that no status can be sent
	NotExecuted bool // the request was not and will not be executed; an order takes no effect through this call
	RetryAfter  bool // the response has a Retry-After header
	Close       bool // the connection is closed after the response
}

// responses is the table of responses. A status that tells clients that the request was not executed must have NotExecuted.
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

// Response returns the response to the kind; an unknown kind has that of Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// ResponseOf returns the response to an error, according to KindOf.
func ResponseOf(err error) Response {
	return KindOf(err).Response()
}

// FormatRetryAfter formats a duration as the value of a Retry-After header: in seconds, rounded up to milliseconds. A negative duration
// is formatted as 0. The fraction goes beyond RFC 9110 section 10.2.3, which allows whole seconds only.
func FormatRetryAfter(wait time.Duration) string {
	const digits = 3
	rounded := (max(wait, 0) + time.Millisecond - 1).Truncate(time.Millisecond)
	return trimFraction(strconv.FormatFloat(rounded.Seconds(), 'f', digits, 64))
}

// trimFraction removes trailing zeros of a fraction.
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
