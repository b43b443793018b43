package fleettest

import (
	"bytes"
	"net/http"
	"time"

	"mastusher/internal/tier/program"
)

// proxyRequest is one request under way at a proxy.
type proxyRequest struct {
	proxy      *proxy
	client     *exchange
	asked      clientRequest
	deadline   time.Duration
	body       []byte
	begun      bool // the stores may hold a reservation
	settled    bool
	mayHaveRun bool
	over       bool
	answering  bool
	turnedAway map[string]bool // endpoints that promised not to run it
	endpoint   *exchange
	output     []byte
	events     int
}

// answer ends the request with a status of the proxy's own.
func (r *proxyRequest) answer(status int) {
	if r.over {
		return
	}
	r.over = true
	r.client.finish(answerHead{Status: status})
}

// abort breaks the client's answer off.
func (r *proxyRequest) abort() {
	if r.over {
		return
	}
	r.over = true
	r.client.breakOff()
}

// clientGone ends a request that nobody waits for.
func (r *proxyRequest) clientGone() {
	r.over = true
	if r.endpoint != nil {
		r.endpoint.abandon()
	}
	r.settle(false)
}

func (r *proxyRequest) now() time.Duration { return r.proxy.process.machine.fleet.loop.now }

// beginTurn has the stores take the turn.
func (r *proxyRequest) beginTurn() {
	r.begun = true
	turn := program.BeginTurn{Turn: r.asked.ID, Program: r.asked.Program, Budget: r.asked.Budget, MaxTokens: r.asked.Most,
		Remembered: true, Previous: r.asked.Previous, KeepForS: keepFor.Seconds(), Input: r.asked.Input}
	r.proxy.programs.begin(r.asked.Program, turn, requestTime/beginPart, r.taken)
}

// taken deals with the stores' answer.
func (r *proxyRequest) taken(result program.Result, err error) {
	switch {
	case err != nil:
		r.settle(false)
		r.refuse()
	case r.over:
		r.settle(false)
	case result.Verdict == program.Accepted:
		r.body = append(bytes.Clone(result.Chain), r.asked.Input...)
		r.send()
	case result.Verdict == program.BudgetExceeded:
		r.begun = false
		r.answer(http.StatusPaymentRequired)
	case result.Verdict == program.TurnNotFound:
		r.begun = false
		r.answer(http.StatusNotFound)
	default:
		r.refuse()
	}
}

// send sends the request to an endpoint.
func (r *proxyRequest) send() {
	if r.over {
		return
	}
	if !r.asked.IsTurn {
		r.body = r.asked.Input
	}
	endpoint, found := r.proxy.choose(r.asked.Service, r.turnedAway)
	if !found || len(r.turnedAway) >= mostTries {
		r.settle(false)
		r.refuse()
		return
	}
	request := endpointRequest{ID: r.asked.ID, Expected: endpoint.ID, Body: r.body, Most: r.asked.Most}
	r.endpoint = r.proxy.network().call(r.proxy.process, endpoint.Address, request, func(piece any) { r.piece(endpoint.ID, piece) }, r.endpointBroke)
	sent := r.endpoint
	r.proxy.process.after(r.deadline-r.now(), func() {
		if !sent.over && r.endpoint == sent && !r.answering {
			sent.abandon()
			r.endpointBroke(errTimeout)
		}
	})
}

// piece takes in a piece of the endpoint's answer.
func (r *proxyRequest) piece(endpoint string, piece any) {
	switch answered := piece.(type) {
	case endpointHead:
		r.endpoint.close()
		r.turnedAway[endpoint] = true
		r.send()
	case endpointEvent:
		r.event(answered)
	}
}

// event passes an event on. The last one waits until the stores have the end of the turn.
func (r *proxyRequest) event(event endpointEvent) {
	if r.over {
		return
	}
	r.events++
	r.output = append(append(r.output, event.Data...), '\n')
	if !event.Last {
		r.client.send(clientEvent{Data: event.Data, Run: event.Run})
		return
	}
	r.answering = true
	r.endpoint.close()
	whole := func() {
		if !r.over {
			r.over = true
			r.client.finish(clientEvent{Data: event.Data, Run: event.Run, Last: true})
		}
	}
	if !r.asked.IsTurn {
		whole()
		return
	}
	r.settled = true
	r.offerEnd(r.endOf(true), r.deadline, func(err error) {
		if err != nil {
			r.offerEnd(r.endOf(true), r.now()+settleFor, func(error) {})
			r.abort()
			return
		}
		whole()
	})
}

// endpointBroke deals with an endpoint whose answer ended early, or never came.
func (r *proxyRequest) endpointBroke(error) {
	if r.over {
		return
	}
	r.mayHaveRun = true
	r.settle(false)
	if r.events > 0 {
		r.abort()
		return
	}
	r.answer(http.StatusBadGateway)
}

// settle tells the stores, beside the request, how a turn ended that has not been settled yet.
func (r *proxyRequest) settle(whole bool) {
	if !r.begun || r.settled {
		return
	}
	r.settled = true
	r.offerEnd(r.endOf(whole), r.now()+settleFor, func(error) {})
}

func (r *proxyRequest) endOf(whole bool) program.EndTurn {
	end := program.EndTurn{Turn: r.asked.ID, Complete: whole, Tokens: int64(r.events * tokensPerEvent)}
	if whole {
		end.Output = r.output
	}
	return end
}

// offerEnd offers the end of a turn until it is acknowledged or the time is over.
func (r *proxyRequest) offerEnd(end program.EndTurn, deadline time.Duration, done func(error)) {
	left := deadline - r.now()
	if left <= 0 {
		done(errNoOwner)
		return
	}
	r.proxy.programs.end(r.asked.Program, end, min(settleTry, left), func(err error) {
		if err == nil {
			done(nil)
			return
		}
		r.proxy.process.after(settlePause, func() { r.offerEnd(end, deadline, done) })
	})
}
