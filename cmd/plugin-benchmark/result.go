package main

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/standin"
)

// statusAccepted is the status of the relay's answer to an accepted message.
const statusAccepted = 202

// nsPerMs is the number of nanoseconds in a millisecond.
const nsPerMs = 1e6

// result is the result of one run.
type result struct {
	others     *hdrhistogram.Histogram // ns from due time to arrival at the endpoint, for partners without hostile plug-ins
	victims    float64                 // p50 in ms, for partners with hostile plug-ins
	cpu        float64                 // µs of the relay's CPU time per message
	peak       float64                 // MB of the relay's peak memory
	settled    int                     // accepted messages that were delivered or reported undeliverable
	missing    int                     // accepted, and neither delivered nor reported; or delivered, and not accepted
	duplicates int                     // delivered once more, or reported with another outcome
	note       string                  // free text at the end of the printed line
}

// newHistogram returns a histogram for 1 µs to one minute, in ns.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1000, 60e9, 3) }

// latency returns a percentile, in ms, of the delivery latency of the partners without hostile plug-ins.
func (r *result) latency(percentile float64) float64 {
	return float64(r.others.ValueAtPercentile(percentile)) / nsPerMs
}

// print prints the run as a row of the table.
func (r *result) print(number int, name string) {
	fmt.Printf("%2d %-11s %9.3f %9.3f %9.3f %9.0f %9.1f %8d %8d %s\n", number, name, r.latency(50), r.latency(99), r.victims, r.cpu, r.peak,
		r.settled, r.missing, r.note)
}

// evaluate counts the outcomes of messages and records their latencies.
func (o *options) evaluate(r *result, l *load, endpoints *standin.Endpoints, discovery *standin.Discovery) {
	notices, contradictions := discovery.Notices()
	delivered := o.recordArrivals(r, l, endpoints)
	rejected := map[int]int{} // number of messages by status
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
			r.settled++
		}
	}
	r.duplicates += contradictions
	for status, n := range rejected {
		r.note += fmt.Sprintf("%d×%d ", status, n)
	}
	r.note = cmp.Or(strings.TrimSpace(r.note), "all taken")
}

// recordArrivals records the latencies of the messages that reached the endpoints, and returns the set of their IDs.
func (o *options) recordArrivals(r *result, l *load, endpoints *standin.Endpoints) (delivered map[string]bool) {
	delivered = map[string]bool{}
	victims := newHistogram()
	for _, arrival := range endpoints.Arrivals() {
		if delivered[arrival.ID] {
			r.duplicates++ // endpoints answer every message with 200, so the relay has no reason to send it again
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
