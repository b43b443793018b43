package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

func TestStatsTable_ReportsMissing_EvidenceIncomplete(t *testing.T) {
	const order, proxies = 7, 3
	reportOf := func(age time.Duration, sent int64) []wire.VersionStats {
		return []wire.VersionStats{{Service: "lm", Route: "r", Version: "v2", Order: order, AgeMs: age.Milliseconds(), Stats: rollout.Stats{Sent: sent}}}
	}
	type arrival struct {
		at     time.Duration
		source string
		age    time.Duration // of the roll-out, as the proxy knows it
	}
	tests := []struct {
		name     string
		arrivals []arrival
		proxies  int
		now      time.Duration
		want     bool
	}{
		{"no report yet", nil, proxies, time.Second, false},
		{"no report for long", nil, proxies, time.Minute, false},
		{"no report, and no proxy runs", nil, 0, time.Second, true},
		{"heard from the beginning", []arrival{{time.Second, "a", 200 * time.Millisecond}}, proxies, 1500 * time.Millisecond, true},
		{"one proxy after a restart", []arrival{{time.Second, "a", 9 * time.Second}}, proxies, 1500 * time.Millisecond, false},
		{"the same proxy twice", []arrival{{time.Second, "a", 9 * time.Second}, {1200 * time.Millisecond, "a", 9200 * time.Millisecond}}, proxies,
			1500 * time.Millisecond, false},
		{"all proxies after a restart", []arrival{{time.Second, "a", 9 * time.Second}, {time.Second, "b", 9 * time.Second}, {time.Second, "c", 9 * time.Second}},
			proxies, 1500 * time.Millisecond, true},
		{"two proxies for long", []arrival{{time.Second, "a", 9 * time.Second}, {2 * time.Second, "b", 10 * time.Second}, {3 * time.Second, "a", 11 * time.Second}},
			proxies, 3500 * time.Millisecond, true},
		{"silence since", []arrival{{time.Second, "a", 0}, {time.Second, "b", 0}, {time.Second, "c", 0}}, proxies, 4 * time.Second, false},
		{"silence, and no proxy runs", []arrival{{time.Second, "a", 0}}, 0, 4 * time.Second, true},
		{"a report after silence", []arrival{{time.Second, "a", 0}, {time.Second, "b", 0}, {time.Second, "c", 0}, {8 * time.Second, "a", 7 * time.Second}}, proxies,
			8500 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newStatsTable()
			for number, arrived := range test.arrivals {
				table.replace(arrived.at, wire.VersionStatsReport{Source: arrived.source, Versions: reportOf(arrived.age, int64(number))})
			}
			current := rollout.Rollout{Proposal: rollout.Proposal{Service: "lm", Target: "v2"}, Index: order}
			evidence, _ := table.duringRollout(&current, test.now, test.proxies)
			if evidence.Complete != test.want {
				t.Errorf("complete: %v, want %v", evidence.Complete, test.want)
			}
		})
	}
}

func TestStatsTable_AnswersOfProxies_InTheOrderOfTheirTimes(t *testing.T) {
	const order = 7
	table := newStatsTable()
	current := rollout.Rollout{Proposal: rollout.Proposal{Service: "lm", Target: "v2"}, Index: order}
	report := func(at time.Duration, source string, stats rollout.Stats, history ...rollout.Interval) {
		table.replace(at, wire.VersionStatsReport{Source: source, Versions: []wire.VersionStats{
			{Service: "lm", Route: "r", Version: "v2", Order: order, AgeMs: 9000, Stats: stats, History: history}}})
	}
	// Given reports of two proxies with histories, and of one of an earlier version without,
	report(10*time.Second, "a", rollout.Stats{Good: 1, Bad: 2}, rollout.Interval{AgeMs: 4000, Good: 1}, rollout.Interval{AgeMs: 1000, Bad: 2})
	report(10500*time.Millisecond, "b", rollout.Stats{Good: 7}, rollout.Interval{AgeMs: 3000, Good: 3}, rollout.Interval{AgeMs: 2000, Good: 4})
	report(10500*time.Millisecond, "c", rollout.Stats{Good: 5, Bad: 6})
	// then the answers are in the order in which they came, and those without a history came first.
	evidence, _ := table.duringRollout(&current, 11*time.Second, 3)
	var got []string
	for _, answer := range evidence.Answers() {
		got = append(got, fmt.Sprint(answer.At, " good ", answer.Good, " bad ", answer.Bad))
	}
	want := []string{"1.5s good 5 bad 6", "6s good 1 bad 0", "7.5s good 3 bad 0", "8.5s good 4 bad 0", "9s good 0 bad 2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if sum := evidence.Totals.Total(); sum.Good != 13 || sum.Bad != 8 {
		t.Errorf("%d good and %d bad answers in all, want 13 and 8", sum.Good, sum.Bad)
	}
}

func TestStatsTable_ProxyReportsAfterGap_Counted(t *testing.T) {
	table := newStatsTable()
	current := rollout.Rollout{Proposal: rollout.Proposal{Service: "lm", Target: "v2"}, Index: 7}
	// Given two proxies that report each second, and a gap of 3 s in the reports of one,
	for second := range 10 {
		now := time.Duration(second) * time.Second
		table.replace(now, wire.VersionStatsReport{Source: "a"})
		if second < 3 || second > 5 {
			table.replace(now, wire.VersionStatsReport{Source: "b"})
		}
	}
	// then one report came after a gap.
	if evidence, _ := table.duringRollout(&current, 10*time.Second, 2); evidence.AfterGap != 1 {
		t.Errorf("%d reports came after a gap, want 1", evidence.AfterGap)
	}
}
