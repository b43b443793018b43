package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/model/form"
)

// maxConfigurationBytes bounds a configuration. Checking one takes a multiple of its size in memory.
const maxConfigurationBytes = 8 << 20

// putSettings takes a whole configuration. Any member of the group acknowledges one that it knows to have been taken.
func (c *Controller) putSettings(e echo.Context) error {
	began := time.Now()
	order, err := readProposal(e)
	c.options.Metrics.ObserveStep(metrics.ReadStep, time.Since(began))
	if err == nil && c.wasAccepted(order) {
		return e.NoContent(http.StatusOK)
	}
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	if err != nil {
		return err
	}
	if err := c.validate(e.Request().Context(), order); err != nil {
		c.options.Metrics.CountOrder(metrics.Rejected)
		return err
	}
	result, err := c.propose(e.Request().Context(), order)
	if err != nil {
		return c.proposalError(err)
	}
	switch result {
	case configuration.Accepted:
		level.Info(c.options.Logger).Log("msg", "configuration taken", "number", order.Number, "base", order.Base)
		return e.NoContent(http.StatusOK)
	case configuration.Conflict:
		return apierror.New(apierror.VersionConflict, "another version than %d is current", order.Base)
	case configuration.NotNewer:
		return apierror.New(apierror.InvalidConfiguration, "number: %d is not higher than the current one", order.Number)
	case configuration.HistoryTruncated:
		return apierror.New(apierror.Unconfirmed, "version %d is so old that the orders on it are forgotten", order.Base)
	}
	return apierror.New(apierror.Internal, "the order has no outcome")
}

// propose has the group agree on an order, and counts what it comes to.
func (c *Controller) propose(ctx context.Context, order *configuration.Proposal) (verdict any, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	verdict, err = c.group.Propose(ctx, Command{Configuration: order})
	c.options.Metrics.ObserveStep(metrics.ReplicateStep, time.Since(began))
	switch {
	case err != nil:
		c.options.Metrics.CountOrder(metrics.Unconfirmed)
	case verdict == configuration.Accepted:
		c.options.Metrics.CountOrder(metrics.Accepted)
	default:
		c.options.Metrics.CountOrder(metrics.Rejected)
	}
	return verdict, err
}

func (c *Controller) wasAccepted(order *configuration.Proposal) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.configuration.WasAccepted(order)
}

// readProposal reads an order, whose configuration may still be invalid.
func readProposal(e echo.Context) (*configuration.Proposal, error) {
	request := e.Request()
	base, err := readBase(request.Header)
	if err != nil {
		return nil, err
	}
	if request.ContentLength > maxConfigurationBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "the body is over %d bytes", maxConfigurationBytes)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(e.Response(), request.Body, maxConfigurationBytes))
	if err != nil {
		return nil, bodyError(err)
	}
	// Written as the log will hold it, so that the same order always is the same bytes.
	compact, err := json.Marshal(json.RawMessage(raw))
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "can't be read whole: %w", err)
	}
	return &configuration.Proposal{Base: base, Raw: compact}, nil
}

// readBase reads the number of the version that an order builds on, with quotes or without. Of several, none would be meant.
func readBase(header http.Header) (uint64, error) {
	values := header.Values("If-Match")
	if len(values) != 1 {
		return 0, apierror.New(apierror.InvalidConfiguration, "If-Match: %d versions are named, not one", len(values))
	}
	base, err := strconv.ParseUint(strings.Trim(values[0], `" `), 10, 64)
	if err != nil {
		return 0, apierror.New(apierror.InvalidConfiguration, "If-Match: no number of a version: %w", err)
	}
	return base, nil
}

// validate tells what is wrong with an order's configuration, and notes its number. One is checked at a time, for the memory
// that it takes.
func (c *Controller) validate(ctx context.Context, order *configuration.Proposal) error {
	select {
	case c.validationSlot <- struct{}{}:
		defer func() { <-c.validationSlot }()
	case <-ctx.Done():
		return apierror.New(apierror.NotReady, "another configuration is being checked: %w", ctx.Err())
	}
	began := time.Now()
	decoded, err := form.Parse(order.Raw)
	c.options.Metrics.ObserveStep(metrics.CheckStep, time.Since(began))
	if err != nil {
		return apierror.New(apierror.InvalidConfiguration, "%w", err)
	}
	order.Number = decoded.Version
	return nil
}

// bodyError is the error for a body that can't be read.
func bodyError(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return apierror.New(apierror.BodyTooLarge, "the body is over %d bytes: %w", large.Limit, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return apierror.New(apierror.RequestTimeout, "the body came too slowly: %w", err)
	}
	return apierror.New(apierror.BadRequest, "the body cannot be read whole: %w", err)
}

// getSettings answers with the newest configuration, or not at all: an older one is never told.
func (c *Controller) getSettings(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readTimeout)
	defer cancel()
	var raw json.RawMessage
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		raw = c.state.configuration.Current().Raw
	})
	if err != nil {
		return readError(err)
	}
	if raw == nil {
		return apierror.New(apierror.NotReady, "no configuration has been taken yet")
	}
	return e.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}
