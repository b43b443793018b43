package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// PlainOptions are the options of a plain endpoint.
type PlainOptions struct {
	EndpointOptions
	ServiceTime   time.Duration // of each request; default 0: none
	ResponseBytes int           // size of a response body; default 0: the shortest, one line of text
}

// Plain is an endpoint that answers each request with one text body.
type Plain struct {
	endpoint
	plain PlainOptions
}

// NewPlain starts a plain endpoint, which runs until Close. Its errors are a *CapacityError and those of Listen.
func NewPlain(options PlainOptions) (*Plain, error) {
	started := &Plain{plain: options}
	if err := started.start(options.EndpointOptions, started); err != nil {
		return nil, err
	}
	return started, nil
}

// ServeHTTP answers one request.
func (p *Plain) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == p.options.HealthPath {
		p.health(response, request)
		return
	}
	admitted, ok := p.admit(response, request)
	if !ok {
		return
	}
	defer admitted.release()
	index := p.startRun(request, admitted.body)
	if err := p.work(admitted.ctx, p.plain.ServiceTime); err != nil {
		p.respondTimeout(response, request, err)
		return
	}
	p.respond(response, request, admitted, index)
}

// respond answers a request that has run, or simulates its fault.
func (p *Plain) respond(response http.ResponseWriter, request *http.Request, admitted admission, index int) {
	body := PlainBody(p.options.ID, admitted.attempt, p.plain.ResponseBytes)
	switch admitted.fault {
	case LoseResponse:
		panic(http.ErrAbortHandler)
	case FailResponse:
		p.seal(response, request)
		http.Error(response, "failed", http.StatusInternalServerError)
		return
	}
	p.seal(response, request)
	response.Header().Set("Content-Type", "text/plain")
	response.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if admitted.fault == TruncateResponse {
		_, _ = response.Write([]byte(body[:len(body)/2]))
		_ = http.NewResponseController(response).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, err := response.Write([]byte(body)); err == nil {
		p.runLog.progress(index, 0, true)
	}
}

// PlainBody returns the response body of an attempt: a line that names endpoint and attempt, padded with dots to size bytes.
func PlainBody(endpoint, attempt string, size int) string {
	text := fmt.Sprintf("%s ran %s\n", endpoint, attempt)
	if size <= len(text) {
		return text
	}
	return text + strings.Repeat(".", size-len(text))
}
