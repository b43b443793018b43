package main

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/standin"
)

// statusAccepted is the relay's answer to a message that it has taken on.
const statusAccepted = 202

// nsPerMs is how many nanoseconds make a millisecond.
const nsPerMs = 1e6

// result is what one run has shown.
type result struct {
	others     *hdrhistogram.Histogram // ns from the time that a message was due to the endpoint
	victims    float64                 // p50 ms of the partners that the plug-ins are for
	cpu        float64                 // µs of the relay's processor time a message
	peak       float64                 // MB of the relay's memory
	ends       int                     // messages that were taken on and had their end
	missing    int                     // taken on, and neither delivered nor told of; or delivered and not taken on
	duplicates int                     // delivered or told of once more
	remark     string                  // what else there is to say
}

// newHistogram returns one for 1 µs to a minute.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1000, 60e9, 3) }

// latency is a percentile of the others' delivery latency, in ms.
func (r *result) latency(percentile float64) float64 {
	return float64(r.others.ValueAtPercentile(percentile)) / nsPerMs
}

// print prints the line of a run.
func (r *result) print(number int, name string) {
	fmt.Printf("%2d %-11s %9.3f %9.3f %9.3f %9.0f %9.1f %8d %8d %s\n", number, name, r.latency(50), r.latency(99), r.victims, r.cpu, r.peak,
		r.ends, r.missing, r.remark)
}

// judge counts ends and latencies.
func (o *options) judge(r *result, l *load, endpoints *standin.Endpoints, discovery *standin.Discovery) {
	notices, noticedTwice := discovery.Notices()
	delivered := o.judgeArrivals(r, l, endpoints)
	rejected := map[int]int{} // messages by status
	for id, status := range l.statuses {
		switch _, noticed := notices[id]; {
		case status != statusAccepted:
			rejected[status]++
			if delivered[id] {
				r.missing++
			}
		case !delivered[id] && !noticed:
			r.missing++
		default:
			r.ends++
		}
	}
	r.duplicates += noticedTwice
	for status, n := range rejected {
		r.remark += fmt.Sprintf("%d×%d ", status, n)
	}
	r.remark = cmp.Or(strings.TrimSpace(r.remark), "all taken")
}

// judgeArrivals records the latencies of what has come to the endpoints, and returns which messages have.
func (o *options) judgeArrivals(r *result, l *load, endpoints *standin.Endpoints) (delivered map[string]bool) {
	delivered = map[string]bool{}
	victims := newHistogram()
	for _, arrival := range endpoints.Arrivals() {
		if delivered[arrival.ID] {
			r.duplicates++ // endpoints answer all with 200: there is no reason for a second
			continue
		}
		delivered[arrival.ID] = true
		histogram := r.others
		if arrival.Endpoint >= o.partners {
			histogram = victims
		}
		_ = histogram.RecordValue(arrival.At.Sub(l.due[arrival.ID]).Nanoseconds())
	}
	r.victims = float64(victims.ValueAtPercentile(50)) / nsPerMs
	return delivered
}
