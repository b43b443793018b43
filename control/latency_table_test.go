package control

import (
	"testing"
)

func TestLatencyTable_CensoredCall_SpreadsOverSlowerBuckets(t *testing.T) {
	upperBounds := []float64{1, 2, 4, 8}
	table := tableOf(upperBounds, map[float64]float64{1: 6, 4: 3, 8: 1})
	table.observeCensored(0, upperBounds, 1)
	wantNear(t, "4 s", table.counts[2], 3.75)
	wantNear(t, "8 s", table.counts[3], 1.25)
	wantNear(t, "all", table.total, 11)
	table.decay(tableHalfLife)
	wantNear(t, "after a half-life", table.total, 5.5)
}

// A message that ran before its time-out may be answered immediately when it is sent again. Such an answer doesn't count as a call time.
func TestLatencyTable_AnswerToARepeat_IsNotObserved(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(5, 300*ms)
	harness.step(harness.arrive(1, 0))
	harness.now += 8 * 300 * ms
	harness.step(outcome(1, 0, 1, TimedOut))
	before := harness.sender.endpoints[1].own.counts[0]
	harness.now += 2 * ms
	if harness.step(outcome(1, 1, 1, Delivered)); harness.sender.endpoints[1].own.counts[0] > before || before > 0 {
		t.Errorf("the fastest bucket counts %v calls, want none", harness.sender.endpoints[1].own.counts[0])
	}
}
