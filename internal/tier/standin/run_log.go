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
	Complete bool  // the endpoint handed out its whole answer
}

// RunLog records what ran. Several endpoints may share one.
type RunLog struct {
	mutex      sync.Mutex
	runs       []Run
	indices    map[string][]int // of the runs, by attempt
	rejections map[string]int
	changed    chan struct{} // closed at the next change
}

// NewRunLog gives an empty one.
func NewRunLog() *RunLog {
	return &RunLog{indices: map[string][]int{}, rejections: map[string]int{}, changed: make(chan struct{})}
}

// start notes a run and gives its place.
func (l *RunLog) start(run Run) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.notifyLocked()
	if len(l.runs) >= maxRecordedRuns {
		return maxRecordedRuns
	}
	l.indices[run.Attempt] = append(l.indices[run.Attempt], len(l.runs))
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

// progress notes what a run has generated and whether its answer is whole.
func (l *RunLog) progress(place int, tokens int64, whole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if place < len(l.runs) {
		l.runs[place].Tokens += tokens
		l.runs[place].Complete = l.runs[place].Complete || whole
	}
	l.notifyLocked()
}

func (l *RunLog) reject(attempt string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rejections[attempt]++
	l.notifyLocked()
}

func (l *RunLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed gives a channel that closes at the next change. Take it before looking.
func (l *RunLog) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed
}

// All gives all runs in the order of their beginning.
func (l *RunLog) All() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs)
}

// Runs gives the runs of one attempt.
func (l *RunLog) Runs(attempt string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Run
	for _, place := range l.indices[attempt] {
		found = append(found, l.runs[place])
	}
	return found
}

// Rejections gives how often an attempt was turned away without a run.
func (l *RunLog) Rejections(attempt string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.rejections[attempt]
}

// Duplicates gives the attempts that ran more than once, in the order of their first run.
func (l *RunLog) Duplicates() []string {
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
func (l *RunLog) Tokens(program string) int64 {
	var sum int64
	for _, run := range l.All() {
		if run.Header.Get(headerProgram) == program {
			sum += run.Tokens
		}
	}
	return sum
}
