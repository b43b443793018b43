package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/model/form"
)

// maxConfigurationBytes is the maximum size of a configuration. Validating one takes a multiple of its size in memory.
const maxConfigurationBytes = 8 << 20

// putSettings proposes a configuration. Any member of the group, not only the leader, acknowledges a proposal that was accepted earlier.
func (c *Controller) putSettings(e echo.Context) error {
	lease, err := c.reserveOrder(e)
	if err != nil {
		return err
	}
	defer lease.Release()
	start := time.Now()
	proposal, err := readProposal(e, lease)
	c.options.Metrics.ObserveStep(metrics.ReadStep, time.Since(start))
	if err == nil && c.wasAccepted(proposal) {
		return e.NoContent(http.StatusOK)
	}
	if redirected, redirectErr := c.redirect(e); redirected {
		return redirectErr
	}
	if err != nil {
		return err
	}
	if err = c.validate(e.Request().Context(), proposal); err != nil {
		c.options.Metrics.CountOrder(metrics.Rejected)
		return err
	}
	result, err := c.propose(e.Request().Context(), proposal)
	if err != nil {
		return c.proposalError(err)
	}
	switch result {
	case configuration.Accepted:
		level.Info(c.options.Logger).Log("msg", "configuration accepted", "number", proposal.Number, "base", proposal.Base)
		return e.NoContent(http.StatusOK)
	case configuration.Conflict:
		return apierror.New(apierror.VersionConflict, "If-Match: version %d is not the current one", proposal.Base)
	case configuration.NotNewer:
		return apierror.New(apierror.InvalidConfiguration, "number: %d is not higher than the current one", proposal.Number)
	case configuration.HistoryTruncated:
		return apierror.New(apierror.Unconfirmed, "If-Match: version %d is older than the history of accepted configurations", proposal.Base)
	}
	return apierror.New(apierror.Internal, "the committed proposal has no known result")
}

// propose proposes a configuration to the group, waits for the commit, and counts the outcome.
func (c *Controller) propose(ctx context.Context, proposal *configuration.Proposal) (result any, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := time.Now()
	result, err = c.group.Propose(ctx, Command{Configuration: proposal})
	c.options.Metrics.ObserveStep(metrics.ReplicateStep, time.Since(start))
	switch {
	case err != nil:
		c.options.Metrics.CountOrder(metrics.Unconfirmed)
	case result == configuration.Accepted:
		c.options.Metrics.CountOrder(metrics.Accepted)
	default:
		c.options.Metrics.CountOrder(metrics.Rejected)
	}
	return result, err
}

func (c *Controller) wasAccepted(proposal *configuration.Proposal) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.configuration.WasAccepted(proposal)
}

// readProposal reads the proposal of a request without validating its configuration.
func readProposal(e echo.Context, lease *memorybudget.Lease) (*configuration.Proposal, error) {
	base, err := readBase(e.Request().Header)
	if err != nil {
		return nil, err
	}
	raw, err := readOrder(e, lease)
	if err != nil {
		return nil, bodyError(err)
	}
	// Compacted as the log stores it: duplicates are recognized by their bytes.
	compact, err := json.Marshal(json.RawMessage(raw))
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "can't be read whole: %w", err)
	}
	return &configuration.Proposal{Base: base, Raw: compact}, nil
}

// readBase parses the version number that a proposal builds on from If-Match, with or without quotes. Several values are an error,
// since they don't name one version.
func readBase(header http.Header) (uint64, error) {
	values := header.Values("If-Match")
	if len(values) != 1 {
		return 0, apierror.New(apierror.InvalidConfiguration, "If-Match: got %d values, want one", len(values))
	}
	base, err := strconv.ParseUint(strings.Trim(values[0], `" `), 10, 64)
	if err != nil {
		return 0, apierror.New(apierror.InvalidConfiguration, "If-Match: not a version number: %w", err)
	}
	return base, nil
}

// validate validates a proposal's configuration and sets the proposal's number. Only one configuration at a time is validated, which
// bounds memory.
func (c *Controller) validate(ctx context.Context, proposal *configuration.Proposal) error {
	select {
	case c.validationSlot <- struct{}{}:
		defer func() { <-c.validationSlot }()
	case <-ctx.Done():
		return apierror.New(apierror.NotReady, "timed out while another configuration was being validated: %w", ctx.Err())
	}
	start := time.Now()
	decoded, err := form.Parse(proposal.Raw)
	c.options.Metrics.ObserveStep(metrics.CheckStep, time.Since(start))
	if err != nil {
		return apierror.New(apierror.InvalidConfiguration, "%w", err)
	}
	proposal.Number = decoded.Version
	return nil
}

// getSettings returns the newest configuration. It must never return an older one, so a majority confirms the read.
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
		return apierror.New(apierror.NotReady, "no configuration has been accepted yet")
	}
	return e.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}
