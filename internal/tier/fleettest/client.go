package fleettest

import (
	"fmt"
	"net/http"
	"time"
)

// What clients ask for.
const (
	modelService   = "model"
	toolService    = "tool"
	retention      = 60 * time.Second
	maxTurnRetries = 2
	maxTurnTokens  = 24 // tokens
)

// clientRequest is a request as a proxy reads it.
type clientRequest struct {
	ID        string
	Service   string
	IsTurn    bool
	Program   string
	Session   string
	Previous  string
	Budget    int64
	MaxTokens int64
	Input     []byte
}

// Other requests to proxies, and their answers.
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
	attempts int
	ended    int // programs that ended, in whatever way
	complete int // programs that ended complete
}

func (*clients) handleMessage(string, any)  {}
func (*clients) handleDatagram(string, any) {}
func (*clients) serve(*exchange, any)       {}

func (c *clients) fleet() *Fleet { return c.process.machine.fleet }

// send sends one attempt to a proxy, and calls done when it has ended.
func (c *clients) send(proxy string, sent clientRequest, done func(*request)) *request {
	f := c.fleet()
	c.attempts++
	sent.ID = fmt.Sprintf("t-%d", c.attempts)
	record := f.history.addRequest(sent, proxy, f.loop.Now())
	ended := func(outcome outcome, status int) {
		if record.Outcome != outcomePending {
			return
		}
		record.Outcome, record.Status, record.Ended = outcome, status, f.loop.Now()
		f.trace("client: %s at %s previous %q: outcome %d status %d", record.ID, proxy, record.Previous, outcome, status)
		if done != nil {
			done(record)
		}
	}
	var e *exchange
	e = f.network.call(c.process, proxy, sent, func(response any) {
		if record.Outcome != outcomePending {
			return
		}
		switch answered := response.(type) {
		case answerHead:
			e.close()
			ended(outcomeRejected, answered.Status)
		case clientEvent:
			record.Events, record.Runs = append(record.Events, answered.Data), append(record.Runs, answered.Run)
			if answered.Last {
				e.close()
				ended(outcomeComplete, http.StatusOK)
			}
		}
	}, func(error) { ended(outcomeAborted, 0) })
	c.process.after(requestTimeout, func() {
		if record.Outcome == outcomePending {
			e.cancel()
			ended(outcomeAborted, 0)
		}
	})
	return record
}

// readyProxy picks a proxy that calls itself ready, as the platform's ingress sees it.
func (c *clients) readyProxy() string {
	ready := c.fleet().readyProxies()
	if len(ready) == 0 {
		ready = c.fleet().proxyAddresses()
	}
	return ready[c.fleet().loop.random.IntN(len(ready))]
}

// conversation is a sequence of turns of a program, each continuing the one before.
type conversation struct {
	clients        *clients
	program        string
	session        string
	budget         int64
	turns          int // that are still to come
	previous       string
	isSubagent     bool
	startsSubagent bool // a sub-agent is started on the way
	done           func(last *request)
}

// runProgram runs a program of some turns, with a sub-agent if asked for, and calls done with its last turn.
func (c *clients) runProgram(turns int, budget int64, withSubagent bool, done func(last *request)) {
	l := c.newConversation(turns, budget, done)
	l.startsSubagent = withSubagent
	l.nextTurn()
}

// continueProgram runs a program that continues a turn of another.
func (c *clients) continueProgram(turns int, budget int64, previous string) {
	l := c.newConversation(turns, budget, nil)
	l.previous = previous
	l.nextTurn()
}

func (c *clients) newConversation(turns int, budget int64, done func(last *request)) *conversation {
	c.programs++
	l := &conversation{clients: c, program: fmt.Sprintf("p-%d", c.programs), session: fmt.Sprintf("s-%d", c.programs), budget: budget, turns: turns}
	l.done = func(last *request) {
		c.ended++
		if last.Outcome == outcomeComplete {
			c.complete++
		}
		if done != nil {
			done(last)
		}
	}
	return l
}

// nextTurn sends the next turn of the conversation.
func (l *conversation) nextTurn() {
	l.sendTurn(0)
}

// sendTurn sends the turn; a failed one is sent again from its start, as a new attempt.
func (l *conversation) sendTurn(resends int) {
	c := l.clients
	input := fmt.Appendf(nil, "[%s %d] ", l.session, l.turns)
	sent := clientRequest{Service: modelService, IsTurn: true, Program: l.program, Session: l.session, Previous: l.previous,
		Budget: l.budget, MaxTokens: maxTurnTokens, Input: input}
	c.send(c.readyProxy(), sent, func(r *request) {
		switch {
		case r.Outcome == outcomeComplete:
			l.turnCompleted(r)
		case r.Outcome == outcomeRejected && (r.Status == http.StatusPaymentRequired || r.Status == http.StatusNotFound), resends == maxTurnRetries:
			l.done(r)
		default:
			c.process.after(c.fleet().loop.between(100*time.Millisecond, 400*time.Millisecond), func() { l.sendTurn(resends + 1) })
		}
	})
}

// turnCompleted continues after a complete turn: it calls a tool, may start a sub-agent, and then sends the next turn.
func (l *conversation) turnCompleted(r *request) {
	c := l.clients
	l.previous = r.ID
	l.turns--
	if l.turns <= 0 {
		l.done(r)
		return
	}
	if l.startsSubagent && !l.isSubagent {
		l.startsSubagent = false
		sub := &conversation{clients: c, program: l.program, session: l.session + "-sub", budget: l.budget, turns: 2, previous: r.ID, isSubagent: true,
			done: func(*request) {}}
		sub.nextTurn()
	}
	toolCall := clientRequest{Service: toolService, Program: l.program, Session: l.session, MaxTokens: 2 * tokensPerEvent, Input: []byte("tool")}
	c.send(c.readyProxy(), toolCall, func(*request) {
		c.process.after(c.fleet().loop.between(10*time.Millisecond, 60*time.Millisecond), l.nextTurn)
	})
}

// pollVersions asks each proxy which configuration is in force.
func (c *clients) pollVersions() {
	f := c.fleet()
	for _, proxy := range f.proxyAddresses() {
		started := f.loop.Now()
		f.network.ask(c.process, proxy, versionRequest{}, operatorTimeout, func(response any, err error) {
			answer, _ := response.(versionAnswer)
			if err != nil || answer.Content.Number == 0 {
				return
			}
			seen := versionSeen{Proxy: proxy, Incarnation: answer.Incarnation, Content: answer.Content, Started: started, Ended: f.loop.Now()}
			f.history.versions = append(f.history.versions, seen)
		})
	}
}
