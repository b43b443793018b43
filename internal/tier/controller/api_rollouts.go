package controller

import (
	"context"
	"encoding/json"
	"math"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/rollout"
)

// maxOverS is the maximum duration of a roll-out or a decommissioning, in seconds.
const maxOverS = 86400.0

// rolloutRequest is the body of POST /mastusher/rollouts.
type rolloutRequest struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	OverS   float64 `json:"overS"` // duration, s
}

func (r *rolloutRequest) validate() error {
	switch {
	case r.Service == "":
		return apierror.New(apierror.BadRequest, "service: missing")
	case r.Target == "":
		return apierror.New(apierror.BadRequest, "target: missing")
	case !(r.OverS > 0 && r.OverS <= maxOverS):
		return apierror.New(apierror.BadRequest, "overS: must be above 0 and at most %g s", maxOverS)
	}
	return nil
}

// postRollout proposes to move a service to another version.
func (c *Controller) postRollout(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	var body rolloutRequest
	if err := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, maxRequestBytes)).Decode(&body); err != nil {
		return apierror.New(apierror.BadRequest, "the request body cannot be parsed: %v", err)
	}
	if err := body.validate(); err != nil {
		return err
	}
	proposal := c.rolloutProposal(&body)
	ctx, cancel := context.WithTimeout(e.Request().Context(), proposeTimeout)
	defer cancel()
	result, err := c.group.Propose(ctx, Command{Rollout: proposal})
	if err != nil {
		return c.proposalError(err)
	}
	switch result {
	case rollout.Accepted:
		level.Info(c.options.Logger).Log("msg", "roll-out accepted", "service", proposal.Service, "target", proposal.Target, "overMs", proposal.DurationMs)
		return e.NoContent(http.StatusOK)
	case rollout.AnotherInService:
		return apierror.New(apierror.OperationInProgress, "another version of %s is being rolled out", proposal.Service)
	}
	return apierror.New(apierror.Internal, "the committed proposal has no known result")
}

// rolloutProposal converts a request to a proposal.
func (c *Controller) rolloutProposal(body *rolloutRequest) *rollout.Proposal {
	proposal := rollout.Proposal{Service: body.Service, Target: body.Target, DurationMs: int64(math.Round(1000 * body.OverS)),
		ProposedAtMs: c.options.Now().UnixMilli(), DedupExpiredIndex: c.dedupExpiredIndex()}
	bounds := rollout.Bounds{Share: c.options.Settings.Bounds.BadVersionMaxShare(), Slack: c.options.Settings.Bounds.BadVersionSlack()}
	proposal = proposal.WithBounds(bounds, c.proxyCount())
	return &proposal
}

// proxyCount counts the known edge machines: each has an agent and a proxy.
func (c *Controller) proxyCount() int {
	count := 0
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Agent {
			count++
		}
	}
	return count
}

// rolloutStatus is the body of the response to GET /mastusher/rollouts/SERVICE.
type rolloutStatus struct {
	State  rollout.State `json:"state"`
	Target string        `json:"target"`
}

// getRollout returns the status of a service's newest roll-out.
func (c *Controller) getRollout(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readTimeout)
	defer cancel()
	service := e.Param("service")
	var newest rollout.Rollout
	var known bool
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		newest, known = c.state.rollouts.Rollout(service)
	})
	if err != nil {
		return readError(err)
	}
	if !known {
		return apierror.New(apierror.UnknownService, "no version of %s has been rolled out", service)
	}
	return e.JSON(http.StatusOK, rolloutStatus{State: newest.State, Target: newest.Target})
}
