package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// setHeaders sets the headers of all responses.
func (e *endpoint) setHeaders(response http.ResponseWriter, request *http.Request) {
	header := response.Header()
	if attempt := request.Header.Get(headerAttempt); attempt != "" {
		header.Set(headerAttempt, attempt)
	}
	if e.options.ReportLoad {
		header.Set(headerLoad, e.slots.load())
	}
	switch {
	case e.draining.Load():
		header.Set("Connection", "close")
	case e.options.KeepAlive > 0:
		header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(e.options.KeepAlive.Seconds())))
	}
}

// seal sets the headers of a response to a request that has run.
func (e *endpoint) seal(response http.ResponseWriter, request *http.Request) {
	e.setHeaders(response, request)
	response.Header().Set(headerSeal, Seal(e.options.ID, request.Header.Get(headerAttempt)))
}

// Seal returns the X-Server-Seal with which an endpoint proves that it ran an attempt.
func Seal(endpoint, attempt string) string {
	return "seal." + endpoint + "." + attempt
}

// startRun records the start of a run and returns its index in the run log.
func (e *endpoint) startRun(request *http.Request, body []byte) int {
	return e.runLog.start(Run{
		Attempt:  request.Header.Get(headerAttempt),
		Endpoint: e.options.ID,
		Method:   request.Method,
		Target:   request.URL.RequestURI(),
		Host:     request.Host,
		Header:   request.Header.Clone(),
		Body:     body,
	})
}

// respondTimeout answers a run whose deadline has passed with 504; if the client has disconnected, it closes the connection.
func (e *endpoint) respondTimeout(response http.ResponseWriter, request *http.Request, cause error) {
	if !errors.Is(cause, context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	e.seal(response, request)
	response.WriteHeader(http.StatusGatewayTimeout)
}
