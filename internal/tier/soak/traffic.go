package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
)

// losingConnection loses its answer: it ends once something was sent on it.
type losingConnection struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn.
func (c *losingConnection) Read([]byte) (int, error) {
	time.Sleep(c.delay)
	_ = c.Close()
	return 0, net.ErrClosed
}

// dialLosing opens connections, some of which lose their answers while losing isn't 0.
func (r *run) dialLosing(losing *atomic.Int32) localtier.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil || losing.Load() == 0 || r.intN(100) >= 100*lossShare {
			return opened, err
		}
		return &losingConnection{Conn: opened, delay: time.Duration(r.intN(int(lossDelay)))}, nil
	}
}

// clients send programs.
type clients struct {
	run    *run
	fronts []string
	losing atomic.Int32 // troubles that have answers lost

	mutex  sync.Mutex
	played []standin.ProgramResult
	next   int
}

func newClients(r *run) *clients {
	return &clients{run: r, fronts: r.tier.Addresses(localtier.EdgeClass, localtier.FrontPort)}
}

// work plays programs of all kinds one after the other until ctx ends.
func (c *clients) work(ctx context.Context) {
	for localtier.Pause(ctx, programPause) == nil {
		program := standin.ProgramOptions{Address: c.fronts[c.run.intN(len(c.fronts))], Turns: 1 + c.run.intN(mostTurns), Tools: 1,
			Dial: c.run.dialLosing(&c.losing), Backoff: func(ctx context.Context) error { return localtier.Pause(ctx, resendPause) }}
		if c.run.intN(2) == 0 {
			program.Budget = int64(mostTokens * (1 + c.run.intN(2*mostTurns)))
		}
		if turns := c.wholeTurns(); len(turns) > 0 && c.run.intN(4) == 0 {
			program.ContinueFrom = turns[c.run.intN(len(turns))]
		}
		c.play(context.WithoutCancel(ctx), program)
	}
}

// play plays one program to its end and keeps what it saw.
func (c *clients) play(ctx context.Context, program standin.ProgramOptions) standin.Outcome {
	c.mutex.Lock()
	c.next++
	program.Name = fmt.Sprintf("p%d", c.next)
	c.mutex.Unlock()
	program.Host, program.TurnPath, program.ToolPath, program.Model = localtier.Host, localtier.TurnPath, localtier.ToolPath, localtier.ModelName
	program.MaxTokens, program.Timeout, program.RequestTimeout, program.Stateful = mostTokens, programPatience, localtier.RequestPatience, true
	outcome := standin.NewProgram(program).Run(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.played = append(c.played, standin.ProgramResult{Name: program.Name, Budget: program.Budget, Outcome: outcome})
	return outcome
}

// wholeTurns lists the turns that were answered whole.
func (c *clients) wholeTurns() []standin.Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var turns []standin.Turn
	for _, p := range c.played {
		for _, turn := range p.Outcome.Turns {
			if turn.Complete && turn.Status == http.StatusOK {
				turns = append(turns, turn)
			}
		}
	}
	return turns
}

// operator orders one configuration after the other, and reads it back.
type operator struct {
	run    *run
	orders *localtier.Operator
	reader *localtier.Operator
	losing atomic.Int32

	mutex sync.Mutex
	acked uint64 // number of the newest configuration that was acknowledged
	sent  uint64 // number of the newest one that was sent
}

func newOperator(r *run) *operator {
	o := &operator{run: r, reader: localtier.NewOperator(r.controllers(), nil)}
	o.orders = localtier.NewOperator(r.controllers(), r.dialLosing(&o.losing))
	return o
}

// configuration is the one of a number: it has a route that no other one has.
func configuration(number uint64) model.Configuration {
	return localtier.Configuration(number, keepFor, localtier.ToolRoute("mark", markPrefix(number)))
}

func markPrefix(number uint64) string { return fmt.Sprintf("/mark-%d/", number) }

// work orders until ctx ends.
func (o *operator) work(ctx context.Context) {
	for localtier.Pause(ctx, orderPause) == nil {
		o.order(ctx)
	}
}

// order sends the next configuration once, or the one before again if that wasn't acknowledged; true means that it is now.
func (o *operator) order(ctx context.Context) bool {
	o.mutex.Lock()
	over := o.acked
	o.sent = max(o.sent, over+1)
	o.mutex.Unlock()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderPatience)
	defer cancel()
	controllers := o.run.controllers()
	at := controllers[o.run.intN(len(controllers))]
	_, err := o.orders.ConfigureAt(bounded, at, configuration(over+1), over)
	var answer *localtier.StatusError
	if errors.As(err, &answer) && answer.Status/100 == 4 && answer.Status != http.StatusRequestTimeout && answer.Status != http.StatusTooManyRequests {
		o.run.violate("REFUSED", "order %d on %d, which nobody else contends for, at %s: %v", over+1, over, at, answer)
	}
	if err != nil {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.acked = max(o.acked, over+1)
	return true
}

// readWork reads at one controller after the other until ctx ends.
func (o *operator) readWork(ctx context.Context) {
	controllers := o.run.controllers()
	for number := 0; localtier.Pause(ctx, readPause) == nil; number++ {
		o.read(ctx, controllers[number%len(controllers)])
	}
}

// read reads at a controller, and checks that what it tells is neither older than what was acknowledged before nor something that wasn't
// sent; true means that it was answered.
func (o *operator) read(ctx context.Context, controller string) bool {
	o.mutex.Lock()
	least := o.acked
	o.mutex.Unlock()
	read, err := o.reader.ReadAt(context.WithoutCancel(ctx), controller)
	o.mutex.Lock()
	most := o.sent
	o.mutex.Unlock()
	var answer *localtier.StatusError
	if errors.As(err, &answer) && answer.Status == http.StatusNotFound {
		o.run.violate("CONFIG", "%s says that there is no configuration, and %d was acknowledged", controller, least)
	}
	if err != nil {
		return false
	}
	if read.Version < least || read.Version > most || !localtier.Same(read, configuration(read.Version)) {
		o.run.violate("CONFIG", "%s tells configuration %d; acknowledged before: %d, sent: %d", controller, read.Version, least, most)
	}
	o.run.mutex.Lock()
	defer o.run.mutex.Unlock()
	o.run.result.Reads++
	return true
}
