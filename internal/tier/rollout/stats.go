package rollout

import (
	"math"
	"time"
)

// LatencyBucketCount is the number of latency buckets of Stats.
const LatencyBucketCount = 40

// The latency buckets have exponentially growing upper bounds.
const (
	firstBucketBound   = 100 * time.Microsecond // upper bound of the first bucket
	bucketsPerDoubling = 2                      // number of buckets after which the bound has doubled
)

// Stats counts the requests that proxies sent to one version on one route, and their answers. Proxies send it to the leader.
type Stats struct {
	Sent           int64                     `json:"sent"` // requests sent
	Good           int64                     `json:"good"` // complete, successful answers
	Bad            int64                     `json:"bad"`  // failures of the version itself, truncated answers, timeouts
	LatencyBuckets [LatencyBucketCount]int64 `json:"paces"`
}

// ObserveLatency counts the latency of a good answer; for a stream, that is the time per event.
func (s *Stats) ObserveLatency(took time.Duration) {
	bucket := 0
	if took > firstBucketBound {
		bucket = int(math.Ceil(bucketsPerDoubling * math.Log2(float64(took)/float64(firstBucketBound))))
	}
	s.LatencyBuckets[min(bucket, LatencyBucketCount-1)]++
}

// Add adds the counts of other.
func (s *Stats) Add(other Stats) {
	s.Sent += other.Sent
	s.Good += other.Good
	s.Bad += other.Bad
	for i := range other.LatencyBuckets {
		s.LatencyBuckets[i] += other.LatencyBuckets[i]
	}
}

// since returns the differences between these counts and earlier values of the same counts.
func (s *Stats) since(earlier Stats) Stats {
	difference := Stats{Sent: s.Sent - earlier.Sent, Good: s.Good - earlier.Good, Bad: s.Bad - earlier.Bad}
	for i := range difference.LatencyBuckets {
		difference.LatencyBuckets[i] = s.LatencyBuckets[i] - earlier.LatencyBuckets[i]
	}
	return difference
}

// includes reports whether no count is lower than that of other. If one is, other is the newer of two states of the same counts.
func (s *Stats) includes(other Stats) bool {
	return s.Sent >= other.Sent && s.Good >= other.Good && s.Bad >= other.Bad && s.latencyCount() >= other.latencyCount()
}

// latencyCounts lists the latency buckets that have answers.
func (s *Stats) latencyCounts() []LatencyCount {
	var list []LatencyCount
	for bucket, count := range s.LatencyBuckets {
		if count != 0 {
			list = append(list, LatencyCount{Bucket: int64(bucket), Count: count})
		}
	}
	return list
}

// latencyCount returns the number of answers whose latency was counted.
func (s *Stats) latencyCount() int64 {
	var sum int64
	for _, count := range s.LatencyBuckets {
		sum += count
	}
	return sum
}

// medianBucket returns the latency bucket of the median answer.
func (s *Stats) medianBucket() int {
	half := (s.latencyCount() + 1) / 2
	for bucket, count := range s.LatencyBuckets {
		if half -= count; half <= 0 {
			return bucket
		}
	}
	return LatencyBucketCount - 1
}

// countFromBucket returns the number of answers in a bucket and in all slower buckets.
func (s *Stats) countFromBucket(bucket int) int64 {
	var sum int64
	for _, count := range s.LatencyBuckets[min(bucket, LatencyBucketCount):] {
		sum += count
	}
	return sum
}

// StatsByRoute holds the stats of one version by route.
type StatsByRoute map[string]Stats

// Add adds the stats of a route.
func (s StatsByRoute) Add(route string, stats Stats) {
	sum := s[route]
	sum.Add(stats)
	s[route] = sum
}

// Total returns the sum of the stats of all routes.
func (s StatsByRoute) Total() Stats {
	var sum Stats
	for _, stats := range s {
		sum.Add(stats)
	}
	return sum
}
