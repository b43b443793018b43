package fleettest

import (
	"fmt"
	"net/http"
	"time"
)

// What clients ask for.
const (
	modelService = "model"
	toolService  = "tool"
	keepFor      = 60 * time.Second
	turnResends  = 2
	turnMost     = 24 // tokens
)

// clientRequest is a request as a proxy reads it.
type clientRequest struct {
	ID       string
	Service  string
	IsTurn   bool
	Program  string
	Session  string
	Previous string
	Budget   int64
	Most     int64
	Input    []byte
}

// What proxies are asked and answer besides.
type (
	readyRequest   struct{}
	versionRequest struct{}
	versionAnswer  struct {
		Incarnation int
		Content     Content
	}
	answerHead  struct{ Status int }
	clientEvent struct {
		Data []byte
		Run  int
		Last bool
	}
)

// clients are all clients, on a machine of their own.
type clients struct {
	process  *process
	programs int
	tries    int
	ended    int // programs that ended, in whatever way
	complete int // programs that ended whole
}

func (*clients) notice(string, any)   {}
func (*clients) datagram(string, any) {}
func (*clients) serve(*exchange, any) {}

func (c *clients) fleet() *Fleet { return c.process.machine.fleet }

// send sends one try to a proxy, and tells done when it has ended.
func (c *clients) send(proxy string, sent clientRequest, done func(*request)) *request {
	f := c.fleet()
	c.tries++
	sent.ID = fmt.Sprintf("t-%d", c.tries)
	r := f.history.send(sent, proxy, f.loop.now)
	ended := func(outcome outcome, status int) {
		if r.Outcome != underWay {
			return
		}
		r.Outcome, r.Status, r.Ended = outcome, status, f.loop.now
		f.trace("client: %s at %s previous %q: outcome %d status %d", r.ID, proxy, r.Previous, outcome, status)
		if done != nil {
			done(r)
		}
	}
	var e *exchange
	e = f.network.call(c.process, proxy, sent, func(piece any) {
		if r.Outcome != underWay {
			return
		}
		switch answered := piece.(type) {
		case answerHead:
			e.close()
			ended(refused, answered.Status)
		case clientEvent:
			r.Events, r.Runs = append(r.Events, answered.Data), append(r.Runs, answered.Run)
			if answered.Last {
				e.close()
				ended(whole, http.StatusOK)
			}
		}
	}, func(error) { ended(broken, 0) })
	c.process.after(requestTime, func() {
		if r.Outcome == underWay {
			e.abandon()
			ended(broken, 0)
		}
	})
	return r
}

// readyProxy picks a proxy that calls itself ready, as the platform's ingress sees it.
func (c *clients) readyProxy() string {
	ready := c.fleet().readyProxies()
	if len(ready) == 0 {
		ready = c.fleet().proxyAddresses()
	}
	return ready[c.fleet().loop.random.IntN(len(ready))]
}

// line is one line of turns of a program.
type line struct {
	clients  *clients
	program  string
	session  string
	budget   int64
	turns    int // that are still to come
	previous string
	sub      bool
	helpers  bool // a sub-agent is started on the way
	done     func(last *request)
}

// play plays a program of some turns, with sub-agents, and tells done with its last turn.
func (c *clients) play(turns int, budget int64, helpers bool, done func(last *request)) {
	l := c.newLine(turns, budget, done)
	l.helpers = helpers
	l.next()
}

// goOn plays a program that goes on from a turn of another.
func (c *clients) goOn(turns int, budget int64, previous string) {
	l := c.newLine(turns, budget, nil)
	l.previous = previous
	l.next()
}

func (c *clients) newLine(turns int, budget int64, done func(last *request)) *line {
	c.programs++
	l := &line{clients: c, program: fmt.Sprintf("p-%d", c.programs), session: fmt.Sprintf("s-%d", c.programs), budget: budget, turns: turns}
	l.done = func(last *request) {
		c.ended++
		if last.Outcome == whole {
			c.complete++
		}
		if done != nil {
			done(last)
		}
	}
	return l
}

// next takes the line's next turn.
func (l *line) next() {
	l.try(0)
}

// try sends the turn; a failed one is sent again from its start, as a new try.
func (l *line) try(resends int) {
	c := l.clients
	input := fmt.Appendf(nil, "[%s %d] ", l.session, l.turns)
	sent := clientRequest{Service: modelService, IsTurn: true, Program: l.program, Session: l.session, Previous: l.previous,
		Budget: l.budget, Most: turnMost, Input: input}
	c.send(c.readyProxy(), sent, func(r *request) {
		switch {
		case r.Outcome == whole:
			l.taken(r)
		case r.Outcome == refused && (r.Status == http.StatusPaymentRequired || r.Status == http.StatusNotFound), resends == turnResends:
			l.done(r)
		default:
			c.process.after(c.fleet().loop.between(100*time.Millisecond, 400*time.Millisecond), func() { l.try(resends + 1) })
		}
	})
}

// taken goes on after a whole turn: a tool is called or a sub-agent started, and then comes the next turn.
func (l *line) taken(r *request) {
	c := l.clients
	l.previous = r.ID
	l.turns--
	if l.turns <= 0 {
		l.done(r)
		return
	}
	if l.helpers && !l.sub {
		l.helpers = false
		sub := &line{clients: c, program: l.program, session: l.session + "-sub", budget: l.budget, turns: 2, previous: r.ID, sub: true,
			done: func(*request) {}}
		sub.next()
	}
	c.send(c.readyProxy(), clientRequest{Service: toolService, Program: l.program, Session: l.session, Most: 2 * tokensPerEvent, Input: []byte("tool")}, func(*request) {
		c.process.after(c.fleet().loop.between(10*time.Millisecond, 60*time.Millisecond), l.next)
	})
}

// lookAtVersions asks each proxy which configuration is in force.
func (c *clients) lookAtVersions() {
	f := c.fleet()
	for _, proxy := range f.proxyAddresses() {
		started := f.loop.now
		f.network.ask(c.process, proxy, versionRequest{}, operatorPatience, func(piece any, err error) {
			answer, _ := piece.(versionAnswer)
			if err != nil || answer.Content.Number == 0 {
				return
			}
			f.history.versions = append(f.history.versions, versionSeen{Proxy: proxy, Incarnation: answer.Incarnation, Content: answer.Content, Started: started, Ended: f.loop.now})
		})
	}
}
