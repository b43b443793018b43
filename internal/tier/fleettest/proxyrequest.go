package fleettest

import (
	"bytes"
	"net/http"
	"time"

	"mastusher/internal/tier/program"
)

// proxyRequest is one request in progress at a proxy.
type proxyRequest struct {
	proxy      *proxy
	client     *exchange
	request    clientRequest
	deadline   time.Duration
	body       []byte
	reserved   bool            // the stores may hold a reservation
	committed  bool            // the end of the turn has been sent to the stores
	mayHaveRun bool            // an endpoint failed after it was sent the request
	ended      bool            // the client has its answer, or has canceled
	committing bool            // the endpoint's answer is complete
	rejectedBy map[string]bool // ids of the endpoints that have rejected the request, where it has not run
	endpoint   *exchange
	output     []byte // of the endpoint so far
	events     int    // received from the endpoint
}

// answer ends the request with a status of the proxy itself.
func (r *proxyRequest) answer(status int) {
	if r.ended {
		return
	}
	r.ended = true
	r.client.finish(answerHead{Status: status})
}

// abort aborts the answer to the client.
func (r *proxyRequest) abort() {
	if r.ended {
		return
	}
	r.ended = true
	r.client.abort()
}

// clientCanceled ends a request that the client has canceled.
func (r *proxyRequest) clientCanceled() {
	r.ended = true
	if r.endpoint != nil {
		r.endpoint.cancel()
	}
	r.commitIncomplete()
}

func (r *proxyRequest) now() time.Duration { return r.proxy.process.machine.fleet.loop.Now() }

// beginTurn asks the stores to begin the turn.
func (r *proxyRequest) beginTurn() {
	r.reserved = true
	turn := program.BeginTurn{Turn: r.request.ID, Program: r.request.Program, Budget: r.request.Budget, MaxTokens: r.request.MaxTokens,
		Remembered: true, Previous: r.request.Previous, KeepForS: retention.Seconds(), Input: r.request.Input}
	r.proxy.programs.beginTurn(r.request.Program, turn, requestTimeout/beginTimeoutDivisor, r.turnBegun)
}

// turnBegun handles the stores' answer to beginTurn.
func (r *proxyRequest) turnBegun(result program.Result, err error) {
	switch {
	case err != nil:
		r.commitIncomplete()
		r.reject()
	case r.ended:
		r.commitIncomplete()
	case result.Verdict == program.Accepted:
		r.body = append(bytes.Clone(result.Chain), r.request.Input...)
		r.send()
	case result.Verdict == program.BudgetExceeded:
		r.reserved = false
		r.answer(http.StatusPaymentRequired)
	case result.Verdict == program.TurnNotFound:
		r.reserved = false
		r.answer(http.StatusNotFound)
	default:
		r.reject()
	}
}

// send sends the request to an endpoint.
func (r *proxyRequest) send() {
	if r.ended {
		return
	}
	if !r.request.IsTurn {
		r.body = r.request.Input
	}
	endpoint, found := r.proxy.selectEndpoint(r.request.Service, r.rejectedBy)
	if !found || len(r.rejectedBy) >= maxAttempts {
		r.commitIncomplete()
		r.reject()
		return
	}
	request := endpointRequest{ID: r.request.ID, Expected: endpoint.ID, Body: r.body, MaxTokens: r.request.MaxTokens}
	r.endpoint = r.proxy.network().call(r.proxy.process, endpoint.Address, request, func(response any) { r.handleResponse(endpoint.ID, response) }, r.endpointFailed)
	sent := r.endpoint
	r.proxy.process.after(r.deadline-r.now(), func() {
		if !sent.closed && r.endpoint == sent && !r.committing {
			sent.cancel()
			r.endpointFailed(errTimeout)
		}
	})
}

// handleResponse handles a response of the endpoint.
func (r *proxyRequest) handleResponse(endpoint string, response any) {
	switch answered := response.(type) {
	case endpointRejection:
		r.endpoint.close()
		r.rejectedBy[endpoint] = true
		r.send()
	case endpointEvent:
		r.handleEvent(answered)
	}
}

// handleEvent forwards an event to the client. The last event waits until the stores have committed the end of the turn.
func (r *proxyRequest) handleEvent(event endpointEvent) {
	if r.ended {
		return
	}
	r.events++
	r.output = append(append(r.output, event.Data...), '\n')
	if !event.Last {
		r.client.send(clientEvent{Data: event.Data, Run: event.Run})
		return
	}
	r.committing = true
	r.endpoint.close()
	finish := func() {
		if !r.ended {
			r.ended = true
			r.client.finish(clientEvent{Data: event.Data, Run: event.Run, Last: true})
		}
	}
	if !r.request.IsTurn {
		finish()
		return
	}
	r.committed = true
	r.commitUntil(r.endTurn(true), r.deadline, func(err error) {
		if err != nil {
			r.commitUntil(r.endTurn(true), r.now()+commitTimeout, func(error) {})
			r.abort()
			return
		}
		finish()
	})
}

// endpointFailed handles an answer of the endpoint that ended early or never came.
func (r *proxyRequest) endpointFailed(error) {
	if r.ended {
		return
	}
	r.mayHaveRun = true
	r.commitIncomplete()
	if r.events > 0 {
		r.abort()
		return
	}
	r.answer(http.StatusBadGateway)
}

// commitIncomplete commits, in the background, the end of a turn without a complete answer, unless its end has been sent already.
func (r *proxyRequest) commitIncomplete() {
	if !r.reserved || r.committed {
		return
	}
	r.committed = true
	r.commitUntil(r.endTurn(false), r.now()+commitTimeout, func(error) {})
}

// endTurn returns the command that ends the turn.
func (r *proxyRequest) endTurn(complete bool) program.EndTurn {
	end := program.EndTurn{Turn: r.request.ID, Complete: complete, Tokens: int64(r.events * tokensPerEvent)}
	if complete {
		end.Output = r.output
	}
	return end
}

// commitUntil sends the end of a turn repeatedly until it is acknowledged or the deadline has passed.
func (r *proxyRequest) commitUntil(end program.EndTurn, deadline time.Duration, done func(error)) {
	left := deadline - r.now()
	if left <= 0 {
		done(errNoLeader)
		return
	}
	r.proxy.programs.endTurn(r.request.Program, end, min(commitAttemptTimeout, left), func(err error) {
		if err == nil {
			done(nil)
			return
		}
		r.proxy.process.after(commitBackoff, func() { r.commitUntil(end, deadline, done) })
	})
}
