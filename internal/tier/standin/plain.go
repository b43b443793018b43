package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// PlainOptions describes a plain endpoint.
type PlainOptions struct {
	EndpointOptions
	ServiceTime   time.Duration // that a request takes
	ResponseBytes int           // size of an answer; a short one if 0
}

// Plain is an endpoint that answers each request with one body.
type Plain struct {
	endpoint
	plain PlainOptions
}

// NewPlain starts one.
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
	place := p.run(request, admitted.body)
	if err := p.work(admitted.ctx, p.plain.ServiceTime); err != nil {
		p.respondEnded(response, request, err)
		return
	}
	p.answer(response, request, admitted, place)
}

func (p *Plain) answer(response http.ResponseWriter, request *http.Request, admitted admission, place int) {
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
		p.runLog.progress(place, 0, true)
	}
}

// PlainBody gives the body of an answer.
func PlainBody(endpoint, attempt string, size int) string {
	text := fmt.Sprintf("%s ran %s\n", endpoint, attempt)
	if size <= len(text) {
		return text
	}
	return text + strings.Repeat(".", size-len(text))
}
