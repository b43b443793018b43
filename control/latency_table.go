package control

import (
	"math"
	"sort"
	"time"
)

const (
	// firstBucketBound is the upper bound of the first bucket in seconds; faster calls share it.
	firstBucketBound = 0.010
	// bucketRatio is the ratio of one bucket's bound to the one before: tables tell times apart to a quarter.
	bucketRatio = 1.25
	// tableHalfLife is the half-life of a count in a table. Longer is steadier, and slower to notice that a destination has changed.
	tableHalfLife = 20 * time.Second
	// minTableCalls is how many decayed calls make a table that decisions may go by.
	minTableCalls = 4.0
	// minCensoredTail is the count in the slower buckets below which a call that was cut off is not spread over them.
	minCensoredTail = 0.01
)

// latencyTable is a decaying histogram of call times with logarithmic buckets. Its buckets are those of Sender.bounds, which callers
// pass as bounds; all tables of one sender have the same.
type latencyTable struct {
	counts    []float64     // answered calls, by bucket
	total     float64       // answered and failed
	failed    float64       // as slow as the slowest bucket, but known at once
	decayedAt time.Duration // the time that the counts stand for
}

// bucketBounds returns the upper bounds of buckets for times up to longest, in seconds.
func bucketBounds(longest float64) []float64 {
	var bounds []float64
	for bound := firstBucketBound; ; bound *= bucketRatio {
		bounds = append(bounds, bound)
		if bound > longest {
			return bounds
		}
	}
}

// decay ages the counts to now.
func (t *latencyTable) decay(now time.Duration) {
	if now > t.decayedAt {
		factor := math.Exp2(-float64(now-t.decayedAt) / float64(tableHalfLife))
		for i := range t.counts {
			t.counts[i] *= factor
		}
		t.total, t.failed, t.decayedAt = t.total*factor, t.failed*factor, now
	}
}

// observe counts a call that was answered after that many seconds.
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

// observeCensored counts a call that was cut off after that many seconds (a right-censored observation): its one count is spread over
// the slower buckets in proportion to what they hold, or enters the next slower one where they are empty.
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

// quantile is the bound, in seconds, of the bucket in which the share q of the answered calls is reached. Failures must not make a
// message look hopeless, or a destination that was down would get no probe any more.
func (t *latencyTable) quantile(bounds []float64, q float64) float64 {
	sum := 0.0
	for i, count := range t.counts {
		if sum += count; sum >= q*(t.total-t.failed) {
			return bounds[i]
		}
	}
	return bounds[len(bounds)-1]
}
