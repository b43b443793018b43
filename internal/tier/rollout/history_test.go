package rollout_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/rollout"
)

// answer returns the stats of one answer.
func answer(good bool, took time.Duration) *rollout.Stats {
	if !good {
		return &rollout.Stats{Bad: 1}
	}
	stats := &rollout.Stats{Good: 1}
	stats.ObserveLatency(took)
	return stats
}

func TestHistory_Answers_KeepTheirOrder(t *testing.T) {
	// Given answers of which some come at about the same time,
	var history rollout.History
	start := time.Unix(1000, 0)
	history.Add(start, answer(true, 100*time.Microsecond))
	history.Add(start.Add(200*time.Millisecond), answer(true, 200*time.Microsecond))
	history.Add(start.Add(time.Second), answer(false, 0))
	history.Add(start.Add(time.Second), &rollout.Stats{Sent: 1})
	history.Add(start.Add(3*time.Second), answer(true, 100*time.Microsecond))
	// then the history has them in order, with their ages.
	want := []rollout.Interval{
		{AgeMs: 4000, Good: 2, Latencies: []rollout.LatencyCount{{Bucket: 0, Count: 1}, {Bucket: 2, Count: 1}}},
		{AgeMs: 3000, Bad: 1},
		{AgeMs: 1000, Good: 1, Latencies: []rollout.LatencyCount{{Bucket: 0, Count: 1}}},
	}
	if diff := cmp.Diff(want, history.Intervals(start.Add(4*time.Second))); diff != "" {
		t.Error(diff)
	}
}

func TestHistory_ManyAnswers_BoundedAndComplete(t *testing.T) {
	// Given a bad answer, many good ones, and one more bad one,
	var history rollout.History
	now := time.Unix(1000, 0)
	history.Add(now, answer(false, 0))
	for range 10_000 {
		now = now.Add(time.Second)
		history.Add(now, answer(true, time.Millisecond))
	}
	history.Add(now.Add(time.Second), answer(false, 0))
	// then the history is short, has all of them, and its last interval has the last answer alone.
	intervals := history.Intervals(now.Add(time.Second))
	var good, bad int64
	for _, interval := range intervals {
		good, bad = good+interval.Good, bad+interval.Bad
	}
	if len(intervals) > 40 || good != 10_000 || bad != 2 {
		t.Errorf("%d intervals with %d good and %d bad answers, want 40 intervals at most with 10000 and 2", len(intervals), good, bad)
	}
	if last := intervals[len(intervals)-1]; last.Good != 0 || last.Bad != 1 {
		t.Errorf("the last interval has %d good and %d bad answers, want the last bad one", last.Good, last.Bad)
	}
}

func TestInterval_Encoding(t *testing.T) {
	interval := rollout.Interval{AgeMs: 1200, Good: 3, Bad: 1, Latencies: []rollout.LatencyCount{{Bucket: 12, Count: 2}, {Bucket: 13, Count: 1}}}
	encoded, err := json.Marshal(interval)
	if err != nil || string(encoded) != "[1200,3,1,12,2,13,1]" {
		t.Fatalf("got %s and error %v, want [1200,3,1,12,2,13,1]", encoded, err)
	}
	var read rollout.Interval
	if err := json.Unmarshal(encoded, &read); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(interval, read); diff != "" {
		t.Error(diff)
	}
	for _, malformed := range []string{"[]", "[1,2]", "[1,2,3,4]", `{"good":1}`, `["a",1,2]`} {
		if err := json.Unmarshal([]byte(malformed), &read); err == nil {
			t.Errorf("%s is read as %+v, want an error", malformed, read)
		}
	}
}
