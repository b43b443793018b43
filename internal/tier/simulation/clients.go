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

// Timing of clients and of the ingress's readiness checks.
const (
	readinessInterval = time.Second
	maxMisses         = 2 // failed readiness checks in a row after which the ingress avoids a proxy
	programTimeout    = 30 * time.Second
	maxTokens         = 12 // tokens that a turn may generate; each turn uses all of them
	resendBackoff     = 200 * time.Millisecond
)

// clients run programs through the proxies that the platform's ingress considers ready.
type clients struct {
	fleet    *Fleet
	client   *http.Client
	misses   map[*machine]int // failed readiness checks in a row; the fleet's mutex guards it
	programs int              // programs started
}

func newClients(f *Fleet) *clients {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialFrom(f.environment.client)}
	return &clients{fleet: f, client: &http.Client{Timeout: callTimeout, Transport: transport}, misses: map[*machine]int{}}
}

// pollReadiness checks the readiness of each proxy once a second, until the fleet closes.
func (c *clients) pollReadiness() {
	for !c.fleet.isClosed() {
		for _, m := range c.fleet.machinesOf(edgeClass) {
			c.fleet.goroutines.Go(func() { c.checkReadiness(m) })
		}
		time.Sleep(readinessInterval)
	}
}

// checkReadiness checks one proxy once and updates its number of misses.
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

// dial opens a connection to a random proxy that the ingress considers ready, or to any proxy if none is ready.
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

// runProgram runs one program to its end and records its outcome. A nonzero previous is the turn that it continues.
func (c *clients) runProgram(turns int, budget int64, previous standin.Turn) standin.Outcome {
	c.fleet.mutex.Lock()
	c.programs++
	name := fmt.Sprintf("p%d", c.programs)
	c.fleet.mutex.Unlock()
	options := standin.ProgramOptions{Name: name, Address: net.JoinHostPort(clientAddress, "80"), Host: host, TurnPath: turnPath, ToolPath: toolPath,
		Model: modelName, Turns: turns, Tools: 1, MaxTokens: maxTokens, Budget: budget, Timeout: programTimeout, RequestTimeout: requestTimeout, Stateful: true,
		ContinueFrom: previous, Dial: c.dial, Backoff: waitResendBackoff}
	outcome := standin.NewProgram(options).Run(context.Background())
	c.fleet.trace("program %s: %s after %d turns", name, outcome.State, len(outcome.Turns))
	c.fleet.history.addProgram(standin.ProgramResult{Name: name, Budget: budget, Outcome: outcome})
	return outcome
}

// waitResendBackoff waits before a turn is sent again; it returns the context's error if that ends first.
func waitResendBackoff(ctx context.Context) error {
	return wait.Sleep(ctx, resendBackoff)
}

// get sends one GET request directly to a proxy and returns the status; 0 means no answer.
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
