package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes the times from submission to delivery of one class's messages, in milliseconds.
type Latency struct {
	Class   string         `cbor:"Class"`
	P50     float64        `cbor:"P50"`
	P90     float64        `cbor:"P90"`
	P99     float64        `cbor:"P99"`
	Max     float64        `cbor:"Max"`
	Buckets []HistogramBin `cbor:"Buckets,omitempty"`
}

// HistogramBin counts latencies between the previous bin's UpperBound and its own, in milliseconds.
type HistogramBin struct {
	UpperBound float64 `cbor:"To"`
	Count      int64   `cbor:"Count"`
}

// Result holds the measurements of a run. It is stored as CBOR under the keys of the tags, which must not change.
type Result struct {
	World            string            `cbor:"World"`
	Policy           string            `cbor:"Policy"`
	Seed             uint64            `cbor:"Seed"`
	Hash             string            `cbor:"Hash"` // of all decisions
	Messages         int               `cbor:"Messages"`
	Delivered        int               `cbor:"Delivered"`
	Abandoned        int               `cbor:"GivenUp"`
	Expired          int               `cbor:"Late"`
	Value            float64           `cbor:"Worth"` // earned share of the possible value
	Refused          int               `cbor:"Refused"`
	Resubmitted      int               `cbor:"Again"`
	Calls            int               `cbor:"Calls"`
	Throttled        int               `cbor:"Turned"` // calls
	Failed           int               `cbor:"Failed"` // calls that failed otherwise
	Turns            uint64            `cbor:"Turns"`
	Endpoints        int               `cbor:"Endpoints"`
	Relays           int               `cbor:"Relays"`
	Fleet            FleetStats        `cbor:"Fleet"` // of all relays together
	Latencies        []Latency         `cbor:"Latencies"`
	ViolationCounts  map[string]int    `cbor:"Broken,omitempty"`
	ViolationSamples []string          `cbor:"Breaches,omitempty"`
	Bucket           time.Duration     `cbor:"Bucket"`
	Series           map[string]Series `cbor:"Lines"`
	WallTime         time.Duration     `cbor:"Took"`   // real time that the run took; differs between runs
	HeapBytes        uint64            `cbor:"Memory"` // heap in use at the end of the run; 0: not measured
}

// result returns the measurements of a run that is over.
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
		res.Series[l.Name] = *l.Series
	}
	for i, h := range s.latencies {
		res.Latencies = append(res.Latencies, newLatency(r.World.Classes[i].Name, h))
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

// newLatency summarizes a class's histogram of microseconds; each bin's upper bound is 1.5 times that of the one before.
func newLatency(class string, h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtPercentile(q)) / 1000 }
	l := Latency{Class: class, P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
	bars := h.Distribution()
	for to, from := int64(1000), int64(0); from < h.Max(); from, to = to, to*3/2 {
		n := int64(0)
		for _, bar := range bars {
			if bar.From >= from && bar.From < to {
				n += bar.Count
			}
		}
		l.Buckets = append(l.Buckets, HistogramBin{float64(to) / 1000, n})
	}
	return l
}
