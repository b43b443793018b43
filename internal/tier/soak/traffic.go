package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/standin"
	"mastusher/internal/tier/wait"
)

// droppingConnection loses its response: instead of reading, it closes after a delay.
type droppingConnection struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn.
func (c *droppingConnection) Read([]byte) (int, error) {
	time.Sleep(c.delay)
	_ = c.Close()
	return 0, net.ErrClosed
}

// dialDropping returns a dialer whose connections lose their responses with dropProbability while dropping is positive.
func (r *run) dialDropping(dropping *atomic.Int32) localtier.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil || dropping.Load() == 0 || r.intN(100) >= 100*dropProbability {
			return opened, err
		}
		return &droppingConnection{Conn: opened, delay: time.Duration(r.intN(int(maxDropDelay)))}, nil
	}
}

// clients run programs against the proxies.
type clients struct {
	run      *run
	proxies  []string
	dropping atomic.Int32 // faults that drop responses now

	mutex       sync.Mutex // guards the fields below
	results     []standin.ProgramResult
	lastProgram int // number of the newest program
}

// newClients returns the clients of a run. They haven't run any program yet.
func newClients(r *run) *clients {
	return &clients{run: r, proxies: r.tier.Addresses(localtier.EdgeClass, localtier.FrontPort)}
}

// programLoop runs random programs one after the other until ctx ends.
func (c *clients) programLoop(ctx context.Context) {
	for wait.Sleep(ctx, programInterval) == nil {
		program := standin.ProgramOptions{Address: c.proxies[c.run.intN(len(c.proxies))], Turns: 1 + c.run.intN(maxTurns), Tools: 1,
			Dial: c.run.dialDropping(&c.dropping), Backoff: func(ctx context.Context) error { return wait.Sleep(ctx, retryBackoff) }}
		if c.run.intN(2) == 0 {
			program.Budget = int64(maxTokens * (1 + c.run.intN(2*maxTurns)))
		}
		if turns := c.completeTurns(); len(turns) > 0 && c.run.intN(4) == 0 {
			program.ContinueFrom = turns[c.run.intN(len(turns))]
		}
		c.runProgram(context.WithoutCancel(ctx), program)
	}
}

// runProgram runs one program to its end and records its outcome.
func (c *clients) runProgram(ctx context.Context, program standin.ProgramOptions) standin.Outcome {
	c.mutex.Lock()
	c.lastProgram++
	program.Name = fmt.Sprintf("p%d", c.lastProgram)
	c.mutex.Unlock()
	program.Host, program.TurnPath, program.ToolPath, program.Model = localtier.Host, localtier.TurnPath, localtier.ToolPath, localtier.ModelName
	program.MaxTokens, program.Timeout, program.RequestTimeout, program.Stateful = maxTokens, programTimeout, localtier.RequestTimeout, true
	outcome := standin.NewProgram(program).Run(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, standin.ProgramResult{Name: program.Name, Budget: program.Budget, Outcome: outcome})
	return outcome
}

// completeTurns returns the turns so far whose complete response was received.
func (c *clients) completeTurns() []standin.Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var turns []standin.Turn
	for _, p := range c.results {
		for _, turn := range p.Outcome.Turns {
			if turn.Complete && turn.Status == http.StatusOK {
				turns = append(turns, turn)
			}
		}
	}
	return turns
}
