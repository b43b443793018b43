package rollout

import (
	"math"
	"time"
)

// PaceSteps is the number of classes into which answers fall by the time that they took. Each is longer by the factor of
// half a power of two; the first holds all below 0.1 ms.
const PaceSteps = 40

const (
	shortestPace   = 100 * time.Microsecond
	stepsPerDouble = 2
)

// Tally counts what proxies have seen of one version on one route.
type Tally struct {
	Sent  int64            `json:"sent"` // requests sent
	Good  int64            `json:"good"` // whole answers with success
	Bad   int64            `json:"bad"`  // failures of its own, broken answers, silence
	Paces [PaceSteps]int64 `json:"paces"`
}

// Time counts the time that a good answer took; of a stream the time for each event.
func (t *Tally) Time(took time.Duration) {
	step := 0
	if took > shortestPace {
		step = int(math.Ceil(stepsPerDouble * math.Log2(float64(took)/float64(shortestPace))))
	}
	t.Paces[min(step, PaceSteps-1)]++
}

// Add adds another tally.
func (t *Tally) Add(o Tally) {
	t.Sent += o.Sent
	t.Good += o.Good
	t.Bad += o.Bad
	for i := range o.Paces {
		t.Paces[i] += o.Paces[i]
	}
}

// since returns what a tally counts beyond an earlier one.
func (t *Tally) since(o Tally) Tally {
	d := Tally{Sent: t.Sent - o.Sent, Good: t.Good - o.Good, Bad: t.Bad - o.Bad}
	for i := range d.Paces {
		d.Paces[i] = t.Paces[i] - o.Paces[i]
	}
	return d
}

// covers tells whether a tally counts all that another one does.
func (t *Tally) covers(o Tally) bool {
	return t.Sent >= o.Sent && t.Good >= o.Good && t.Bad >= o.Bad && t.timed() >= o.timed()
}

// timed is the number of answers whose time was counted.
func (t *Tally) timed() int64 {
	var sum int64
	for _, count := range t.Paces {
		sum += count
	}
	return sum
}

// median is the class of the middle answer.
func (t *Tally) median() int {
	half := (t.timed() + 1) / 2
	for step, count := range t.Paces {
		if half -= count; half <= 0 {
			return step
		}
	}
	return PaceSteps - 1
}

// from counts the answers of a class and all longer ones.
func (t *Tally) from(step int) int64 {
	var sum int64
	for _, count := range t.Paces[min(step, PaceSteps):] {
		sum += count
	}
	return sum
}
