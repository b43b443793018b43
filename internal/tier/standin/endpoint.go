package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/model"
)

// EndpointOptions are those that plain endpoints and model servers share.
type EndpointOptions struct {
	ID             string
	Service        string
	Zone           string
	Version        string // version of its software
	Capacity       int    // requests at the same time
	Queue          int    // requests that wait for a slot
	MaxConnections int    // more are reset; 0: no bound
	KeepAlive      time.Duration
	ReportLoad     bool
	HealthPath     string // "/health" if empty
	RunLog         *RunLog
	Listen         func() (net.Listener, error) // nil: at a loopback address
	// Fault says what goes wrong with a request; nil: nothing. It may be called from several goroutines.
	Fault func(request *http.Request) Fault
}

// endpoint is the part that plain endpoints and model servers share: its socket, its slots and what it refuses.
type endpoint struct {
	options  EndpointOptions
	slots    slots
	runLog   *RunLog
	server   *http.Server
	listener net.Listener
	served   sync.WaitGroup

	open      atomic.Int64 // connections now
	opened    atomic.Int64 // connections ever
	draining  atomic.Bool
	unhealthy atomic.Bool

	gateMutex sync.Mutex
	gate      chan struct{} // runs wait until it closes; nil: they don't
}

func (e *endpoint) start(options EndpointOptions, handler http.Handler) error {
	if options.HealthPath == "" {
		options.HealthPath = "/health"
	}
	if options.RunLog == nil {
		options.RunLog = NewRunLog()
	}
	if options.Capacity <= 0 {
		return fmt.Errorf("endpoint %q has no slots", options.ID)
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

func reset(socket net.Conn) {
	if connection, ok := socket.(interface{ SetLinger(seconds int) error }); ok {
		_ = connection.SetLinger(0)
	}
	socket.Close()
}

// listenBy listens where it is told to, and else at a loopback address.
func listenBy(listen func() (net.Listener, error)) (net.Listener, error) {
	if listen != nil {
		return listen()
	}
	return net.Listen("tcp4", "127.0.0.1:0")
}

// Close ends the endpoint at once, as a crash would: requests at work lose their connections.
func (e *endpoint) Close() {
	e.server.Close()
	e.served.Wait()
}

// Address gives host and port.
func (e *endpoint) Address() string {
	return e.listener.Addr().String()
}

// RunLog gives the record of what ran.
func (e *endpoint) RunLog() *RunLog {
	return e.runLog
}

// Entry gives the endpoint as the platform lists it.
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

// Drain makes the endpoint leave: it goes on serving, its health answers are 503 and its answers close their connections.
func (e *endpoint) Drain() {
	e.draining.Store(true)
}

// SetHealthy says what its health answers are.
func (e *endpoint) SetHealthy(healthy bool) {
	e.unhealthy.Store(!healthy)
}

// Connections gives the connections that are open and all that ever were.
func (e *endpoint) Connections() (open, ever int64) {
	return e.open.Load(), e.opened.Load()
}

// Pause makes admitted requests wait until release is called: a plain endpoint's once they run, a model server's before
// their first event.
func (e *endpoint) Pause() (release func()) {
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

// waitResumed waits at the gate.
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

// work waits at the gate and then for the time given.
func (e *endpoint) work(ctx context.Context, duration time.Duration) error {
	if err := e.waitResumed(ctx); err != nil {
		return err
	}
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deadline bounds a request by the time that its client will wait.
func deadline(request *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(request.Header.Get(headerTimeLeft), 10, 64)
	if err != nil || left < 0 {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(left)*time.Millisecond)
}

// admission is a request that has a slot.
type admission struct {
	ctx     context.Context
	attempt string
	body    []byte
	fault   Fault
	release func()
}

// admit checks a request and finds it a slot, or answers it. A request that is admitted has to leave.
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
	fault := e.fault(request)
	if fault == RejectFull {
		e.reject(response, request, http.StatusServiceUnavailable)
		return admission{}, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, maxBodyBytes))
	if err != nil || fault == DropRequest {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := deadline(request)
	if err := e.slots.acquire(ctx, priority(request)); err != nil {
		cancel()
		e.reject(response, request, http.StatusServiceUnavailable)
		return admission{}, false
	}
	leave := func() {
		cancel()
		e.slots.release()
	}
	return admission{ctx: ctx, attempt: attempt, body: body, fault: fault, release: leave}, true
}

func (e *endpoint) fault(request *http.Request) Fault {
	if e.options.Fault == nil {
		return NoFault
	}
	return e.options.Fault(request)
}

func priority(request *http.Request) int {
	told, err := strconv.Atoi(request.Header.Get(headerPriority))
	if err != nil || told < 0 || told > lowestPriority {
		return defaultPriority
	}
	return told
}

// reject answers a request that hasn't run and never will here.
func (e *endpoint) reject(response http.ResponseWriter, request *http.Request, status int) {
	e.runLog.reject(request.Header.Get(headerAttempt))
	e.setHeaders(response, request)
	response.Header().Set(headerNotRun, "1")
	response.WriteHeader(status)
}

// setHeaders sets what all answers carry.
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

// seal stamps an answer of a request that has run.
func (e *endpoint) seal(response http.ResponseWriter, request *http.Request) {
	e.setHeaders(response, request)
	response.Header().Set(headerSeal, Seal(e.options.ID, request.Header.Get(headerAttempt)))
}

// Seal gives the stamp that an endpoint puts on its answer.
func Seal(endpoint, attempt string) string {
	return "seal." + endpoint + "." + attempt
}

// run notes the beginning of a run and gives its place in the ledger.
func (e *endpoint) run(request *http.Request, body []byte) int {
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

// health answers a health check once it has a slot.
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

// respondEnded answers a run that reached its deadline; a client that went gets nothing.
func (e *endpoint) respondEnded(response http.ResponseWriter, request *http.Request, cause error) {
	if !errors.Is(cause, context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	e.seal(response, request)
	response.WriteHeader(http.StatusGatewayTimeout)
}
