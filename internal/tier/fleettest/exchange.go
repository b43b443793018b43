package fleettest

import (
	"slices"
	"time"
)

// exchange is a call and its answer, which comes as one or several responses. It is over once either side ends it or its connection is lost.
type exchange struct {
	network           *network
	caller            *process
	server            *process
	callerIncarnation int
	serverIncarnation int
	closed            bool
	onResponse        func(response any) // at the caller
	onError           func(err error)    // at the caller, once, unless it ended the exchange itself
	onCallerCanceled  func()             // at the server, once, unless the exchange was over; may be nil
}

// call sends a request to whoever has the address when it arrives. onResponse is called for each response, and onError if the call breaks.
func (n *network) call(from *process, address string, request any, onResponse func(any), onError func(error)) *exchange {
	e := &exchange{network: n, caller: from, callerIncarnation: from.incarnation, onResponse: onResponse, onError: onError}
	to := n.byAddress[address]
	if to == nil {
		return e // nobody has the address: there is no answer, and no reset
	}
	e.server = to
	from.exchanges = append(from.exchanges, e)
	n.stream(from, to, func() { e.deliver(request) }, func() { e.fail(errTimeout) })
	return e
}

// ask makes a call that is answered by one response within a timeout.
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

// deliver passes the request to the process at the address.
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

// sendsResets reports whether the machine is there to reset connections to a process that has ended.
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

// finish sends the last response.
func (e *exchange) finish(response any) {
	e.send(response)
	e.server.dropExchange(e)
}

// abort ends the answer before its end, as the server.
func (e *exchange) abort() {
	if e.closed {
		return
	}
	e.network.stream(e.server, e.caller, func() { e.fail(errReset) }, nil)
}

// cancel ends the exchange as the caller.
func (e *exchange) cancel() {
	if e.closed {
		return
	}
	e.close()
	e.notifyServer()
}

// notifyServer tells the server that its caller has canceled.
func (e *exchange) notifyServer() {
	canceled, incarnation := e.onCallerCanceled, e.serverIncarnation
	if canceled == nil || e.server == nil {
		return
	}
	e.network.stream(e.caller, e.server, func() { e.server.execute(incarnation, canceled) }, nil)
}

// fail tells the caller that nothing more will come.
func (e *exchange) fail(err error) {
	if e.closed {
		return
	}
	e.close()
	e.caller.execute(e.callerIncarnation, func() { e.onError(err) })
}

// reset breaks the exchange at both sides at once.
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

// close ends the exchange without telling anyone.
func (e *exchange) close() {
	e.closed = true
	e.caller.dropExchange(e)
	if e.server != nil {
		e.server.dropExchange(e)
	}
}

// processEnded handles the end of a process at one side.
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
