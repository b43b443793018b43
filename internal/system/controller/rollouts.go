package controller

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/system/fault"
	"mastusher/internal/system/membership"
	"mastusher/internal/system/model"
	"mastusher/internal/system/rollout"
	"mastusher/internal/system/wire"
)

// Pace of judgement.
const (
	judgeInterval = 150 * time.Millisecond
	decideTimeout = time.Second
	mostOverS     = 86400.0 // longest time that an order may take, s
)

// evidence holds what the proxies have reported.
type evidence struct {
	mutex   sync.Mutex
	sources map[string][]wire.VersionTally // by the proxy's start; each report replaces the one before
}

func newEvidence() *evidence { return &evidence{sources: map[string][]wire.VersionTally{}} }

func (e *evidence) take(tallies wire.Tallies) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sources[tallies.Source] = tallies.Versions
}

// of sums up what was seen of a service's version, by route.
func (e *evidence) of(service, version string) rollout.Evidence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	sums := rollout.Evidence{}
	for _, versions := range e.sources {
		for i := range versions {
			if versions[i].Service == service && versions[i].Version == version {
				sum := sums[versions[i].Route]
				sum.Add(versions[i].Tally)
				sums[versions[i].Route] = sum
			}
		}
	}
	return sums
}

// judgeLoop decides on the orders in service while this member owns the group.
func (c *Controller) judgeLoop(ctx context.Context) {
	trials := map[rollout.Order]*trial{}
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.judgeAll(ctx, now, trials)
		}
	}
}

// trial is an order that is being judged.
type trial struct {
	seenAt time.Time // when this member first saw it
	judge  *rollout.Trial
}

func (c *Controller) judgeAll(ctx context.Context, now time.Time, trials map[rollout.Order]*trial) {
	c.mutex.Lock()
	open := c.agree.rollouts.Open()
	c.mutex.Unlock()
	for _, roll := range open {
		if trials[roll.Order] == nil {
			trials[roll.Order] = &trial{seenAt: now, judge: rollout.NewTrial()}
		}
		if !c.group.Status().IsOwner {
			continue
		}
		// The time of day may have been set since; the steady clock has begun late where this process is younger than the order.
		elapsed := max(now.Sub(trials[roll.Order].seenAt), time.Duration(now.UnixMilli()-roll.AtMs)*time.Millisecond)
		target, baseline := c.evidence.of(roll.Service, roll.Target), c.evidence.of(roll.Service, roll.From)
		if state := trials[roll.Order].judge.Judge(roll, elapsed, target, baseline); state != rollout.InService {
			c.decide(ctx, roll, state, target.Total(), baseline.Total())
		}
	}
}

func (c *Controller) decide(ctx context.Context, roll rollout.Roll, state rollout.State, target, baseline rollout.Tally) {
	bounded, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	decision := &rollout.Decision{Service: roll.Service, Target: roll.Target, State: state}
	_, err := c.group.Propose(bounded, Command{Decide: decision})
	level.Info(c.options.Logger).Log("msg", "roll-out decided", "service", roll.Service, "target", roll.Target, "state", state,
		"good", target.Good, "bad", target.Bad, "baselineGood", baseline.Good, "baselineBad", baseline.Bad, "err", err)
}

// recordVersions notes the version of each service that runs in a single one, unless one is known already.
func (c *Controller) recordVersions(ctx context.Context, endpoints []model.Endpoint) {
	versions := map[string]string{}
	several := map[string]bool{}
	for i := range endpoints {
		e := &endpoints[i]
		several[e.Service] = several[e.Service] || versions[e.Service] != "" && versions[e.Service] != e.Number
		versions[e.Service] = e.Number
	}
	for service, version := range versions {
		c.mutex.Lock()
		known := c.agree.rollouts.Current(service) != ""
		c.mutex.Unlock()
		if known || several[service] || version == "" {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, decideTimeout)
		_, err := c.group.Propose(bounded, Command{Seen: &rollout.Seen{Service: service, Version: version}})
		cancel()
		if err != nil {
			level.Warn(c.options.Logger).Log("msg", "version was not recorded", "service", service, "err", err)
			return
		}
	}
}

// rolloutOrder is the body of an order.
type rolloutOrder struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	OverS   float64 `json:"overS"` // s
}

func (o *rolloutOrder) check() error {
	switch {
	case o.Service == "":
		return fault.New(fault.BadRequest, "service: missing")
	case o.Target == "":
		return fault.New(fault.BadRequest, "target: missing")
	case !(o.OverS > 0 && o.OverS <= mostOverS):
		return fault.New(fault.BadRequest, "overS: not a time between 0 and %g s", mostOverS)
	}
	return nil
}

// postRollout takes an order to move a service to another version.
func (c *Controller) postRollout(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	var body rolloutOrder
	if err := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, mostOrderBytes)).Decode(&body); err != nil {
		return fault.New(fault.BadRequest, "the order cannot be read: %v", err)
	}
	if err := body.check(); err != nil {
		return err
	}
	order := rollout.Order{Service: body.Service, Target: body.Target, OverMs: int64(math.Round(1000 * body.OverS)), AtMs: time.Now().UnixMilli()}
	order = order.Within(rollout.Bounds{Share: c.options.Settings.Bounds.BadShare(), Slack: c.options.Settings.Bounds.BadSlack()}, c.proxies())
	ctx, cancel := context.WithTimeout(e.Request().Context(), agreeTimeout)
	defer cancel()
	result, err := c.group.Propose(ctx, Command{Rollout: &order})
	if err != nil {
		return c.unagreed(err)
	}
	if result != rollout.Taken {
		return fault.New(fault.OrderUnderWay, "another version of %s is being rolled out", body.Service)
	}
	return e.NoContent(http.StatusOK)
}

// proxies counts the edge machines that are known, each of which has an agent.
func (c *Controller) proxies() int {
	count := 0
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Agent {
			count++
		}
	}
	return count
}

// rolloutState is the answer to the question how far an order is.
type rolloutState struct {
	State  rollout.State `json:"state"`
	Target string        `json:"target"`
}

// getRollout tells how far the newest order of a service is.
func (c *Controller) getRollout(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readBackTimeout)
	defer cancel()
	service := e.Param("service")
	var roll rollout.Roll
	var known bool
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		roll, known = c.agree.rollouts.Roll(service)
	})
	if err != nil {
		return unread(err)
	}
	if !known {
		return fault.New(fault.UnknownService, "no version of %s has been rolled out", service)
	}
	return e.JSON(http.StatusOK, rolloutState{State: roll.State, Target: roll.Target})
}
