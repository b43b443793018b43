package controller

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wait"
)

// Timing of analyses.
const (
	analysisInterval = 150 * time.Millisecond
	decideTimeout    = time.Second            // for the group to commit a decision or a version
	commitDelay      = 100 * time.Millisecond // approximate time from sending an order until members apply it
	reportTimeout    = 2 * time.Second        // longest time until a proxy that knows of a roll-out has reported on it
	reportDelay      = time.Second            // usual time from a proxy's learning of a roll-out until its first report on it
)

// analysisLoop evaluates the roll-outs in service while this member is the leader.
func (c *Controller) analysisLoop(ctx context.Context) {
	analyses := map[uint64]*rollout.Analysis{}
	wait.Every(ctx, analysisInterval, func() { c.analyzeRollouts(ctx, analyses) })
}

// analyzeRollouts evaluates the roll-outs in service. analyses has one analysis for each, by the log index of its proposal.
func (c *Controller) analyzeRollouts(ctx context.Context, analyses map[uint64]*rollout.Analysis) {
	now := c.options.Clock()
	c.mutex.Lock()
	active := c.state.rollouts.Active()
	c.mutex.Unlock()
	if len(active) == 0 || !c.group.Status().IsLeader {
		clear(analyses) // the former analysis of a leader that is elected again would lack the time between
		return
	}
	maps.DeleteFunc(analyses, func(index uint64, _ *rollout.Analysis) bool {
		return !slices.ContainsFunc(active, func(current rollout.Rollout) bool { return current.Index == index })
	})
	proxies := membership.CountRunning(c.options.Fleet.Members(), membership.Agent) // each agent has a proxy
	for _, current := range active {
		if analyses[current.Index] == nil {
			analyses[current.Index] = rollout.NewAnalysis()
		}
		target, knownFor := c.versionStats.duringRollout(&current, now, proxies)
		baseline := c.versionStats.total(current.Service, current.Baseline)
		analysis := analyses[current.Index]
		if state := analysis.Evaluate(current, c.elapsed(&current, now, knownFor), target, baseline); state != rollout.InService {
			c.proposeDecision(ctx, current, state, evaluation{target, baseline, analysis.PeakRatio()})
		}
	}
}

// evaluation holds the inputs and the result of an analysis, for the log.
type evaluation struct {
	target    rollout.Evidence
	baseline  rollout.StatsByRoute
	peakRatio float64 // highest log-likelihood ratio of any test
}

// elapsed returns how long a roll-out has been in service: the longer of the times for which this process and any proxy have known
// of it. A proposal that was committed long after it was sent has been in service only since its commit. If no proxy has sent a
// request to the target, the time of day when the order was sent is used, once proxies have had time to report.
func (c *Controller) elapsed(current *rollout.Rollout, now, knownFor time.Duration) time.Duration {
	c.mutex.Lock()
	seenFor := c.dedupWindow.SeenFor(now, current.Index)
	c.mutex.Unlock()
	elapsed := commitDelay + max(seenFor, knownFor)
	if knownFor == 0 && seenFor >= reportTimeout {
		return max(elapsed, c.options.Now().Sub(time.UnixMilli(current.ProposedAtMs)))
	}
	return elapsed
}

// proposeDecision proposes the end of a roll-out. If that fails, the next evaluation proposes it again.
func (c *Controller) proposeDecision(ctx context.Context, current rollout.Rollout, state rollout.State, on evaluation) {
	bounded, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	decision := &rollout.Decision{Service: current.Service, Target: current.Target, ProposalIndex: current.Index, State: state}
	if _, err := c.group.Propose(bounded, Command{RolloutDecision: decision}); err != nil {
		level.Warn(c.options.Logger).Log("msg", "roll-out decision failed, retrying", "service", current.Service, "target", current.Target,
			"state", state, "err", err)
		return
	}
	target, baseline := on.target.Totals.Total(), on.baseline.Total()
	level.Info(c.options.Logger).Log("msg", "roll-out decided", "service", current.Service, "target", current.Target, "state", state,
		"good", target.Good, "bad", target.Bad, "baselineGood", baseline.Good, "baselineBad", baseline.Bad,
		"intervals", on.target.IntervalCount(), "ratio", math.Round(on.peakRatio), "complete", on.target.Complete)
}

// initialVersions returns the initial version of each service: the one with the most endpoints, and of equals the first by name. The
// other versions get no requests until they are rolled out.
func initialVersions(endpoints []model.Endpoint) map[string]string {
	counts := map[string]map[string]int{}
	for i := range endpoints {
		e := &endpoints[i]
		if e.Version == "" {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = map[string]int{}
		}
		counts[e.Service][e.Version]++
	}
	versions := map[string]string{}
	for service, byVersion := range counts {
		for _, version := range slices.Sorted(maps.Keys(byVersion)) {
			if byVersion[version] > byVersion[versions[service]] {
				versions[service] = version
			}
		}
	}
	return versions
}

// recordVersions commits the initial version of each service that has none yet.
func (c *Controller) recordVersions(ctx context.Context, endpoints []model.Endpoint) {
	for service, version := range initialVersions(endpoints) {
		c.mutex.Lock()
		known := c.state.rollouts.Current(service) != ""
		c.mutex.Unlock()
		if known {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, decideTimeout)
		_, err := c.group.Propose(bounded, Command{ObservedVersion: &rollout.ObservedVersion{Service: service, Version: version}})
		cancel()
		if err != nil {
			level.Warn(c.options.Logger).Log("msg", "recording service version failed", "service", service, "err", err)
			return
		}
	}
}
