package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

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
	server := &http.Server{Handler: c.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: apiIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	listener, err := network.OrSystem(c.options.Network).Listen(context.Background(), new(net.ListenConfig), "tcp", address)
	if err != nil {
		return err
	}
	return serveUntil(ctx, server, listener)
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
