package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/control"
)

// outcome is how a message was over for its client.
type outcome uint8

const (
	outcomeDelivered outcome = iota
	outcomeAbandoned         // by a relay, or by its client after its tries
	outcomeExpired           // its time was up
)

// Series is a count over time, in the run's buckets.
type Series []float64

// Stats is what is counted while a world is played.
type Stats struct {
	Bucket      time.Duration
	Arrived     Series // messages
	Delivered   Series // delivered within their time
	Lost        Series // given up or late
	Refused     Series // refusals
	Resubmitted Series // handed in again
	Calls       Series // calls
	Throttled   Series // calls turned away
	Failed      Series // calls that came to nothing otherwise
	Pending     Series // messages that are not over, at the end of each bucket

	world         *World
	bucket        int
	pending       int
	valueEarned   float64 // earned
	valuePossible float64 // that could be
	outcomes      [3]int
	latencies     []*hdrhistogram.Histogram // µs from birth to delivery
}

const bucketCount = 150

func newStats(w *World) *Stats {
	length := time.Duration(w.Length)
	for _, c := range w.Classes {
		length = max(length, time.Duration(w.Length)+time.Duration(c.Deadline)+5*time.Second)
	}
	s := &Stats{world: w, Bucket: max(length/bucketCount, time.Millisecond)}
	for _, l := range s.series() {
		*l.Line = make(Series, bucketCount+2)
	}
	for range w.Classes {
		s.latencies = append(s.latencies, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return s
}

// namedSeries is a line with its name.
type namedSeries struct {
	Name string
	Line *Series
}

func (s *Stats) series() []namedSeries {
	return []namedSeries{{"came", &s.Arrived}, {"delivered", &s.Delivered}, {"lost", &s.Lost}, {"refused", &s.Refused}, {"handed in again", &s.Resubmitted},
		{"calls", &s.Calls}, {"calls turned away", &s.Throttled}, {"calls failed", &s.Failed}, {"open", &s.Pending}}
}

// advanceTo moves on to a time since the start.
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

// recordOutcome counts an end: past its aim a message's worth falls evenly, to half at its deadline.
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

// Latency is of one class, in milliseconds.
type Latency struct {
	Class   string         `cbor:"Class"`
	P50     float64        `cbor:"P50"`
	P90     float64        `cbor:"P90"`
	P99     float64        `cbor:"P99"`
	Max     float64        `cbor:"Max"`
	Buckets []HistogramBin `cbor:"Buckets,omitempty"`
}

// HistogramBin is how many took up to so many milliseconds.
type HistogramBin struct {
	UpperBound float64 `cbor:"To"`
	Count      int64   `cbor:"Count"`
}

// Result is what a run has come to. Its fields' names are those of its files.
type Result struct {
	World            string            `cbor:"World"`
	Policy           string            `cbor:"Policy"`
	Seed             uint64            `cbor:"Seed"`
	Hash             string            `cbor:"Hash"` // of all decisions
	Messages         int               `cbor:"Messages"`
	Delivered        int               `cbor:"Delivered"`
	Abandoned        int               `cbor:"GivenUp"`
	Expired          int               `cbor:"Late"`
	Value            float64           `cbor:"Worth"` // share of all that could be earned
	Refused          int               `cbor:"Refused"`
	Resubmitted      int               `cbor:"Again"`
	Calls            int               `cbor:"Calls"`
	Throttled        int               `cbor:"Turned"` // calls turned away as full
	Failed           int               `cbor:"Failed"`
	Turns            uint64            `cbor:"Turns"`
	Endpoints        int               `cbor:"Endpoints"`
	Relays           int               `cbor:"Relays"`
	Fleet            FleetStats        `cbor:"Fleet"` // what the relays do together
	Latencies        []Latency         `cbor:"Latencies"`
	ViolationCounts  map[string]int    `cbor:"Broken,omitempty"`
	ViolationSamples []string          `cbor:"Breaches,omitempty"`
	Bucket           time.Duration     `cbor:"Bucket"`
	Series           map[string]Series `cbor:"Lines"`
	WallTime         time.Duration     `cbor:"Took"`   // on the clock of the machine; no part of what is compared
	HeapBytes        uint64            `cbor:"Memory"` // bytes that the run held at its end, where that was measured
}

func (r *Run) result() *Result {
	s := r.Stats
	s.advanceTo(time.Duration(1<<62 - 1))
	res := &Result{World: r.World.Name, Seed: r.World.Seed, Hash: r.Hash(), Messages: len(r.messages), Delivered: s.outcomes[outcomeDelivered], Abandoned: s.outcomes[outcomeAbandoned],
		Expired: s.outcomes[outcomeExpired], Turns: r.turns, Endpoints: len(r.endpoints), Relays: len(r.relays), Bucket: s.Bucket, Series: map[string]Series{}}
	if s.valuePossible > 0 {
		res.Value = s.valueEarned / s.valuePossible
	}
	sum := func(l Series) (n int) {
		for _, v := range l {
			n += int(v)
		}
		return n
	}
	res.Refused, res.Resubmitted, res.Calls, res.Throttled, res.Failed = sum(s.Refused), sum(s.Resubmitted), sum(s.Calls), sum(s.Throttled), sum(s.Failed)
	res.Fleet = r.fleet.result(r, res.Throttled)
	for _, l := range s.series() {
		res.Series[l.Name] = *l.Line
	}
	for i, h := range s.latencies {
		ms := func(q float64) float64 { return float64(h.ValueAtPercentile(q)) / 1000 }
		l := Latency{Class: r.World.Classes[i].Name, P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
		bars := h.Distribution()
		for to, from := int64(1000), int64(0); from < h.Max(); from, to = to, to*3/2 { // bars that grow by half
			n := int64(0)
			for _, bar := range bars {
				if bar.From >= from && bar.From < to {
					n += bar.Count
				}
			}
			l.Buckets = append(l.Buckets, HistogramBin{float64(to) / 1000, n})
		}
		res.Latencies = append(res.Latencies, l)
	}
	for rule, n := range r.Checker.Counts {
		if res.ViolationCounts == nil {
			res.ViolationCounts = map[string]int{}
		}
		res.ViolationCounts[string(rule)] = n
	}
	for _, b := range r.Checker.Samples {
		res.ViolationSamples = append(res.ViolationSamples, b.String())
	}
	return res
}
