package rollout

import (
	"math"
	"time"
)

// LatencyBucketCount is the number of classes into which answers fall by the time that they took. Each is longer by the factor of
// half a power of two; the first holds all below 0.1 ms.
const LatencyBucketCount = 40

const (
	firstBucketBound   = 100 * time.Microsecond
	bucketsPerDoubling = 2
)

// Stats counts what proxies have seen of one version on one route.
type Stats struct {
	Sent           int64                     `json:"sent"` // requests sent
	Good           int64                     `json:"good"` // whole answers with success
	Bad            int64                     `json:"bad"`  // failures of its own, broken answers, silence
	LatencyBuckets [LatencyBucketCount]int64 `json:"paces"`
}

// ObserveLatency counts the time that a good answer took; of a stream the time for each event.
func (t *Stats) ObserveLatency(took time.Duration) {
	step := 0
	if took > firstBucketBound {
		step = int(math.Ceil(bucketsPerDoubling * math.Log2(float64(took)/float64(firstBucketBound))))
	}
	t.LatencyBuckets[min(step, LatencyBucketCount-1)]++
}

// Add adds another tally.
func (t *Stats) Add(o Stats) {
	t.Sent += o.Sent
	t.Good += o.Good
	t.Bad += o.Bad
	for i := range o.LatencyBuckets {
		t.LatencyBuckets[i] += o.LatencyBuckets[i]
	}
}

// since returns what a tally counts beyond an earlier one.
func (t *Stats) since(o Stats) Stats {
	d := Stats{Sent: t.Sent - o.Sent, Good: t.Good - o.Good, Bad: t.Bad - o.Bad}
	for i := range d.LatencyBuckets {
		d.LatencyBuckets[i] = t.LatencyBuckets[i] - o.LatencyBuckets[i]
	}
	return d
}

// includes tells whether a tally counts all that another one does.
func (t *Stats) includes(o Stats) bool {
	return t.Sent >= o.Sent && t.Good >= o.Good && t.Bad >= o.Bad && t.latencyCount() >= o.latencyCount()
}

// latencyCount is the number of answers whose time was counted.
func (t *Stats) latencyCount() int64 {
	var sum int64
	for _, count := range t.LatencyBuckets {
		sum += count
	}
	return sum
}

// medianBucket is the class of the middle answer.
func (t *Stats) medianBucket() int {
	half := (t.latencyCount() + 1) / 2
	for step, count := range t.LatencyBuckets {
		if half -= count; half <= 0 {
			return step
		}
	}
	return LatencyBucketCount - 1
}

// countFromBucket counts the answers of a class and all longer ones.
func (t *Stats) countFromBucket(step int) int64 {
	var sum int64
	for _, count := range t.LatencyBuckets[min(step, LatencyBucketCount):] {
		sum += count
	}
	return sum
}
