package fleettest

import (
	"slices"
	"time"
)

// exchange is a call with its answer, which consists of one or more responses. It is over once either side ends it or its connection
// is lost.
type exchange struct {
	network           *network
	caller            *process
	server            *process
	callerIncarnation int
	serverIncarnation int
	closed            bool
	onResponse        func(response any) // at the caller
	onError           func(err error)    // at the caller, at most once; not if the caller ended the exchange itself
	onCallerCanceled  func()             // at the server, at most once; not after the exchange is over; may be nil
}

// call sends a request to the process at an address. onResponse is called for each response, and onError if the call fails.
func (n *network) call(from *process, address string, request any, onResponse func(any), onError func(error)) *exchange {
	e := &exchange{network: n, caller: from, callerIncarnation: from.incarnation, onResponse: onResponse, onError: onError}
	to := n.byAddress[address]
	if to == nil {
		return e // no process has the address: there is neither an answer nor a reset
	}
	e.server = to
	from.exchanges = append(from.exchanges, e)
	n.stream(from, to, func() { e.deliver(request) }, func() { e.fail(errTimeout) })
	return e
}

// ask makes a call with a single response. It calls done once, with the response or an error, at the latest after the timeout.
func (n *network) ask(from *process, address string, request any, timeout time.Duration, done func(answer any, err error)) {
	ended := false
	finish := func(answer any, err error) {
		if ended {
			return
		}
		ended = true
		done(answer, err)
	}
	var e *exchange
	e = n.call(from, address, request, func(response any) {
		e.close()
		finish(response, nil)
	}, func(err error) { finish(nil, err) })
	from.after(timeout, func() {
		if !ended {
			e.cancel()
			finish(nil, errTimeout)
		}
	})
}

// deliver passes the request to the server, or resets the connection if the server process doesn't run.
func (e *exchange) deliver(request any) {
	if e.closed {
		return
	}
	if !e.server.isRunning() {
		if e.server.machine.sendsResets() {
			e.network.stream(e.server, e.caller, func() { e.fail(errReset) }, nil)
		}
		return
	}
	e.serverIncarnation = e.server.incarnation
	e.server.exchanges = append(e.server.exchanges, e)
	e.server.execute(e.serverIncarnation, func() { e.server.handler.serve(e, request) })
}

// sendsResets reports whether the machine runs, so that it resets connections to processes that have ended.
func (m *Machine) sendsResets() bool { return !m.removed && !m.poweredOff }

// send sends a response.
func (e *exchange) send(response any) {
	if e.closed {
		return
	}
	e.network.stream(e.server, e.caller, func() {
		e.caller.execute(e.callerIncarnation, func() {
			if !e.closed {
				e.onResponse(response)
			}
		})
	}, func() { e.fail(errTimeout) })
}

// finish sends the last response and ends the exchange at the server.
func (e *exchange) finish(response any) {
	e.send(response)
	e.server.dropExchange(e)
}

// abort ends the exchange at the server before the answer is complete; the caller sees a reset.
func (e *exchange) abort() {
	if e.closed {
		return
	}
	e.network.stream(e.server, e.caller, func() { e.fail(errReset) }, nil)
}

// cancel ends the exchange at the caller and notifies the server.
func (e *exchange) cancel() {
	if e.closed {
		return
	}
	e.close()
	e.notifyServer()
}

// notifyServer tells the server that the caller has canceled.
func (e *exchange) notifyServer() {
	canceled, incarnation := e.onCallerCanceled, e.serverIncarnation
	if canceled == nil || e.server == nil {
		return
	}
	e.network.stream(e.caller, e.server, func() { e.server.execute(incarnation, canceled) }, nil)
}

// fail ends the exchange with an error at the caller.
func (e *exchange) fail(err error) {
	if e.closed {
		return
	}
	e.close()
	e.caller.execute(e.callerIncarnation, func() { e.onError(err) })
}

// reset ends the exchange at both sides at once.
func (e *exchange) reset() {
	if e.closed {
		return
	}
	canceled, incarnation := e.onCallerCanceled, e.serverIncarnation
	e.fail(errReset)
	if canceled != nil {
		e.server.execute(incarnation, canceled)
	}
}

// close ends the exchange without notifying either side.
func (e *exchange) close() {
	e.closed = true
	e.caller.dropExchange(e)
	if e.server != nil {
		e.server.dropExchange(e)
	}
}

// processEnded ends the exchange when the process at one side ends. With reset, the other side sees a reset.
func (e *exchange) processEnded(p *process, reset bool) {
	if e.closed {
		return
	}
	if p == e.caller {
		e.close()
		if reset {
			e.notifyServer()
		}
		return
	}
	if reset {
		e.network.stream(e.server, e.caller, func() { e.fail(errReset) }, nil)
	}
}

func (p *process) dropExchange(e *exchange) {
	if at := slices.Index(p.exchanges, e); at >= 0 {
		p.exchanges = slices.Delete(p.exchanges, at, at+1)
	}
}
