package controller

import (
	"maps"
	"sync"
	"time"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wire"
)

// maxReportSilence is how long the counts of a proxy process are kept after its last report. Each start of a proxy is a new process,
// and the counts of ended ones would otherwise stay forever; a process that reports again restores its counts, and each that runs does so
// during a roll-out. A longer time keeps the counts of idle proxies in the baseline, and takes memory for ended processes.
const maxReportSilence = 15 * time.Minute

// maxReportGap is the longest time between two reports of a proxy during a roll-out. Proxies repeat theirs each second; a longer gap
// means that the proxy or this process was cut off, or stood still.
const maxReportGap = reportTimeout

// statsTable holds the newest report of each proxy process. It is safe for concurrent use.
type statsTable struct {
	mutex        sync.Mutex
	sources      map[string]proxyReport // by proxy process; its counts only grow, so a report replaces the one before
	lastReportAt time.Duration
	heardSince   time.Duration // since when reports have arrived without a gap
	afterGap     uint64        // reports of known processes that came after a gap
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
	if len(t.sources) == 0 || now-t.lastReportAt > maxReportGap {
		t.heardSince = now
	}
	if known, ok := t.sources[report.Source]; ok && now-known.at > maxReportGap {
		t.afterGap++
	}
	t.lastReportAt = now
	t.sources[report.Source] = proxyReport{at: now, versions: report.Versions}
	maps.DeleteFunc(t.sources, func(_ string, known proxyReport) bool { return now-known.at > maxReportSilence })
}

// each calls visit for each report of a service's version. The caller must hold the mutex.
func (t *statsTable) each(service, version string, visit func(at time.Duration, stats *wire.VersionStats)) {
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
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sums := rollout.StatsByRoute{}
	t.each(service, version, func(_ time.Duration, stats *wire.VersionStats) { sums.Add(stats.Route, stats.Stats) })
	return sums
}

// duringRollout returns what proxies have reported of the target during one roll-out. proxies is the number of proxies that run. knownFor is
// the longest time for which any proxy has known of the roll-out; 0: none has reported.
func (t *statsTable) duringRollout(current *rollout.Rollout, now time.Duration, proxies int) (evidence rollout.Evidence, knownFor time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	evidence.Totals = rollout.StatsByRoute{}
	t.each(current.Service, current.Target, func(at time.Duration, stats *wire.VersionStats) {
		if stats.Order == current.Index {
			evidence.Totals.Add(stats.Route, stats.Stats)
			evidence.Histories = append(evidence.Histories, reportedHistory(at, stats))
			knownFor = max(knownFor, now-at+time.Duration(stats.AgeMs)*time.Millisecond)
		}
	})
	evidence.Complete = t.isComplete(now, knownFor, proxies)
	evidence.AfterGap = t.afterGap
	return evidence, knownFor
}

// reportedHistory returns the history in a report that arrived at a time. The counts of a proxy that reports none are one interval.
func reportedHistory(at time.Duration, stats *wire.VersionStats) rollout.ReportedHistory {
	intervals := stats.History
	if len(intervals) == 0 {
		intervals = []rollout.Interval{rollout.NewInterval(stats.AgeMs, &stats.Stats)}
	}
	return rollout.ReportedHistory{Route: stats.Route, ReportedAt: at, Intervals: intervals}
}

// isComplete reports whether the newest reports of all proxies have arrived: reports have come without a gap until now, and since the
// roll-out's beginning, or from as many processes as there are proxies, or for as long as a report may take. The caller must hold the
// mutex.
func (t *statsTable) isComplete(now, knownFor time.Duration, proxies int) bool {
	if proxies == 0 {
		return true
	}
	if len(t.sources) == 0 || now-t.lastReportAt > maxReportGap {
		return false
	}
	heardFor := now - t.heardSince
	if heardFor >= reportTimeout || knownFor > 0 && knownFor <= heardFor+reportDelay {
		return true
	}
	heard := 0
	for _, source := range t.sources {
		if source.at >= t.heardSince {
			heard++
		}
	}
	return heard >= proxies
}
