package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/upstream"
)

// readyPath is the path of the readiness check.
const readyPath = "/mastusher/ready"

// ShutdownGracePeriod is the longest time that Shutdown takes after its context has ended, to send final responses and commit turns.
const ShutdownGracePeriod = finalResponsesTimeout + finalCommitsTimeout

// Bounds of the listener for readiness and metrics.
const (
	readinessHeaderTimeout   = 5 * time.Second // reading a request
	readinessWriteTimeout    = 5 * time.Second
	readinessIdleTimeout     = 30 * time.Second // of a connection between two requests
	readinessHeaderBytes     = 4 << 10          // net/http adds as much
	readinessConnectionBytes = connectionBytes
)

// Proxy is the HTTP data path. It is safe for concurrent use.
type Proxy struct {
	options           Options
	pool              *upstream.Pool
	usage             *usageCommitter
	rejections        *rejectionCounter
	frontend          *frontend
	readinessServer   *http.Server
	readinessListener net.Listener
	draining          atomic.Bool
}

// New opens the listeners of a proxy. Serve serves requests. The error is that of a listener.
func New(options Options) (*Proxy, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	options.Network = network.OrSystem(options.Network)
	options.Upstream.Network = options.Network
	options.Upstream.Metrics = options.Metrics
	p := &Proxy{
		options:    options,
		pool:       upstream.NewPool(options.Upstream),
		usage:      newUsageCommitter(options.Programs, options.Memory),
		rejections: newRejectionCounter(&options),
	}
	frontListener, err := options.Network.Listen(context.Background(), network.ListenConfig(clientReceiveBuffer), "tcp4", options.FrontAddress)
	if err != nil {
		return nil, err
	}
	p.readinessListener, err = options.Network.Listen(context.Background(), network.ListenConfig(clientReceiveBuffer), "tcp4", options.ReadinessAddress)
	if err != nil {
		frontListener.Close()
		return nil, err
	}
	p.frontend = newFrontend(frontListener, p.frontHandler(), p.currentLimits, options)
	p.readinessListener = memorybudget.NewListener(p.readinessListener, options.Memory, readinessConnectionBytes)
	p.readinessServer = &http.Server{Handler: p.readinessHandler(), ReadHeaderTimeout: readinessHeaderTimeout, ReadTimeout: readinessHeaderTimeout,
		WriteTimeout: readinessWriteTimeout, IdleTimeout: readinessIdleTimeout, MaxHeaderBytes: readinessHeaderBytes, ConnState: memorybudget.ConnState}
	return p, nil
}

// FrontAddress returns the address to which clients connect.
func (p *Proxy) FrontAddress() net.Addr { return p.frontend.listener.Addr() }

// ReadinessAddress returns the address at which readiness and metrics are served.
func (p *Proxy) ReadinessAddress() net.Addr { return p.readinessListener.Addr() }

// Serve serves requests until Shutdown has closed the listeners, then returns nil. Any other error is that of a listener; then both
// listeners are closed. The goroutines of Serve have ended when it returns.
func (p *Proxy) Serve() error {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { p.rejections.run(ctx, p.options.Logger) })
	failed := make(chan error, 2)
	running.Go(func() { failed <- p.readinessServer.Serve(p.readinessListener) })
	running.Go(func() { failed <- p.frontend.serve() })
	err := <-failed
	if !isListenerClosed(err) {
		p.readinessServer.Close()
		p.frontend.listener.Close()
	}
	if otherErr := <-failed; isListenerClosed(err) {
		err = otherErr
	}
	if isListenerClosed(err) {
		return nil
	}
	return err
}

// isListenerClosed reports whether a server has ended because its listener was closed.
func isListenerClosed(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}

// Drain makes the proxy report that it is not ready, and close each client's connection after the next response. New connections are
// still accepted.
func (p *Proxy) Drain() {
	if p.draining.CompareAndSwap(false, true) {
		p.logShutdownPhase("proxy draining")
	}
}

// logShutdownPhase logs a phase of the shutdown with the numbers of open connections and pending commits.
func (p *Proxy) logShutdownPhase(message string, more ...any) {
	pairs := []any{"msg", message, "connections", p.frontend.connections(), "pending_commits", p.usage.pending()}
	level.Info(p.options.Logger).Log(append(pairs, more...)...)
}

// closeIfDraining makes a response the last one on its connection while the proxy drains.
func (p *Proxy) closeIfDraining(header http.Header) {
	if p.draining.Load() {
		header["Connection"] = []string{"close"}
	}
}

// Shutdown stops accepting connections, and returns once the pending requests and commits have ended. If the context ends first, the
// pending requests are abandoned: each gets an error response, or its response is aborted. Commits that are still pending shortly
// afterwards are abandoned too. All this takes at most ShutdownGracePeriod, and Shutdown returns the context's error.
func (p *Proxy) Shutdown(ctx context.Context) error {
	p.Drain()
	began := time.Now()
	err := p.frontend.shutdown(ctx, func(message string) { p.logShutdownPhase(message, "took", time.Since(began)) })
	abandoned := p.usage.drain(ctx)
	p.logShutdownPhase("proxy usage commits ended", "took", time.Since(began), "abandoned", abandoned)
	p.readinessServer.Close()
	p.pool.Close()
	return err
}

// frontHandler returns the handler for all requests of clients.
func (p *Proxy) frontHandler() http.Handler {
	e := echo.New()
	e.RouteNotFound("/*", func(c echo.Context) error {
		p.serve(c.Response().Writer, c.Request())
		return nil
	})
	return e
}

// readinessHandler returns the handler for the platform's readiness checks and for metrics.
func (p *Proxy) readinessHandler() http.Handler {
	e := echo.New()
	e.GET(readyPath, func(c echo.Context) error {
		if p.draining.Load() || !p.options.Views.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(metrics.Path, echo.WrapHandler(p.options.Metrics.Handler()))
	return e
}

// currentLimits returns the limits for a new connection.
func (p *Proxy) currentLimits() clientLimits {
	routes := p.options.Views.Routes()
	if routes == nil {
		return defaultLimits
	}
	return limitsFrom(routes.Limits)
}
