package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/control"
)

// outcome is how a message ended for its client.
type outcome uint8

const (
	outcomeDelivered outcome = iota
	outcomeAbandoned         // failed by a relay, or refused Clients.MaxAttempts times
	outcomeExpired           // past its deadline
)

// Series is a count over time, with one value per bucket.
type Series []float64

// Stats collects counts during a run, in buckets of equal length.
type Stats struct {
	Bucket      time.Duration
	Arrived     Series // messages
	Delivered   Series // messages
	Lost        Series // messages that were abandoned or expired
	Refused     Series // submissions that a relay refused
	Resubmitted Series // submissions after a refusal
	Calls       Series // calls that were sent
	Throttled   Series // throttled calls
	Failed      Series // calls that failed for reasons other than throttling
	Pending     Series // messages that are pending at the end of each bucket

	world         *World
	bucket        int
	pending       int
	valueEarned   float64
	valuePossible float64 // value of all messages
	outcomes      [3]int
	latencies     []*hdrhistogram.Histogram // by class, in µs from creation to delivery
}

const bucketCount = 150

func newStats(w *World) *Stats {
	length := time.Duration(w.Length)
	for _, c := range w.Classes {
		length = max(length, time.Duration(w.Length)+time.Duration(c.Deadline)+5*time.Second)
	}
	s := &Stats{world: w, Bucket: max(length/bucketCount, time.Millisecond)}
	for _, l := range s.series() {
		*l.Series = make(Series, bucketCount+2)
	}
	for range w.Classes {
		s.latencies = append(s.latencies, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return s
}

// namedSeries is a series with the name under which results store it.
type namedSeries struct {
	Name   string
	Series *Series
}

func (s *Stats) series() []namedSeries {
	return []namedSeries{{"came", &s.Arrived}, {"delivered", &s.Delivered}, {"lost", &s.Lost}, {"refused", &s.Refused}, {"handed in again", &s.Resubmitted},
		{"calls", &s.Calls}, {"calls turned away", &s.Throttled}, {"calls failed", &s.Failed}, {"open", &s.Pending}}
}

// advanceTo completes the buckets before that of t, a time since the start.
func (s *Stats) advanceTo(t time.Duration) {
	for b := min(int(t/s.Bucket), bucketCount+1); s.bucket < b; s.bucket++ {
		s.Pending[s.bucket] = float64(s.pending)
	}
}

func (s *Stats) recordArrival(class int) {
	s.Arrived[s.bucket]++
	s.pending++
	s.valuePossible += s.world.Classes[class].Value
}

func (s *Stats) recordResubmission() { s.Resubmitted[s.bucket]++ }
func (s *Stats) recordRefusal()      { s.Refused[s.bucket]++ }
func (s *Stats) recordCall()         { s.Calls[s.bucket]++ }

func (s *Stats) recordResult(r control.Result) {
	switch r {
	case control.Delivered:
	case control.Throttled:
		s.Throttled[s.bucket]++
	default:
		s.Failed[s.bucket]++
	}
}

// recordOutcome records how a message ended. The value of a delivery falls linearly after the latency target, to half at the deadline.
func (s *Stats) recordOutcome(c *Class, m *message, now time.Duration, how outcome) {
	s.pending--
	s.outcomes[how]++
	if how != outcomeDelivered {
		s.Lost[s.bucket]++
		return
	}
	s.Delivered[s.bucket]++
	took := now - m.createdAt
	_ = s.latencies[m.class].RecordValue(int64(took / time.Microsecond))
	late := float64(took-time.Duration(c.LatencyTarget)) / float64(max(c.Deadline-c.LatencyTarget, 1))
	switch {
	case late <= 0:
		s.valueEarned += c.Value
	case late <= 1:
		s.valueEarned += c.Value * (1 - late/2)
	}
}
