package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"mastusher/internal/tier/standin"
	"mastusher/internal/tier/wait"
)

// errNoRetry is returned by a Backoff to end a program at its first failure.
var errNoRetry = errors.New("program ended at its first failure: retries are disabled")

// measureRecovery measures how long the tier takes to recover, from the start of the last process on. It records a violation for
// each bound that is exceeded.
func (r *run) measureRecovery(ctx context.Context, restarted time.Time) {
	waited := cpuWait()
	var measurements sync.WaitGroup
	served := make([]time.Duration, len(r.clients.proxies))
	for index, proxy := range r.clients.proxies {
		measurements.Go(func() { served[index] = r.probe(ctx, proxy, restarted) })
	}
	measurements.Go(func() {
		r.result.LeadersElected = r.within(ctx, restarted, RecoveryBound, "RECOVER", "leaders of all groups", func() bool { return r.queryGroups(ctx).led == r.shards })
		r.result.ReplicasCaughtUp = r.within(ctx, restarted, caughtUpBound, "WHOLE", "all replicas", func() bool { return r.queryGroups(ctx).caughtUp == r.shards })
	})
	measurements.Go(func() {
		r.within(ctx, restarted, RecoveryBound, "RECOVER", "an order", func() bool { return r.operator.order(ctx) })
		for _, controller := range r.controllers() {
			r.within(ctx, restarted, RecoveryBound, "SILENT", "a read at "+controller, func() bool { return r.operator.read(ctx, controller) })
		}
		for _, proxy := range r.clients.proxies {
			r.within(ctx, restarted, RecoveryBound, "RECOVER", "the newest configuration at "+proxy, func() bool { return r.servesNewest(ctx, proxy) })
		}
	})
	measurements.Wait()
	pressure := (cpuWait() - waited).Seconds() / time.Since(restarted).Seconds()
	r.report("recovered: %v", r.recordRecovery(pressure, served))
}

// recordRecovery enters the recovery's times into the result and returns the result's text. It locks the mutex, because reads in
// flight still change the result.
func (r *run) recordRecovery(pressure float64, served []time.Duration) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.CPUPressure = pressure
	for _, took := range served {
		r.result.AllServed = max(r.result.AllServed, took)
	}
	return r.result.Text()
}

// cpuWait returns the total time during which at least one task on the machine waited for a processor, by the kernel's pressure stall
// information (PSI); 0 if the kernel doesn't provide it.
func cpuWait() time.Duration {
	content, _ := os.ReadFile("/proc/pressure/cpu")
	_, total, _ := strings.Cut(string(content), "total=")
	total, _, _ = strings.Cut(total, "\n")
	microseconds, _ := strconv.ParseInt(total, 10, 64)
	return time.Duration(microseconds) * time.Microsecond
}

// within waits until a condition holds, and returns the time that has passed since a moment. It records a violation if the condition
// doesn't hold within the bound.
func (r *run) within(ctx context.Context, since time.Time, bound time.Duration, kind, what string, condition func() bool) time.Duration {
	if !r.waitUntil(ctx, time.Until(since.Add(bound)), condition) {
		r.recordViolation(kind, "%s: not within %v; %v", what, bound, r.queryGroups(ctx))
	}
	return time.Since(since)
}

// servesNewest reports whether a proxy serves the route that only the newest configuration has.
func (r *run) servesNewest(ctx context.Context, proxy string) bool {
	r.operator.mutex.Lock()
	newest := r.operator.acknowledged
	r.operator.mutex.Unlock()
	attempt := fmt.Sprintf("look-%s-%d", proxy, time.Now().UnixNano())
	return r.tier.Expect(ctx, proxy, versionPrefix(newest)+"a", attempt, http.StatusOK) == nil
}

// probe sends new turns and tool calls to a proxy, each once, until servedShare of them are served over servedTime. It returns
// the time from the restart to the start of that stretch, or records a violation if there is none within RecoveryBound.
func (r *run) probe(ctx context.Context, proxy string, restarted time.Time) time.Duration {
	var since time.Time // start of the present stretch; zero: there is none
	sent, served, total := 0, 0, 0
	var last standin.Outcome
	for time.Since(restarted) < RecoveryBound+servedTime {
		outcome := r.clients.runProgram(ctx, standin.ProgramOptions{Address: proxy, Turns: 1, Tools: 1, Backoff: func(context.Context) error { return errNoRetry }})
		finished := outcome.State == standin.Finished
		total++
		if finished && since.IsZero() {
			since = time.Now()
			r.recordFirstServed(proxy, since.Sub(restarted))
		}
		sent++
		if finished {
			served++
		} else {
			last = outcome
		}
		if float64(served) < servedShare*float64(sent) { // the stretch ends
			sent, served, since = 0, 0, time.Time{}
		}
		if !since.IsZero() && time.Since(since) > servedTime {
			return since.Sub(restarted)
		}
		_ = wait.Sleep(ctx, probeInterval)
	}
	r.recordViolation("RECOVER", "%s does not serve %.0f %% of new turns and calls %v after the last restart, of %d sent; last failure: %s", proxy,
		100*servedShare, RecoveryBound, total, describe(last))
	return time.Since(restarted)
}

// recordFirstServed records the time of the first turn that a proxy served.
func (r *run) recordFirstServed(proxy string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.result.FirstServed[proxy]; !known {
		r.result.FirstServed[proxy] = took
	}
}
