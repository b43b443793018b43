package controller

import (
	"maps"
	"sync"
	"time"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wire"
)

// maxReportSilence is the time after its last report for which the counts of a proxy's process are kept. Each start of a proxy counts
// as another process, so that those that have ended would stay for good; one that runs has its counts back with its next report. It
// exceeds any roll-out. A longer one keeps the counts of idle proxies in the baseline, and takes memory for those that have ended.
const maxReportSilence = 15 * time.Minute

// statsTable holds the newest report of each proxy process. It is safe for concurrent use.
type statsTable struct {
	mutex   sync.Mutex
	sources map[string]proxyReport // by proxy process; its counts only grow, so a report replaces the one before
}

// proxyReport is what one proxy has reported.
type proxyReport struct {
	at       time.Duration // when it arrived, by the steady clock
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

// each calls visit with what each proxy has reported of a service's version. visit must not call the table.
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

// duringRollout sums up the stats of the target during one roll-out, by route. knownFor is for how long the first proxy to learn
// of the roll-out has known of it; 0: none has reported.
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
