package controller

import (
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wire"
)

func TestStatsTable_ProxyEnded_CountsExpire(t *testing.T) {
	// Given a proxy that restarts many times and reports as a new process each time, and another one that keeps running,
	table := newStatsTable()
	report := func(now time.Duration, source string, sent int64) {
		table.replace(now, wire.VersionStatsReport{Source: source, Versions: []wire.VersionStats{
			{Service: "lm", Route: "r", Version: "v1", Stats: rollout.Stats{Sent: sent}}}})
	}
	now := time.Duration(0)
	for start := range 1000 {
		report(now, time.Duration(start).String(), 1)
		report(now, "steady", int64(start))
		now += time.Minute
	}
	// then only recent reports are kept, including that of the running proxy.
	if got := len(table.sources); got > 20 {
		t.Errorf("%d processes are kept, want 20 at most", got)
	}
	if got := table.total("lm", "v1")["r"].Sent; got < 999 || got > 999+20 {
		t.Errorf("%d requests are counted, want 999 to 1019", got)
	}
}
