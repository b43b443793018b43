package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/control"
)

// end is how a message was over for its client.
type end uint8

const (
	endDelivered end = iota
	endGivenUp       // by a relay, or by its client after its tries
	endLate          // its time was up
)

// Line is a count over time, in the run's buckets.
type Line []float64

// Stats is what is counted while a world is played.
type Stats struct {
	Bucket  time.Duration
	Came    Line // messages
	Good    Line // delivered within their time
	Lost    Line // given up or late
	Refused Line // refusals
	Again   Line // handed in again
	Sent    Line // calls
	Full    Line // calls turned away
	Failed  Line // calls that came to nothing otherwise
	Open    Line // messages that are not over, at the end of each bucket

	w       *World
	bucket  int
	open    int
	worth   float64 // earned
	most    float64 // that could be
	ends    [3]int
	byClass []*hdrhistogram.Histogram // µs from birth to delivery
}

const buckets = 150

func newStats(w *World) *Stats {
	length := time.Duration(w.Length)
	for _, c := range w.Classes {
		length = max(length, time.Duration(w.Length)+time.Duration(c.Deadline)+5*time.Second)
	}
	s := &Stats{w: w, Bucket: max(length/buckets, time.Millisecond)}
	for _, l := range s.lines() {
		*l.Line = make(Line, buckets+2)
	}
	for range w.Classes {
		s.byClass = append(s.byClass, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return s
}

// named is a line with its name.
type named struct {
	Name string
	Line *Line
}

func (s *Stats) lines() []named {
	return []named{{"came", &s.Came}, {"delivered", &s.Good}, {"lost", &s.Lost}, {"refused", &s.Refused}, {"handed in again", &s.Again},
		{"calls", &s.Sent}, {"calls turned away", &s.Full}, {"calls failed", &s.Failed}, {"open", &s.Open}}
}

// at moves on to a time since the start.
func (s *Stats) at(t time.Duration) {
	for b := min(int(t/s.Bucket), buckets+1); s.bucket < b; s.bucket++ {
		s.Open[s.bucket] = float64(s.open)
	}
}

func (s *Stats) came(class int) {
	s.Came[s.bucket]++
	s.open++
	s.most += s.w.Classes[class].Worth
}

func (s *Stats) again()   { s.Again[s.bucket]++ }
func (s *Stats) refused() { s.Refused[s.bucket]++ }
func (s *Stats) sent()    { s.Sent[s.bucket]++ }

func (s *Stats) resolved(r control.Result) {
	switch r {
	case control.Delivered:
	case control.Throttled:
		s.Full[s.bucket]++
	default:
		s.Failed[s.bucket]++
	}
}

// over counts an end: past its aim a message's worth falls evenly, to half at its deadline.
func (s *Stats) over(c *Class, m *message, now time.Duration, how end) {
	s.open--
	s.ends[how]++
	if how != endDelivered {
		s.Lost[s.bucket]++
		return
	}
	s.Good[s.bucket]++
	took := now - m.born
	_ = s.byClass[m.class].RecordValue(int64(took / time.Microsecond))
	late := float64(took-time.Duration(c.Aim)) / float64(max(c.Deadline-c.Aim, 1))
	switch {
	case late <= 0:
		s.worth += c.Worth
	case late <= 1:
		s.worth += c.Worth * (1 - late/2)
	}
}

// Latency is of one class, in milliseconds.
type Latency struct {
	Class   string  `cbor:"Class"`
	P50     float64 `cbor:"P50"`
	P90     float64 `cbor:"P90"`
	P99     float64 `cbor:"P99"`
	Max     float64 `cbor:"Max"`
	Buckets []Bar   `cbor:"Buckets,omitempty"`
}

// Bar is how many took up to so many milliseconds.
type Bar struct {
	To    float64 `cbor:"To"`
	Count int64   `cbor:"Count"`
}

// Result is what a run has come to. Its fields' names are those of its files.
type Result struct {
	World     string          `cbor:"World"`
	Policy    string          `cbor:"Policy"`
	Seed      uint64          `cbor:"Seed"`
	Hash      string          `cbor:"Hash"` // of all decisions
	Messages  int             `cbor:"Messages"`
	Delivered int             `cbor:"Delivered"`
	GivenUp   int             `cbor:"GivenUp"`
	Late      int             `cbor:"Late"`
	Worth     float64         `cbor:"Worth"` // share of all that could be earned
	Refused   int             `cbor:"Refused"`
	Again     int             `cbor:"Again"`
	Calls     int             `cbor:"Calls"`
	Turned    int             `cbor:"Turned"` // calls turned away as full
	Failed    int             `cbor:"Failed"`
	Turns     uint64          `cbor:"Turns"`
	Endpoints int             `cbor:"Endpoints"`
	Relays    int             `cbor:"Relays"`
	Fleet     Fleet           `cbor:"Fleet"` // what the relays do together
	Latencies []Latency       `cbor:"Latencies"`
	Broken    map[string]int  `cbor:"Broken,omitempty"`
	Breaches  []string        `cbor:"Breaches,omitempty"`
	Bucket    time.Duration   `cbor:"Bucket"`
	Lines     map[string]Line `cbor:"Lines"`
	Took      time.Duration   `cbor:"Took"`   // on the clock of the machine; no part of what is compared
	Memory    uint64          `cbor:"Memory"` // bytes that the run held at its end, where that was measured
}

func (r *Run) result() *Result {
	s := r.Stats
	s.at(time.Duration(1<<62 - 1))
	res := &Result{World: r.W.Name, Seed: r.W.Seed, Hash: r.Hash(), Messages: len(r.msgs), Delivered: s.ends[endDelivered], GivenUp: s.ends[endGivenUp],
		Late: s.ends[endLate], Turns: r.steps, Endpoints: len(r.ends), Relays: len(r.relays), Bucket: s.Bucket, Lines: map[string]Line{}}
	if s.most > 0 {
		res.Worth = s.worth / s.most
	}
	sum := func(l Line) (n int) {
		for _, v := range l {
			n += int(v)
		}
		return n
	}
	res.Refused, res.Again, res.Calls, res.Turned, res.Failed = sum(s.Refused), sum(s.Again), sum(s.Sent), sum(s.Full), sum(s.Failed)
	res.Fleet = r.fleet.result(r, res.Turned)
	for _, l := range s.lines() {
		res.Lines[l.Name] = *l.Line
	}
	for i, h := range s.byClass {
		ms := func(q float64) float64 { return float64(h.ValueAtPercentile(q)) / 1000 }
		l := Latency{Class: r.W.Classes[i].Name, P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
		bars := h.Distribution()
		for to, from := int64(1000), int64(0); from < h.Max(); from, to = to, to*3/2 { // bars that grow by half
			n := int64(0)
			for _, bar := range bars {
				if bar.From >= from && bar.From < to {
					n += bar.Count
				}
			}
			l.Buckets = append(l.Buckets, Bar{float64(to) / 1000, n})
		}
		res.Latencies = append(res.Latencies, l)
	}
	for rule, n := range r.Check.Count {
		if res.Broken == nil {
			res.Broken = map[string]int{}
		}
		res.Broken[string(rule)] = n
	}
	for _, b := range r.Check.Samples {
		res.Breaches = append(res.Breaches, b.String())
	}
	return res
}
