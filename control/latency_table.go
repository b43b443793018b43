package control

import (
	"math"
	"sort"
	"time"
)

const (
	// firstBucketBound is the upper bound, in seconds, of the first bucket, which counts all calls up to this time.
	firstBucketBound = 0.010
	// bucketRatio is the ratio of each bucket's bound to the one before: tables resolve times to 25 %.
	bucketRatio = 1.25
	// tableHalfLife is the half-life of a count in a table. A longer one gives steadier figures, but is slower to show that a destination
	// has changed.
	tableHalfLife = 20 * time.Second
	// minTableCalls is the number of calls, after decay, that a table needs before decisions use it.
	minTableCalls = 4.0
	// minCensoredTail is the count in the slower buckets below which a censored call is not spread over them.
	minCensoredTail = 0.01
)

// latencyTable is a decaying histogram of call times with logarithmic buckets. The bucket bounds are those of Sender.bounds, the same for
// all tables of a sender; callers pass them as bounds.
type latencyTable struct {
	counts    []float64     // answered calls, by bucket
	total     float64       // answered and failed calls
	failed    float64       // failed calls: they cost the time of the slowest bucket, but no time-out waits for them
	decayedAt time.Duration // the time up to which the counts have decayed
}

// bucketBounds returns the upper bounds, in seconds, of buckets for times up to longest.
func bucketBounds(longest float64) []float64 {
	var bounds []float64
	for bound := firstBucketBound; ; bound *= bucketRatio {
		bounds = append(bounds, bound)
		if bound > longest {
			return bounds
		}
	}
}

// decay applies the exponential decay up to now.
func (t *latencyTable) decay(now time.Duration) {
	if now > t.decayedAt {
		factor := math.Exp2(-float64(now-t.decayedAt) / float64(tableHalfLife))
		for i := range t.counts {
			t.counts[i] *= factor
		}
		t.total, t.failed, t.decayedAt = t.total*factor, t.failed*factor, now
	}
}

// observe counts a call that was answered after the given seconds.
func (t *latencyTable) observe(now time.Duration, bounds []float64, seconds float64) {
	t.decay(now)
	t.counts[min(sort.SearchFloat64s(bounds, seconds), len(bounds)-1)]++
	t.total++
}

// observeFailure counts a call that failed.
func (t *latencyTable) observeFailure(now time.Duration) {
	t.decay(now)
	t.failed, t.total = t.failed+1, t.total+1
}

// observeCensored counts a call that was cut off after the given seconds (a right-censored observation). Its count of one is spread over
// the slower buckets in proportion to their counts, or goes to the first of them if they are empty.
func (t *latencyTable) observeCensored(now time.Duration, bounds []float64, seconds float64) {
	t.decay(now)
	from, tail := min(sort.SearchFloat64s(bounds, seconds)+2, len(bounds)-1), 0.0
	for _, count := range t.counts[from:] {
		tail += count
	}
	for i := from; i < len(bounds) && tail > minCensoredTail; i++ {
		t.counts[i] += t.counts[i] / tail
	}
	if tail <= minCensoredTail {
		t.counts[from]++
	}
	t.total++
}

// quantile returns the upper bound, in seconds, of the bucket that contains quantile q of the answered calls. Failed calls are left out:
// with them, messages to a destination that was down would appear to have too little time left, and no probe would be sent.
func (t *latencyTable) quantile(bounds []float64, q float64) float64 {
	sum := 0.0
	for i, count := range t.counts {
		if sum += count; sum >= q*(t.total-t.failed) {
			return bounds[i]
		}
	}
	return bounds[len(bounds)-1]
}
