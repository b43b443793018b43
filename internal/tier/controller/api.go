package controller

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/replica"
)

// Bounds of the operator's API.
const (
	proposeTimeout  = 2500 * time.Millisecond
	readTimeout     = 900 * time.Millisecond
	headerTimeout   = 3 * time.Second
	bodyTimeout     = 10 * time.Second
	apiIdleTimeout  = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	shutdownTimeout = 500 * time.Millisecond
	retryAfterS     = "0.2"
)

// Handler answers the operator.
func (c *Controller) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = c.writeError
	router.Use(c.boundBody)
	router.PUT("/mastusher/settings", c.putSettings)
	router.GET("/mastusher/settings", c.getSettings)
	router.POST("/mastusher/rollouts", c.postRollout)
	router.GET("/mastusher/rollouts/:service", c.getRollout)
	router.POST("/mastusher/retire/:node", c.postDecommission)
	router.GET("/mastusher/retire/:node", c.getDecommission)
	router.GET(metrics.Path, echo.WrapHandler(c.options.Metrics.Handler()))
	return router
}

// Serve answers the operator until ctx ends.
func (c *Controller) Serve(ctx context.Context, address string) error {
	server := &http.Server{Handler: c.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: apiIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	listener, err := network.OrSystem(c.options.Network).Listen(context.Background(), new(net.ListenConfig), "tcp", address)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(bounded); err != nil {
			server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// boundBody bounds the time in which a body must have come.
func (c *Controller) boundBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		// A connection that takes no deadline is one of a test's recorder.
		_ = http.NewResponseController(e.Response().Writer).SetReadDeadline(time.Now().Add(c.bodyTimeout))
		return next(e)
	}
}

// redirect sends the caller to the group's owner, if that is another member.
func (c *Controller) redirect(e echo.Context) (bool, error) {
	status := c.group.Status()
	if status.IsLeader {
		return false, nil
	}
	control := c.controlAddress(status.Leader)
	if !isMember(status) {
		control = c.peerControlAddress()
	}
	if control == "" {
		return true, apierror.New(apierror.NotReady, "the configuration has no owner that is known now")
	}
	// Callers that send the whole body before they read the answer would lose the answer if the connection ended before.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(e.Response(), e.Request().Body, maxConfigurationBytes))
	return true, e.Redirect(http.StatusTemporaryRedirect, "http://"+control+e.Request().RequestURI)
}

// controlAddress is where the operator reaches another controller; empty if it isn't known. Whether membership takes it for dead
// doesn't count: the group has heard it lately, and membership takes seconds to notice that a cut is over.
func (c *Controller) controlAddress(id string) string {
	if id == "" || id == c.options.ID {
		return ""
	}
	for _, m := range c.options.Fleet.Members() {
		if m.ID == id && m.Role == membership.Controller {
			return m.Control
		}
	}
	return ""
}

// isMember tells whether a controller is in the group, which then tells it of the owner.
func isMember(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.ID == status.ID })
}

// peerControlAddress is where the operator reaches a controller other than this one that runs. All are named in turn, so that
// two that aren't in the group don't go on sending callers to each other; the one that has run for the longest time comes
// first, since it most likely is in the group. Empty if there is none.
func (c *Controller) peerControlAddress() string {
	var others []membership.Member
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Controller && m.State == membership.StateAlive && m.ID != c.options.ID {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return ""
	}
	slices.SortStableFunc(others, func(a, b membership.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	turn := c.redirects.Add(1) - 1
	return others[turn%uint64(len(others))].Control
}

// proposalError turns a group's error about an order into one that makes the operator ask again.
func (c *Controller) proposalError(err error) error {
	var not *group.NotLeaderError
	if errors.As(err, &not) && not.Dropped {
		return apierror.New(apierror.NotReady, "%w", err)
	}
	if errors.As(err, &not) {
		return apierror.New(apierror.Unconfirmed, "%w", err)
	}
	return apierror.New(apierror.Internal, "%w", err)
}

// readError turns a group's error about a read into one that makes the operator ask again.
func readError(err error) error { return apierror.New(apierror.NotReady, "%w", err) }

// writeError turns an error into its answer by the table of error kinds.
func (c *Controller) writeError(err error, e echo.Context) {
	if e.Response().Committed {
		return
	}
	var routed *echo.HTTPError
	if errors.As(err, &routed) {
		_ = e.JSON(routed.Code, errorBody{Error: http.StatusText(routed.Code)})
		return
	}
	answer := apierror.ResponseOf(err)
	if answer.RetryAfter {
		e.Response().Header().Set("Retry-After", retryAfterS)
	}
	if answer.Close {
		e.Response().Header().Set("Connection", "close")
	}
	_ = e.JSON(answer.Status, errorBody{Error: err.Error()})
}

// errorBody is the body of an answer that tells an error.
type errorBody struct {
	Error string `json:"error"`
}
