package overloadtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
)

// Names and sizes of the endpoints. The names are those of localtier.Configuration.
const (
	turnService         = "engines"
	toolService         = "tools"
	endpointConnections = 200
	endpointCapacity    = 64
	tokensPerEvent      = 3
	maxEvents           = 100_000
	fileBytes           = 8 << 20
	endpointZone        = "hall"
	eventPadding        = 200 // bytes of data in each event
)

// endpointVersions is the version of all endpoints.
const endpointVersions = "v1"

// endpoint answers requests without keeping their bodies: packages of other tests record each one, which would take this process's memory.
type endpoint struct{ id, service string }

// startEndpoints starts one endpoint of each service and the platform that lists them.
func startEndpoints(t testing.TB) *standin.Platform {
	t.Helper()
	platform, err := standin.NewPlatform(standin.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	for _, service := range []string{turnService, toolService, filesService} {
		e := &endpoint{id: service + "-1", service: service}
		platform.Put(model.Endpoint{ID: e.id, Service: service, Address: serveHTTP(t, e), Zone: endpointZone,
			Version: endpointVersions, Capacity: endpointCapacity, State: model.Ready})
	}
	return platform
}

// serveHTTP serves HTTP on a free port until the test ends, and returns its address.
func serveHTTP(t testing.TB, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: requestTimeout}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return listener.Addr().String()
}

// ServeHTTP answers one request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Server-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	attempt := r.Header.Get(attemptHeader)
	header.Set(attemptHeader, attempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	header.Set("X-Server-Seal", "seal."+attempt)
	switch e.service {
	case turnService:
		e.stream(w, r)
	case filesService:
		header.Set("Content-Length", strconv.Itoa(fileBytes))
		_, _ = io.Copy(w, io.LimitReader(zeros{}, fileBytes))
	default:
		fmt.Fprintf(w, "%s ran %s\n", e.id, attempt)
	}
}

// stream sends as many events as X-Token-Counts allows.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(most)
	padding := strings.Repeat(".", eventPadding)
	for id := 1; id <= min(max(tokens/tokensPerEvent, 1), maxEvents); id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, padding); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// zeros reads zero bytes without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// pause waits for some time, or until the client is to end.
func pause(done <-chan struct{}, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}
