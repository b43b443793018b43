package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// deadline bounds a request by its client's X-Time-Left-Ms.
func deadline(request *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(request.Header.Get(headerTimeLeft), 10, 64)
	if err != nil || left < 0 {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(left)*time.Millisecond)
}

// admission is a request that holds a slot.
type admission struct {
	ctx     context.Context
	attempt string
	body    []byte
	fault   Fault
	release func() // must be called once the request has been answered
}

// admit checks a request and acquires a slot for it; false means that it has answered the request instead.
func (e *endpoint) admit(response http.ResponseWriter, request *http.Request) (admission, bool) {
	attempt := request.Header.Get(headerAttempt)
	if attempt == "" {
		e.reject(response, request, http.StatusBadRequest)
		return admission{}, false
	}
	if expected := request.Header.Get(headerExpected); expected != "" && expected != e.options.ID {
		response.Header().Set(headerServer, e.options.ID)
		e.reject(response, request, http.StatusMisdirectedRequest)
		return admission{}, false
	}
	fault := e.faultOf(request)
	if fault == RejectFull {
		e.reject(response, request, http.StatusServiceUnavailable)
		return admission{}, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, maxBodyBytes))
	if err != nil || fault == DropRequest {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := deadline(request)
	if err = e.slots.acquire(ctx, priority(request)); err != nil {
		cancel()
		e.reject(response, request, http.StatusServiceUnavailable)
		return admission{}, false
	}
	release := func() {
		cancel()
		e.slots.release()
	}
	return admission{ctx: ctx, attempt: attempt, body: body, fault: fault, release: release}, true
}

// faultOf returns the fault to inject into a request.
func (e *endpoint) faultOf(request *http.Request) Fault {
	if e.options.Fault == nil {
		return NoFault
	}
	return e.options.Fault(request)
}

// priority returns a request's Priority header, where 0 is the most urgent; defaultPriority if it is missing or invalid.
func priority(request *http.Request) int {
	value, err := strconv.Atoi(request.Header.Get(headerPriority))
	if err != nil || value < 0 || value > lowestPriority {
		return defaultPriority
	}
	return value
}

// reject answers a request that has not run and never will run at this endpoint.
func (e *endpoint) reject(response http.ResponseWriter, request *http.Request, status int) {
	e.runLog.reject(request.Header.Get(headerAttempt))
	e.setHeaders(response, request)
	response.Header().Set(headerNotRun, "1")
	response.WriteHeader(status)
}

// health answers a health check, which takes a slot like any other request.
func (e *endpoint) health(response http.ResponseWriter, request *http.Request) {
	ctx, cancel := deadline(request)
	defer cancel()
	if err := e.slots.acquire(ctx, priority(request)); err != nil {
		e.reject(response, request, http.StatusServiceUnavailable)
		return
	}
	defer e.slots.release()
	e.setHeaders(response, request)
	response.Header().Set(headerServer, e.options.ID)
	if e.draining.Load() || e.unhealthy.Load() {
		response.WriteHeader(http.StatusServiceUnavailable)
	}
}
