package controller

import (
	"maps"
	"sync"
	"time"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wire"
)

// maxReportSilence is how long the counts of a proxy process are kept after its last report. Each start of a proxy is a new process,
// and the counts of ended ones would otherwise stay forever; a process that reports again restores its counts. The time exceeds the
// duration of roll-outs. A longer one keeps the counts of idle proxies in the baseline, and takes memory for ended processes.
const maxReportSilence = 15 * time.Minute

// statsTable holds the newest report of each proxy process. It is safe for concurrent use.
type statsTable struct {
	mutex   sync.Mutex
	sources map[string]proxyReport // by proxy process; its counts only grow, so a report replaces the one before
}

// proxyReport is the newest report of a proxy process.
type proxyReport struct {
	at       time.Duration // when it arrived, by the monotonic clock
	versions []wire.VersionStats
}

func newStatsTable() *statsTable { return &statsTable{sources: map[string]proxyReport{}} }

// replace records a report in place of the proxy's last one.
func (t *statsTable) replace(now time.Duration, report wire.VersionStatsReport) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sources[report.Source] = proxyReport{at: now, versions: report.Versions}
	maps.DeleteFunc(t.sources, func(_ string, known proxyReport) bool { return now-known.at > maxReportSilence })
}

// each calls visit for each report of a service's version. visit must not call methods of the table.
func (t *statsTable) each(service, version string, visit func(at time.Duration, stats *wire.VersionStats)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, source := range t.sources {
		for i := range source.versions {
			if source.versions[i].Service == service && source.versions[i].Version == version {
				visit(source.at, &source.versions[i])
			}
		}
	}
}

// total sums up all stats of a service's version, by route.
func (t *statsTable) total(service, version string) rollout.StatsByRoute {
	sums := rollout.StatsByRoute{}
	t.each(service, version, func(_ time.Duration, stats *wire.VersionStats) { sums.Add(stats.Route, stats.Stats) })
	return sums
}

// duringRollout sums up the stats of the target during one roll-out, by route. knownFor is the longest time for which any proxy has
// known of the roll-out; 0: none has reported.
func (t *statsTable) duringRollout(current *rollout.Rollout, now time.Duration) (sums rollout.StatsByRoute, knownFor time.Duration) {
	sums = rollout.StatsByRoute{}
	t.each(current.Service, current.Target, func(at time.Duration, stats *wire.VersionStats) {
		if stats.Order == current.Index {
			sums.Add(stats.Route, stats.Stats)
			knownFor = max(knownFor, now-at+time.Duration(stats.AgeMs)*time.Millisecond)
		}
	})
	return sums, knownFor
}
