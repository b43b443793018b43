package rollout

import (
	"encoding/json"
	"errors"
	"slices"
	"time"
)

// Resolution and length of a History.
const (
	intervalLength = 250 * time.Millisecond // answers that come within it are counted together
	maxIntervals   = 40                     // the oldest intervals beyond it are merged
)

// History holds the answers of one version on one route in the order in which they came. Proxies keep it during a roll-out and report it
// whole, so that any controller can apply the tests to all answers in order, however long it has led or run. With more or shorter
// intervals the order of older answers is known more exactly, but reports are larger. It is not safe for concurrent use.
type History struct {
	intervals []interval // the oldest first
}

// interval holds the answers that came within intervalLength of its beginning; the oldest one of a History also those from before.
type interval struct {
	began time.Time
	stats Stats
}

// Add adds answers that have come now.
func (h *History) Add(now time.Time, answers *Stats) {
	if answers.Good == 0 && answers.Bad == 0 {
		return
	}
	if last := len(h.intervals) - 1; last >= 0 && now.Sub(h.intervals[last].began) < intervalLength {
		h.intervals[last].stats.Add(*answers)
		return
	}
	h.intervals = append(h.intervals, interval{began: now, stats: *answers})
	if len(h.intervals) > maxIntervals {
		h.intervals[1].stats.Add(h.intervals[0].stats)
		h.intervals[1].began = h.intervals[0].began
		h.intervals = slices.Delete(h.intervals, 0, 1)
	}
}

// Intervals returns the answers with their ages, the oldest first.
func (h *History) Intervals(now time.Time) []Interval {
	var list []Interval
	for i := range h.intervals {
		age := now.Sub(h.intervals[i].began)
		list = append(list, NewInterval(age.Milliseconds(), &h.intervals[i].stats))
	}
	return list
}

// Interval counts the answers of one version on one route that came at about the same time. It is encoded as an array of numbers: age,
// good, bad, and then the bucket and the count of each latency.
type Interval struct {
	AgeMs     int64 // time from its beginning until it was reported, ms
	Good      int64 // complete, successful answers
	Bad       int64 // failures of the version itself, truncated answers, timeouts
	Latencies []LatencyCount
}

// LatencyCount is the number of answers in one latency bucket of Stats.
type LatencyCount struct{ Bucket, Count int64 }

// NewInterval returns the interval that holds all answers of stats.
func NewInterval(ageMs int64, stats *Stats) Interval {
	return Interval{AgeMs: ageMs, Good: stats.Good, Bad: stats.Bad, Latencies: stats.latencyCounts()}
}

// errIntervalLength is the error of an encoded interval with too few numbers or an odd number of those after the first three.
var errIntervalLength = errors.New("roll-out interval: want an age, two counts, and pairs of a latency bucket and a count")

// intervalHeaderNumbers is the number of numbers of an encoded Interval before its latencies.
const intervalHeaderNumbers = 3

// MarshalJSON implements json.Marshaler.
func (i Interval) MarshalJSON() ([]byte, error) {
	numbers := make([]int64, 0, intervalHeaderNumbers+2*len(i.Latencies))
	numbers = append(numbers, i.AgeMs, i.Good, i.Bad)
	for _, latency := range i.Latencies {
		numbers = append(numbers, latency.Bucket, latency.Count)
	}
	return json.Marshal(numbers)
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Interval) UnmarshalJSON(data []byte) error {
	var numbers []int64
	if err := json.Unmarshal(data, &numbers); err != nil {
		return err
	}
	if len(numbers) < intervalHeaderNumbers || (len(numbers)-intervalHeaderNumbers)%2 != 0 {
		return errIntervalLength
	}
	*i = Interval{AgeMs: numbers[0], Good: numbers[1], Bad: numbers[2]}
	for at := intervalHeaderNumbers; at < len(numbers); at += 2 {
		i.Latencies = append(i.Latencies, LatencyCount{Bucket: numbers[at], Count: numbers[at+1]})
	}
	return nil
}

// countLatencies returns the number of answers whose latency was counted, and how many of them are in a bucket or in slower ones.
func (i *Interval) countLatencies(slowFrom int) (all, slow int64) {
	for _, latency := range i.Latencies {
		all += latency.Count
		if latency.Bucket >= int64(slowFrom) {
			slow += latency.Count
		}
	}
	return all, slow
}
