package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/wait"
)

// EndpointOptions are the options that plain endpoints and model servers share.
type EndpointOptions struct {
	ID             string
	Service        string
	Zone           string
	Version        string                       // of the endpoint's software, as the platform lists it
	Capacity       int                          // concurrent requests, at least 1
	Queue          int                          // requests that may wait for a slot; default 0: none waits
	MaxConnections int                          // further connections are reset; default 0: unlimited
	KeepAlive      time.Duration                // idle timeout of connections, announced in Keep-Alive; default 0: one minute, not announced
	ReportLoad     bool                         // responses carry X-Server-Load
	HealthPath     string                       // default "/health"
	RunLog         *RunLog                      // default: a new one
	Listen         func() (net.Listener, error) // default nil: a free port of 127.0.0.1
	// Fault returns the fault to inject into a request; default nil: none. It must be safe for concurrent use.
	Fault func(request *http.Request) Fault
}

// endpoint is what plain endpoints and model servers share: the listener, the slots, admission and health checks.
type endpoint struct {
	options  EndpointOptions
	slots    slots
	runLog   *RunLog
	server   *http.Server
	listener net.Listener
	served   sync.WaitGroup

	open      atomic.Int64 // connections that are open now
	opened    atomic.Int64 // connections opened so far
	draining  atomic.Bool
	unhealthy atomic.Bool

	gateMutex sync.Mutex
	gate      chan struct{} // admitted requests wait until it is closed; nil: not paused
}

// CapacityError reports an endpoint whose Capacity is not positive.
type CapacityError struct {
	Endpoint string
	Capacity int
}

// Error names the endpoint and the capacity.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("endpoint %q: capacity %d is not positive", e.Endpoint, e.Capacity)
}

// start listens and serves. Its errors are a *CapacityError and those of Listen.
func (e *endpoint) start(options EndpointOptions, handler http.Handler) error {
	if options.HealthPath == "" {
		options.HealthPath = "/health"
	}
	if options.RunLog == nil {
		options.RunLog = NewRunLog()
	}
	if options.Capacity <= 0 {
		return &CapacityError{Endpoint: options.ID, Capacity: options.Capacity}
	}
	listener, err := listenBy(options.Listen)
	if err != nil {
		return err
	}
	e.options, e.runLog, e.listener = options, options.RunLog, listener
	e.slots.capacity, e.slots.queue = options.Capacity, options.Queue
	e.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.countConnections,
	}
	if options.KeepAlive > 0 {
		e.server.IdleTimeout = options.KeepAlive
	}
	e.served.Go(func() { _ = e.server.Serve(listener) })
	return nil
}

// countConnections counts connections, and resets those above MaxConnections.
func (e *endpoint) countConnections(socket net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.opened.Add(1)
		now := e.open.Add(1)
		if e.options.MaxConnections > 0 && now > int64(e.options.MaxConnections) {
			reset(socket)
		}
	case http.StateClosed, http.StateHijacked:
		e.open.Add(-1)
	}
}

// reset closes a connection, with RST if its type supports that.
func reset(socket net.Conn) {
	if connection, ok := socket.(interface{ SetLinger(seconds int) error }); ok {
		_ = connection.SetLinger(0)
	}
	socket.Close()
}

// listenBy calls listen, or listens at a free loopback port if it is nil.
func listenBy(listen func() (net.Listener, error)) (net.Listener, error) {
	if listen != nil {
		return listen()
	}
	return net.Listen("tcp4", "127.0.0.1:0")
}

// Close ends the endpoint at once, as a crash would: requests in flight lose their connections.
func (e *endpoint) Close() {
	e.server.Close()
	e.served.Wait()
}

// Address returns host and port.
func (e *endpoint) Address() string {
	return e.listener.Addr().String()
}

// RunLog returns the log of the requests that ran.
func (e *endpoint) RunLog() *RunLog {
	return e.runLog
}

// Entry returns the endpoint as the platform lists it.
func (e *endpoint) Entry() model.Endpoint {
	entry := model.Endpoint{
		ID:       e.options.ID,
		Service:  e.options.Service,
		Address:  e.Address(),
		Zone:     e.options.Zone,
		Version:  e.options.Version,
		Capacity: e.options.Capacity,
		State:    model.Ready,
	}
	if e.draining.Load() {
		entry.State = model.Draining
	}
	return entry
}

// Drain makes the endpoint drain: it still serves requests, but fails health checks with 503 and closes the connection after each
// response.
func (e *endpoint) Drain() {
	e.draining.Store(true)
}

// SetHealthy sets whether health checks succeed. It has no effect on other requests.
func (e *endpoint) SetHealthy(healthy bool) {
	e.unhealthy.Store(!healthy)
}

// Connections returns the number of connections that are open now and of all opened so far.
func (e *endpoint) Connections() (open, total int64) {
	return e.open.Load(), e.opened.Load()
}

// Pause makes admitted requests wait until resume is called: at a plain endpoint after their run has started, at a model
// server before their first event. A second Pause replaces the first for requests admitted after it.
func (e *endpoint) Pause() (resume func()) {
	gate := make(chan struct{})
	e.gateMutex.Lock()
	e.gate = gate
	e.gateMutex.Unlock()
	return sync.OnceFunc(func() {
		e.gateMutex.Lock()
		defer e.gateMutex.Unlock()
		if e.gate == gate {
			e.gate = nil
		}
		close(gate)
	})
}

// waitResumed waits while the endpoint is paused.
func (e *endpoint) waitResumed(ctx context.Context) error {
	e.gateMutex.Lock()
	gate := e.gate
	e.gateMutex.Unlock()
	if gate == nil {
		return nil
	}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// work waits while the endpoint is paused, and then for duration.
func (e *endpoint) work(ctx context.Context, duration time.Duration) error {
	if err := e.waitResumed(ctx); err != nil {
		return err
	}
	if duration <= 0 {
		return ctx.Err()
	}
	return wait.Sleep(ctx, duration)
}
