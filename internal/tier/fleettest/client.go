package fleettest

import (
	"fmt"
	"net/http"
	"time"
)

// Services that clients call, and properties of their turns.
const (
	modelService   = "model"
	toolService    = "tool"
	retention      = 60 * time.Second // for which a complete turn can be continued
	maxTurnRetries = 2
	maxTurnTokens  = 24 // tokens that a turn may generate
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

// clients stands for all clients, which run on one machine.
type clients struct {
	process  *process
	programs int
	attempts int
	ended    int // programs that ended, with any outcome
	complete int // programs whose last turn was complete
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

// readyProxy returns a random proxy that is ready, or any proxy if none is, as the platform's ingress would choose.
func (c *clients) readyProxy() string {
	ready := c.fleet().readyProxies()
	if len(ready) == 0 {
		ready = c.fleet().proxyAddresses()
	}
	return ready[c.fleet().loop.random.IntN(len(ready))]
}

// conversation is a sequence of turns of a program, each of which continues the previous one.
type conversation struct {
	clients        *clients
	program        string
	session        string
	budget         int64
	turns          int    // number of turns still to send
	previous       string // id of the turn that the next one continues
	isSubagent     bool
	startsSubagent bool // a sub-agent starts after the next complete turn
	done           func(last *request)
}

// runProgram runs a program with that many turns, and with a sub-agent if wanted. It calls done with the last turn.
func (c *clients) runProgram(turns int, budget int64, withSubagent bool, done func(last *request)) {
	conv := c.newConversation(turns, budget, done)
	conv.startsSubagent = withSubagent
	conv.nextTurn()
}

// continueProgram runs a program that continues a turn of another program.
func (c *clients) continueProgram(turns int, budget int64, previous string) {
	conv := c.newConversation(turns, budget, nil)
	conv.previous = previous
	conv.nextTurn()
}

func (c *clients) newConversation(turns int, budget int64, done func(last *request)) *conversation {
	c.programs++
	conv := &conversation{clients: c, program: fmt.Sprintf("p-%d", c.programs), session: fmt.Sprintf("s-%d", c.programs), budget: budget, turns: turns}
	conv.done = func(last *request) {
		c.ended++
		if last.Outcome == outcomeComplete {
			c.complete++
		}
		if done != nil {
			done(last)
		}
	}
	return conv
}

// nextTurn sends the next turn of the conversation.
func (conv *conversation) nextTurn() {
	conv.sendTurn(0)
}

// sendTurn sends the turn; a failed turn is sent again as a new attempt.
func (conv *conversation) sendTurn(resends int) {
	c := conv.clients
	input := fmt.Appendf(nil, "[%s %d] ", conv.session, conv.turns)
	sent := clientRequest{Service: modelService, IsTurn: true, Program: conv.program, Session: conv.session, Previous: conv.previous,
		Budget: conv.budget, MaxTokens: maxTurnTokens, Input: input}
	c.send(c.readyProxy(), sent, func(r *request) {
		switch {
		case r.Outcome == outcomeComplete:
			conv.turnCompleted(r)
		case r.Outcome == outcomeRejected && (r.Status == http.StatusPaymentRequired || r.Status == http.StatusNotFound), resends == maxTurnRetries:
			conv.done(r)
		default:
			c.process.after(c.fleet().loop.between(100*time.Millisecond, 400*time.Millisecond), func() { conv.sendTurn(resends + 1) })
		}
	})
}

// turnCompleted continues after a complete turn: it calls a tool, may start a sub-agent, and then sends the next turn.
func (conv *conversation) turnCompleted(r *request) {
	c := conv.clients
	conv.previous = r.ID
	conv.turns--
	if conv.turns <= 0 {
		conv.done(r)
		return
	}
	if conv.startsSubagent && !conv.isSubagent {
		conv.startsSubagent = false
		sub := &conversation{clients: c, program: conv.program, session: conv.session + "-sub", budget: conv.budget, turns: 2, previous: r.ID, isSubagent: true,
			done: func(*request) {}}
		sub.nextTurn()
	}
	toolCall := clientRequest{Service: toolService, Program: conv.program, Session: conv.session, MaxTokens: 2 * tokensPerEvent, Input: []byte("tool")}
	c.send(c.readyProxy(), toolCall, func(*request) {
		c.process.after(c.fleet().loop.between(10*time.Millisecond, 60*time.Millisecond), conv.nextTurn)
	})
}

// pollVersions asks each proxy which configuration it has in force.
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
