package proxy

import (
	"context"
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/network"
)

const (
	// netHTTPHeaderSlop is what net/http adds to MaxHeaderBytes.
	netHTTPHeaderSlop = 4 << 10
	// acceptBackoff is the pause after a transient error of Accept.
	acceptBackoff = 10 * time.Millisecond
	// defaultWriteTimeout bounds the writing of a response without a deadline of its own.
	defaultWriteTimeout = 10 * time.Second
	// connectionWait is how long a new connection waits for memory before it is closed, and maxWaitingConnections how many may wait.
	connectionWait        = 2 * time.Second
	maxWaitingConnections = 64
	// finalResponsesTimeout bounds the sending of error responses to the requests that a shutdown abandons.
	finalResponsesTimeout = 150 * time.Millisecond
)

// clientLimits bounds what clients may send and how long they may take.
type clientLimits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// defaultLimits apply until a configuration is known.
var defaultLimits = clientLimits{headerBytes: 16 << 10, headerTimeout: 3 * time.Second, idleTimeout: 15 * time.Second}

// limitsFrom returns the limits of a configuration, with the defaults for those that it does not set.
func limitsFrom(configured model.Limits) clientLimits {
	l := defaultLimits
	if configured.MaxHeaderBytes > 0 {
		l.headerBytes = configured.MaxHeaderBytes
	}
	if configured.HeaderTimeoutMs > 0 {
		l.headerTimeout = time.Duration(configured.HeaderTimeoutMs) * time.Millisecond
	}
	if configured.IdleTimeoutMs > 0 {
		l.idleTimeout = time.Duration(configured.IdleTimeoutMs) * time.Millisecond
	}
	return l
}

// frontend accepts connections of clients. net/http reads the limits of a server without a lock, so each set of limits has a server of
// its own; a connection stays with the server that accepted it.
type frontend struct {
	listener       net.Listener
	handler        http.Handler
	currentLimits  func() clientLimits
	maxConnections int
	memory         *memorybudget.Budget
	errorLog       *log.Logger
	baseContext    context.Context    // parent of each request's context
	cancelRequests context.CancelFunc // cancels baseContext: each request gets an error response, or its response is aborted
	serving        sync.WaitGroup     // goroutines of the generations, and of connections that wait for memory
	waiting        atomic.Int64       // connections that wait for memory

	mutex     sync.Mutex // guards the fields below, and the generations' counts
	current   *serverGeneration
	retired   []*serverGeneration // earlier generations that may have connections left
	clients   map[*clientConn]struct{}
	closed    bool
	allClosed chan struct{} // closed once closed is set and no connection is left
}

// serverGeneration is a server for one set of limits. Its goroutine accepts connections from listener until the next generation or a
// shutdown closes the listener; the shutdown waits for the goroutine.
type serverGeneration struct {
	limits      clientLimits
	server      *http.Server
	listener    *connListener
	connections int
}

// newFrontend returns a frontend that accepts no connections until serve is called. currentLimits returns the limits of a new
// connection.
func newFrontend(listener net.Listener, handler http.Handler, currentLimits func() clientLimits, options Options) *frontend {
	f := &frontend{
		listener:       listener,
		handler:        handler,
		currentLimits:  currentLimits,
		maxConnections: options.MaxClientConnections,
		memory:         options.Memory,
		errorLog:       log.New(io.Discard, "", 0),
		clients:        make(map[*clientConn]struct{}),
		allClosed:      make(chan struct{}),
	}
	f.baseContext, f.cancelRequests = context.WithCancel(context.Background())
	if options.Logger != nil {
		f.errorLog = log.New(kitlog.NewStdlibAdapter(level.Error(options.Logger)), "", 0)
	}
	return f
}

// serve accepts connections until the listener is closed.
func (f *frontend) serve() error {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			if isTransientAcceptError(err) {
				time.Sleep(acceptBackoff)
				continue
			}
			return err
		}
		f.accept(connection.(network.TCPConn))
	}
}

// accept reserves memory for a new connection and passes it to a server. If there is none, the connection waits in a goroutine of its own,
// for a short time, for one that gives its memory back.
func (f *frontend) accept(connection network.TCPConn) {
	client := &clientConn{TCPConn: connection, idle: true}
	var err error
	if client.lease, err = f.memory.TryReserve(memorybudget.Connections, connectionBytes); err == nil {
		f.assign(client)
		return
	}
	if f.waiting.Add(1) > maxWaitingConnections {
		f.waiting.Add(-1)
		connection.Close()
		return
	}
	f.goUnlessClosed(func() {
		defer f.waiting.Add(-1)
		ctx, cancel := context.WithTimeout(f.baseContext, connectionWait)
		defer cancel()
		if client.lease, err = f.memory.Reserve(ctx, memorybudget.Connections, connectionBytes); err != nil {
			connection.Close()
			return
		}
		f.assign(client)
	})
}

// goUnlessClosed runs work in a goroutine that shutdown waits for. Once the frontend is closed it runs at once: it ends with baseContext.
func (f *frontend) goUnlessClosed(work func()) {
	f.mutex.Lock()
	closed := f.closed
	if !closed {
		f.serving.Go(work)
	}
	f.mutex.Unlock()
	if closed {
		work()
	}
}

// isTransientAcceptError reports whether Accept failed for a reason that may pass soon.
func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// assign passes a connection to the server for the current limits.
func (f *frontend) assign(client *clientConn) {
	current := f.admit(client)
	if current == nil {
		client.Close()
		client.lease.Release()
		return
	}
	client.awaitHead()
	if !current.listener.deliver(client) {
		f.remove(current, client)
		client.Close()
	}
}

// admit counts a new connection and returns its server, or nil if the connection must be refused.
func (f *frontend) admit(client *clientConn) *serverGeneration {
	desired := f.currentLimits()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed || f.maxConnections > 0 && len(f.clients) >= f.maxConnections {
		return nil
	}
	if f.current == nil || f.current.limits != desired {
		f.startGeneration(desired)
	}
	f.current.connections++
	f.clients[client] = struct{}{}
	return f.current
}

// remove stops counting a connection that has ended.
func (f *frontend) remove(g *serverGeneration, client *clientConn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	g.connections--
	client.lease.Release()
	delete(f.clients, client)
	f.signalIfAllClosed()
}

// connStateChanged is the ConnState hook of a server.
func (f *frontend) connStateChanged(g *serverGeneration, connection net.Conn, state http.ConnState) {
	client := connection.(*clientConn)
	switch state {
	case http.StateIdle:
		client.responseSent()
	case http.StateClosed, http.StateHijacked:
		f.remove(g, client)
	}
}

// startGeneration starts a server for new limits. The caller must hold the mutex.
func (f *frontend) startGeneration(desired clientLimits) {
	f.retireGeneration()
	g := &serverGeneration{limits: desired, listener: newConnListener(f.listener.Addr())}
	g.server = &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: desired.headerTimeout,
		IdleTimeout:       desired.idleTimeout,
		WriteTimeout:      defaultWriteTimeout,
		MaxHeaderBytes:    max(desired.headerBytes-netHTTPHeaderSlop, 1),
		ErrorLog:          f.errorLog,
		BaseContext:       func(net.Listener) context.Context { return f.baseContext },
		ConnContext:       withClientConn,
		ConnState: func(connection net.Conn, state http.ConnState) {
			f.connStateChanged(g, connection, state)
		},
		DisableGeneralOptionsHandler: true,
	}
	f.current = g
	f.serving.Go(func() { _ = g.server.Serve(g.listener) })
}

// retireGeneration retires the current server and discards the retired ones without connections. The caller must hold the mutex.
func (f *frontend) retireGeneration() {
	if f.current != nil {
		f.current.listener.Close()
		f.retired = append(f.retired, f.current)
	}
	f.retired = slices.DeleteFunc(f.retired, func(g *serverGeneration) bool { return g.connections == 0 })
}

// shutdown closes the listener and the idle connections, and waits until the pending requests have been answered and their connections
// have ended. Requests that are pending when the context ends are abandoned. http.Server.Shutdown isn't used: it treats a kept-alive
// connection as idle until the complete head of its next request has been read, and so closes it while that head arrives. Each phase
// is logged.
func (f *frontend) shutdown(ctx context.Context, logPhase func(message string)) error {
	f.listener.Close()
	generations, clients := f.close()
	for _, client := range clients {
		client.closeWhenIdle()
	}
	logPhase("proxy listener closed")
	failure := f.awaitAllClosed(ctx)
	f.cancelRequests()
	if failure != nil {
		logPhase("abandoning pending requests")
		bounded, cancel := context.WithTimeout(context.Background(), finalResponsesTimeout)
		defer cancel()
		_ = f.awaitAllClosed(bounded)
	}
	for _, g := range generations {
		g.listener.Close()
	}
	f.serving.Wait()
	logPhase("proxy connections closed")
	return failure
}

// connections returns the number of open connections of clients.
func (f *frontend) connections() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.clients)
}

// awaitAllClosed returns nil once the frontend is closed and no connection is left, or the context's error if the context ends first.
func (f *frontend) awaitAllClosed(ctx context.Context) error {
	select {
	case <-f.allClosed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close stops admitting connections, and returns all generations and connections.
func (f *frontend) close() ([]*serverGeneration, []*clientConn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	f.signalIfAllClosed()
	generations := slices.Clone(f.retired)
	if f.current != nil {
		generations = append(generations, f.current)
	}
	return generations, slices.Collect(maps.Keys(f.clients))
}

// signalIfAllClosed closes allClosed if the frontend is closed and no connection is left. The caller must hold the mutex.
func (f *frontend) signalIfAllClosed() {
	if !f.closed || len(f.clients) > 0 {
		return
	}
	select {
	case <-f.allClosed:
	default:
		close(f.allClosed)
	}
}
