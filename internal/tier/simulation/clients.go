package simulation

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"mastusher/internal/tier/standin"
	"mastusher/internal/tier/wait"
)

// How clients behave.
const (
	readinessInterval = time.Second
	maxMisses         = 2
	programTimeout    = 30 * time.Second
	maxTokens         = 12 // of one turn, which generates all of them
	resendBackoff     = 200 * time.Millisecond
)

// clients send programs through the proxies that the platform's ingress takes for ready.
type clients struct {
	fleet    *Fleet
	client   *http.Client
	misses   map[*machine]int // the fleet's mutex guards it
	programs int
}

func newClients(f *Fleet) *clients {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialFrom(f.environment.client)}
	return &clients{fleet: f, client: &http.Client{Timeout: callTimeout, Transport: transport}, misses: map[*machine]int{}}
}

// pollReadiness asks each proxy each second whether it is ready, until the fleet closes.
func (c *clients) pollReadiness() {
	for !c.fleet.isClosed() {
		for _, m := range c.fleet.machinesOf(edgeClass) {
			c.fleet.goroutines.Go(func() { c.checkReadiness(m) })
		}
		time.Sleep(readinessInterval)
	}
}

// checkReadiness asks one proxy once and counts its misses.
func (c *clients) checkReadiness(m *machine) {
	ready := c.isReady(m)
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	if ready {
		c.misses[m] = 0
	} else {
		c.misses[m]++
	}
}

func (c *clients) isReady(m *machine) bool {
	response, err := c.client.Get("http://" + m.address(readinessPort) + "/mastusher/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// dial opens a connection to a proxy as the ingress does: one of those that it takes for ready, or any where none is.
func (c *clients) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	edges := c.fleet.machinesOf(edgeClass)
	c.fleet.mutex.Lock()
	var admitted []*machine
	for _, m := range edges {
		if c.misses[m] < maxMisses {
			admitted = append(admitted, m)
		}
	}
	if len(admitted) == 0 {
		admitted = edges
	}
	chosen := admitted[c.fleet.random.IntN(len(admitted))]
	c.fleet.mutex.Unlock()
	return c.fleet.environment.client.Dial(ctx, new(net.Dialer), network, chosen.address(frontPort))
}

// runProgram runs one program to its end.
func (c *clients) runProgram(turns int, budget int64, from standin.Turn) standin.Outcome {
	c.fleet.mutex.Lock()
	c.programs++
	name := fmt.Sprintf("p%d", c.programs)
	c.fleet.mutex.Unlock()
	options := standin.ProgramOptions{Name: name, Address: net.JoinHostPort(clientAddress, "80"), Host: host, TurnPath: turnPath, ToolPath: toolPath,
		Model: modelName, Turns: turns, Tools: 1, MaxTokens: maxTokens, Budget: budget, Timeout: programTimeout, RequestTimeout: requestTimeout, Stateful: true,
		ContinueFrom: from, Dial: c.dial, Backoff: waitResendBackoff}
	outcome := standin.NewProgram(options).Run(context.Background())
	c.fleet.trace("program %s: %s after %d turns", name, outcome.State, len(outcome.Turns))
	c.fleet.history.addProgram(standin.ProgramResult{Name: name, Budget: budget, Outcome: outcome})
	return outcome
}

// waitResendBackoff waits before a turn is sent again; its error is the context's.
func waitResendBackoff(ctx context.Context) error {
	return wait.Sleep(ctx, resendBackoff)
}

// get sends one request to a path straight to a proxy, and returns the status; 0: no answer.
func (c *clients) get(m *machine, path, attempt string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+m.address(frontPort)+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
