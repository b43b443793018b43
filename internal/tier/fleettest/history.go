package fleettest

import "time"

// history records what operators, clients and endpoints have observed.
type history struct {
	orders   []*order
	reads    []*readBack
	versions []versionSeen
	requests []*request
	byID     map[string]*request // requests by id
	runs     []run
}

func newHistory() *history { return &history{byID: map[string]*request{}} }

// run is a request that an endpoint has started to run.
type run struct {
	ID       string
	Endpoint string
	Service  string
	Body     []byte
	At       time.Duration
}

// addRun records a run and returns its number.
func (h *history) addRun(r run) int {
	h.runs = append(h.runs, r)
	return len(h.runs) - 1
}

// versionSeen is the configuration that a client found in force at a proxy.
type versionSeen struct {
	Proxy       string
	Incarnation int
	Content     Content
	Started     time.Duration
	Ended       time.Duration
}

// outcome is how a request ended for its client.
type outcome uint8

// The outcomes of a request.
const (
	outcomePending  outcome = iota
	outcomeComplete         // the answer arrived completely
	outcomeRejected         // the answer was a status other than success
	outcomeAborted          // the connection ended, or the request timed out
)

// request is one attempt of a client, with its answer.
type request struct {
	clientRequest
	Proxy   string
	Sent    time.Duration
	Ended   time.Duration
	Outcome outcome
	Status  int
	Events  [][]byte
	Runs    []int // by event, the number of the run that it came from
}

// tokens returns the number of tokens that the client received.
func (r *request) tokens() int64 { return int64(len(r.Events) * tokensPerEvent) }

// output returns what a complete turn adds to its chain.
func (r *request) output() []byte {
	var output []byte
	for _, event := range r.Events {
		output = append(append(output, event...), '\n')
	}
	return output
}

func (h *history) addRequest(sent clientRequest, proxy string, at time.Duration) *request {
	r := &request{clientRequest: sent, Proxy: proxy, Sent: at}
	h.requests = append(h.requests, r)
	h.byID[sent.ID] = r
	return r
}
