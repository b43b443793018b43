package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
)

// Bounds of the operator's API.
const (
	proposeTimeout  = 2500 * time.Millisecond // for the group to commit an order
	readTimeout     = 900 * time.Millisecond  // for a majority to confirm a read
	headerTimeout   = 3 * time.Second
	bodyTimeout     = 10 * time.Second
	apiIdleTimeout  = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	maxRequestBytes = 64 << 10 // of the body of an order other than a configuration
	shutdownTimeout = 500 * time.Millisecond
	apiWriteTimeout = 20 * time.Second // from the end of a request's head until its response has been written

	apiReceiveBuffer   = 32 << 10                              // requested of the system, bytes
	apiConnectionBytes = 2*apiReceiveBuffer + 2*maxHeaderBytes // memory of a connection with the head of a request
	// orderCopies is how often an order is in memory: as read, compacted, decoded and in an entry of the group's log.
	orderCopies = 4
	// orderMemoryTimeout bounds how long an order waits for memory.
	orderMemoryTimeout = 2 * time.Second
)

// Handler returns the operator's API and the metrics.
func (c *Controller) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = c.writeError
	router.Use(c.limitBodyTime)
	router.PUT("/mastusher/settings", c.putSettings)
	router.GET("/mastusher/settings", c.getSettings)
	router.POST("/mastusher/rollouts", c.postRollout)
	router.GET("/mastusher/rollouts/:service", c.getRollout)
	router.POST("/mastusher/retire/:node", c.postDecommission)
	router.GET("/mastusher/retire/:node", c.getDecommission)
	router.GET(metrics.Path, echo.WrapHandler(c.options.Metrics.Handler()))
	return router
}

// Serve serves the operator's API at the address until ctx ends. Then it waits for requests in flight to complete, for shutdownTimeout
// at most.
func (c *Controller) Serve(ctx context.Context, address string) error {
	server := &http.Server{Handler: c.Handler(), ReadHeaderTimeout: headerTimeout, WriteTimeout: apiWriteTimeout, IdleTimeout: apiIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: memorybudget.ConnState}
	listener, err := network.OrSystem(c.options.Network).Listen(context.Background(), network.ListenConfig(apiReceiveBuffer), "tcp", address)
	if err != nil {
		return err
	}
	return serveUntil(ctx, server, memorybudget.NewListener(listener, c.options.Memory, apiConnectionBytes))
}

// serveUntil serves until ctx ends, and then waits for requests in flight, for shutdownTimeout at most.
func serveUntil(ctx context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(bounded); err != nil {
		server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// limitBodyTime is middleware that bounds the time in which a body must arrive.
func (c *Controller) limitBodyTime(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		// Fails only for a test's response recorder, which has no deadlines.
		_ = http.NewResponseController(e.Response().Writer).SetReadDeadline(time.Now().Add(c.bodyTimeout))
		return next(e)
	}
}
