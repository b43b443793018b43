package controller

import (
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/wire"
)

func TestStatsTable_ProxyEnded_ItsCountsLeaveTheMemory(t *testing.T) {
	// Given a proxy that reports under a new name at each of many starts, beside one that goes on,
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
	// then only what reported lately is kept, with the counts of the one that goes on.
	if got := len(table.sources); got > 20 {
		t.Errorf("%d processes are known", got)
	}
	if got := table.total("lm", "v1")["r"].Sent; got < 999 || got > 999+20 {
		t.Errorf("%d requests are counted", got)
	}
}
