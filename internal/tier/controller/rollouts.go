package controller

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wire"
)

// Pace of judgement.
const (
	analysisInterval = 150 * time.Millisecond
	decideTimeout    = time.Second
	maxOverS         = 86400.0 // longest time that an order may take, s

	commitDelay   = 100 * time.Millisecond // from when an order is sent until members see it, about
	reportTimeout = 2 * time.Second        // in which proxies that know of an order report
)

// versionStats holds what the proxies have reported.
type statsTable struct {
	mutex   sync.Mutex
	sources map[string]proxyReport // by the proxy's start; each report replaces the one before
}

// proxyReport is what one proxy has reported.
type proxyReport struct {
	at       time.Duration // when it came, by the steady clock
	versions []wire.VersionStats
}

func newStatsTable() *statsTable { return &statsTable{sources: map[string]proxyReport{}} }

func (e *statsTable) replace(now time.Duration, tallies wire.VersionStatsReport) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sources[tallies.Source] = proxyReport{at: now, versions: tallies.Versions}
}

// each calls take with what each proxy has reported of a service's version. It holds the mutex meanwhile.
func (e *statsTable) each(service, version string, take func(at time.Duration, tally *wire.VersionStats)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, source := range e.sources {
		for i := range source.versions {
			if source.versions[i].Service == service && source.versions[i].Version == version {
				take(source.at, &source.versions[i])
			}
		}
	}
}

// of sums up all that was seen of a service's version, by route.
func (e *statsTable) total(service, version string) rollout.StatsByRoute {
	sums := rollout.StatsByRoute{}
	e.each(service, version, func(_ time.Duration, tally *wire.VersionStats) { sums.Add(tally.Route, tally.Stats) })
	return sums
}

// duringRollout sums up what was seen of the target during one roll-out, by route, and for how long the proxy has known of that
// which has known of it for the longest time.
func (e *statsTable) duringRollout(roll *rollout.Rollout, now time.Duration) (rollout.StatsByRoute, time.Duration) {
	sums := rollout.StatsByRoute{}
	var known time.Duration
	e.each(roll.Service, roll.Target, func(at time.Duration, tally *wire.VersionStats) {
		if tally.Order == roll.Index {
			sums.Add(tally.Route, tally.Stats)
			known = max(known, now-at+time.Duration(tally.AgeMs)*time.Millisecond)
		}
	})
	return sums, known
}

// analysisLoop decides on the orders in service while this member owns the group.
func (c *Controller) analysisLoop(ctx context.Context) {
	trials := map[uint64]*rollout.Analysis{}
	ticker := time.NewTicker(analysisInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.analyzeRollouts(ctx, trials)
		}
	}
}

// analyzeRollouts judges the orders in service. The trials are named by the index of their order.
func (c *Controller) analyzeRollouts(ctx context.Context, trials map[uint64]*rollout.Analysis) {
	now := c.options.Clock()
	c.mutex.Lock()
	open := c.state.rollouts.Active()
	c.mutex.Unlock()
	maps.DeleteFunc(trials, func(index uint64, _ *rollout.Analysis) bool {
		return !slices.ContainsFunc(open, func(roll rollout.Rollout) bool { return roll.Index == index })
	})
	for _, roll := range open {
		if trials[roll.Index] == nil {
			trials[roll.Index] = rollout.NewAnalysis()
		}
		if !c.group.Status().IsLeader {
			continue
		}
		target, known := c.versionStats.duringRollout(&roll, now)
		baseline := c.versionStats.total(roll.Service, roll.Baseline)
		if state := trials[roll.Index].Evaluate(roll, c.elapsed(&roll, now, known), target, baseline); state != rollout.InService {
			c.proposeDecision(ctx, roll, state, target.Total(), baseline.Total())
		}
	}
}

// elapsed is how long an order has been in service: since this process has known of it, or since a proxy has, which may be
// longer. An order that was agreed on long after it was sent has been in service only since then. Where no proxy has had to
// send a request to the target, the time of day tells, once there was time to hear of that.
func (c *Controller) elapsed(roll *rollout.Rollout, now, known time.Duration) time.Duration {
	c.mutex.Lock()
	seen := c.dedupWindow.SeenFor(now, roll.Index)
	c.mutex.Unlock()
	elapsed := commitDelay + max(seen, known)
	if known == 0 && seen >= reportTimeout {
		return max(elapsed, c.options.Now().Sub(time.UnixMilli(roll.AtMs)))
	}
	return elapsed
}

func (c *Controller) proposeDecision(ctx context.Context, roll rollout.Rollout, state rollout.State, target, baseline rollout.Stats) {
	bounded, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	decision := &rollout.Decision{Service: roll.Service, Target: roll.Target, Order: roll.Index, State: state}
	_, err := c.group.Propose(bounded, Command{RolloutDecision: decision})
	level.Info(c.options.Logger).Log("msg", "roll-out decided", "service", roll.Service, "target", roll.Target, "state", state,
		"good", target.Good, "bad", target.Bad, "baselineGood", baseline.Good, "baselineBad", baseline.Bad, "err", err)
}

// recordVersions notes the version of each service that runs in a single one, unless one is known already.
func (c *Controller) recordVersions(ctx context.Context, endpoints []model.Endpoint) {
	versions := map[string]string{}
	several := map[string]bool{}
	for i := range endpoints {
		e := &endpoints[i]
		several[e.Service] = several[e.Service] || versions[e.Service] != "" && versions[e.Service] != e.Version
		versions[e.Service] = e.Version
	}
	for service, version := range versions {
		c.mutex.Lock()
		known := c.state.rollouts.Current(service) != ""
		c.mutex.Unlock()
		if known || several[service] || version == "" {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, decideTimeout)
		_, err := c.group.Propose(bounded, Command{ObservedVersion: &rollout.ObservedVersion{Service: service, Version: version}})
		cancel()
		if err != nil {
			level.Warn(c.options.Logger).Log("msg", "version was not recorded", "service", service, "err", err)
			return
		}
	}
}

// rolloutRequest is the body of an order.
type rolloutRequest struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	OverS   float64 `json:"overS"` // s
}

func (o *rolloutRequest) validate() error {
	switch {
	case o.Service == "":
		return apierror.New(apierror.BadRequest, "service: missing")
	case o.Target == "":
		return apierror.New(apierror.BadRequest, "target: missing")
	case !(o.OverS > 0 && o.OverS <= maxOverS):
		return apierror.New(apierror.BadRequest, "overS: not a time between 0 and %g s", maxOverS)
	}
	return nil
}

// postRollout takes an order to move a service to another version.
func (c *Controller) postRollout(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	var body rolloutRequest
	if err := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, maxConfigurationBytes)).Decode(&body); err != nil {
		return apierror.New(apierror.BadRequest, "the order cannot be read: %v", err)
	}
	if err := body.validate(); err != nil {
		return err
	}
	order := c.rolloutProposal(&body)
	ctx, cancel := context.WithTimeout(e.Request().Context(), proposeTimeout)
	defer cancel()
	result, err := c.group.Propose(ctx, Command{Rollout: order})
	if err != nil {
		return c.proposalError(err)
	}
	switch result {
	case rollout.Accepted:
		level.Info(c.options.Logger).Log("msg", "roll-out ordered", "service", order.Service, "target", order.Target, "overMs", order.OverMs)
		return e.NoContent(http.StatusOK)
	case rollout.InProgress:
		return apierror.New(apierror.OperationInProgress, "another version of %s is being rolled out", order.Service)
	}
	return apierror.New(apierror.Internal, "the order has no outcome")
}

// rolloutProposal is the order as it is to be agreed on.
func (c *Controller) rolloutProposal(body *rolloutRequest) *rollout.Proposal {
	order := rollout.Proposal{Service: body.Service, Target: body.Target, OverMs: int64(math.Round(1000 * body.OverS)),
		AtMs: c.options.Now().UnixMilli(), DedupExpiredIndex: c.dedupExpiredIndex()}
	bounds := rollout.Bounds{Share: c.options.Settings.Bounds.BadShare(), Slack: c.options.Settings.Bounds.BadSlack()}
	order = order.WithBounds(bounds, c.proxyCount())
	return &order
}

// proxyCount counts the edge machines that are known, each of which has an agent.
func (c *Controller) proxyCount() int {
	count := 0
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Agent {
			count++
		}
	}
	return count
}

// rolloutStatus is the answer to the question how far an order is.
type rolloutStatus struct {
	State  rollout.State `json:"state"`
	Target string        `json:"target"`
}

// getRollout tells how far the newest order of a service is.
func (c *Controller) getRollout(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readTimeout)
	defer cancel()
	service := e.Param("service")
	var roll rollout.Rollout
	var known bool
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		roll, known = c.state.rollouts.Rollout(service)
	})
	if err != nil {
		return readError(err)
	}
	if !known {
		return apierror.New(apierror.UnknownService, "no version of %s has been rolled out", service)
	}
	return e.JSON(http.StatusOK, rolloutStatus{State: roll.State, Target: roll.Target})
}
