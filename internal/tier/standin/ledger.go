package standin

import (
	"net/http"
	"slices"
	"sync"
)

// Run is one run of a request at an endpoint.
type Run struct {
	Attempt  string // its X-Attempt-Id
	Endpoint string // the endpoint's id
	Method   string
	Target   string // path and query
	Host     string
	Header   http.Header
	Body     []byte
	Tokens   int64 // generated, by a model server
	Whole    bool  // the endpoint handed out its whole answer
}

// Ledger records what ran. Several endpoints may share one.
type Ledger struct {
	mutex    sync.Mutex
	runs     []Run
	places   map[string][]int // of the runs, by attempt
	refusals map[string]int
	came     chan struct{} // closed at the next change
}

// NewLedger gives an empty one.
func NewLedger() *Ledger {
	return &Ledger{places: map[string][]int{}, refusals: map[string]int{}, came: make(chan struct{})}
}

// begin notes a run and gives its place.
func (l *Ledger) begin(run Run) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changedLocked()
	if len(l.runs) >= maxRuns {
		return maxRuns
	}
	l.places[run.Attempt] = append(l.places[run.Attempt], len(l.runs))
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

// progress notes what a run has generated and whether its answer is whole.
func (l *Ledger) progress(place int, tokens int64, whole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if place < len(l.runs) {
		l.runs[place].Tokens += tokens
		l.runs[place].Whole = l.runs[place].Whole || whole
	}
	l.changedLocked()
}

func (l *Ledger) refuse(attempt string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refusals[attempt]++
	l.changedLocked()
}

func (l *Ledger) changedLocked() {
	close(l.came)
	l.came = make(chan struct{})
}

// Changed gives a channel that closes at the next change. Take it before looking.
func (l *Ledger) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.came
}

// All gives all runs in the order of their beginning.
func (l *Ledger) All() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs)
}

// Runs gives the runs of one attempt.
func (l *Ledger) Runs(attempt string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Run
	for _, place := range l.places[attempt] {
		found = append(found, l.runs[place])
	}
	return found
}

// Refusals gives how often an attempt was turned away without a run.
func (l *Ledger) Refusals(attempt string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refusals[attempt]
}

// Twice gives the attempts that ran more than once, in the order of their first run.
func (l *Ledger) Twice() []string {
	counts := map[string]int{}
	var twice []string
	for _, run := range l.All() {
		counts[run.Attempt]++
		if counts[run.Attempt] == 2 {
			twice = append(twice, run.Attempt)
		}
	}
	return twice
}

// Tokens gives what all runs that carry a Program header generated.
func (l *Ledger) Tokens(program string) int64 {
	var sum int64
	for _, run := range l.All() {
		if run.Header.Get(headerProgram) == program {
			sum += run.Tokens
		}
	}
	return sum
}
