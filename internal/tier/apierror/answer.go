package apierror

import (
	"net/http"
	"strconv"
	"time"
)

// Answer is what a caller gets for a kind of error.
type Answer struct {
	Status     int  // 0: nothing can be answered any more
	NeverRan   bool // the request has not run and never will; the order takes no effect through this call
	RetryAfter bool // the answer tells when to come back
	Close      bool // the connection ends after it
}

// The answers. A status that clients take for a promise stands only beside NeverRan.
var answers = [kindCount]Answer{
	None:                 {Status: http.StatusOK},
	BadRequest:           {Status: http.StatusBadRequest, NeverRan: true, Close: true},
	RequestTimeout:       {Status: http.StatusRequestTimeout, NeverRan: true, Close: true},
	HeadersTooLarge:      {Status: http.StatusRequestHeaderFieldsTooLarge, NeverRan: true, Close: true},
	BodyTooLarge:         {Status: http.StatusRequestEntityTooLarge, NeverRan: true, Close: true},
	NoRoute:              {Status: http.StatusNotFound, NeverRan: true},
	NotReady:             {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true},
	NoEndpoint:           {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true},
	Overloaded:           {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true},
	TimeTooShort:         {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true},
	ShuttingDown:         {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true, Close: true},
	BudgetSpent:          {Status: http.StatusPaymentRequired, NeverRan: true},
	NoSuchTurn:           {Status: http.StatusNotFound, NeverRan: true},
	StateUnavailable:     {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true},
	EndpointRefused:      {Status: http.StatusServiceUnavailable, NeverRan: true, RetryAfter: true},
	MayHaveRun:           {Status: http.StatusBadGateway},
	EndpointTimeout:      {Status: http.StatusGatewayTimeout},
	AnswerCutOff:         {Close: true},
	InvalidConfiguration: {Status: http.StatusBadRequest, NeverRan: true},
	VersionConflict:      {Status: http.StatusPreconditionFailed, NeverRan: true},
	NotOwner:             {Status: http.StatusTemporaryRedirect, NeverRan: true},
	Unconfirmed:          {Status: http.StatusGatewayTimeout},
	TooFewStores:         {Status: http.StatusConflict, NeverRan: true},
	UnknownNode:          {Status: http.StatusNotFound, NeverRan: true},
	UnknownService:       {Status: http.StatusNotFound, NeverRan: true},
	OrderUnderWay:        {Status: http.StatusConflict, NeverRan: true},
	Internal:             {Status: http.StatusInternalServerError, Close: true},
}

// Answer is the kind's line of the table; a kind that isn't on the list is answered as Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// AnswerOf is the answer to an error.
func AnswerOf(err error) Answer {
	return KindOf(err).Answer()
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
