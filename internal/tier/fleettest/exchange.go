package fleettest

import (
	"slices"
	"time"
)

// exchange is a call and its answer, which comes in pieces. It is over once either side ends it or its connection is lost.
type exchange struct {
	network      *network
	caller       *process
	server       *process
	callerLife   int
	serverLife   int
	over         bool
	onPiece      func(piece any) // at the caller
	onBreak      func(err error) // at the caller, once, unless it ended the exchange itself
	onCallerGone func()          // at the server, once, unless the exchange was over; may be nil
}

// call sends a request to whoever has the address when it arrives. The caller is told pieces, and of a break.
func (n *network) call(from *process, address string, request any, onPiece func(any), onBreak func(error)) *exchange {
	e := &exchange{network: n, caller: from, callerLife: from.life, onPiece: onPiece, onBreak: onBreak}
	to := n.byAddress[address]
	if to == nil {
		return e // an address that nobody has says nothing
	}
	e.server = to
	from.exchanges = append(from.exchanges, e)
	n.stream(from, to, func() { e.arrive(request) }, func() { e.broken(errTimeout) })
	return e
}

// ask makes a call that is answered by one piece within a time.
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
	e = n.call(from, address, request, func(piece any) {
		e.close()
		finish(piece, nil)
	}, func(err error) { finish(nil, err) })
	from.after(timeout, func() {
		if !ended {
			e.abandon()
			finish(nil, errTimeout)
		}
	})
}

// arrive hands the request to the process at the address.
func (e *exchange) arrive(request any) {
	if e.over {
		return
	}
	if !e.server.up() {
		if e.server.machine.answersFor() {
			e.network.stream(e.server, e.caller, func() { e.broken(errReset) }, nil)
		}
		return
	}
	e.serverLife = e.server.life
	e.server.exchanges = append(e.server.exchanges, e)
	e.server.enter(e.serverLife, func() { e.server.handler.serve(e, request) })
}

// answersFor tells whether the machine is there to reset connections to a process that has ended.
func (m *Machine) answersFor() bool { return !m.removed && !m.powerless }

// send sends a piece of the answer.
func (e *exchange) send(piece any) {
	if e.over {
		return
	}
	e.network.stream(e.server, e.caller, func() {
		e.caller.enter(e.callerLife, func() {
			if !e.over {
				e.onPiece(piece)
			}
		})
	}, func() { e.broken(errTimeout) })
}

// finish sends the last piece.
func (e *exchange) finish(piece any) {
	e.send(piece)
	e.server.dropExchange(e)
}

// breakOff ends the answer before its end, as the server.
func (e *exchange) breakOff() {
	if e.over {
		return
	}
	e.network.stream(e.server, e.caller, func() { e.broken(errReset) }, nil)
}

// abandon ends the exchange as the caller.
func (e *exchange) abandon() {
	if e.over {
		return
	}
	e.close()
	e.tellServer()
}

// tellServer tells the server that its caller has gone.
func (e *exchange) tellServer() {
	gone, life := e.onCallerGone, e.serverLife
	if gone == nil || e.server == nil {
		return
	}
	e.network.stream(e.caller, e.server, func() { e.server.enter(life, gone) }, nil)
}

// broken tells the caller that nothing more will come.
func (e *exchange) broken(err error) {
	if e.over {
		return
	}
	e.close()
	e.caller.enter(e.callerLife, func() { e.onBreak(err) })
}

// reset breaks the exchange at both sides at once.
func (e *exchange) reset() {
	if e.over {
		return
	}
	gone, life := e.onCallerGone, e.serverLife
	e.broken(errReset)
	if gone != nil {
		e.server.enter(life, gone)
	}
}

// close ends the exchange without telling anyone.
func (e *exchange) close() {
	e.over = true
	e.caller.dropExchange(e)
	if e.server != nil {
		e.server.dropExchange(e)
	}
}

// processEnded deals with the end of a process at one side.
func (e *exchange) processEnded(p *process, reset bool) {
	if e.over {
		return
	}
	if p == e.caller {
		e.close()
		if reset {
			e.tellServer()
		}
		return
	}
	if reset {
		e.network.stream(e.server, e.caller, func() { e.broken(errReset) }, nil)
	}
}

func (p *process) dropExchange(e *exchange) {
	if at := slices.Index(p.exchanges, e); at >= 0 {
		p.exchanges = slices.Delete(p.exchanges, at, at+1)
	}
}
