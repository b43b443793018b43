package proxy

import (
	"io"

	"mastusher/internal/tier/upstream"
)

// deliverStream passes a stream on event by event. It returns true when the stream is to be taken up at another endpoint.
func (c *call) deliverStream(a *attempt, buffer []byte) (again bool) {
	for {
		n, err := a.answer.Read(buffer)
		if n > 0 && !c.takeEvents(a, buffer[:n]) {
			return c.streamCut(a)
		}
		if err == io.EOF && c.endsWhole(a) {
			return false
		}
		if err != nil {
			return c.streamCut(a)
		}
	}
}

// takeEvents passes on the events that bytes complete. It returns false when the stream ends there: its attempt was given up
// before its first event, or what came can't be passed on.
func (c *call) takeEvents(a *attempt, data []byte) bool {
	before := c.scanner.progress()
	events := c.scanner.feed(data)
	if len(events) > 0 && !a.inTime() {
		c.scanner.rewind(before)
		return false
	}
	c.passEvents(a, events)
	return !c.scanner.spoiled
}

// endsWhole takes the end of an answer's body. It returns false where that is no end of the stream.
func (c *call) endsWhole(a *attempt) bool {
	if c.cutAtClose(a) {
		return false
	}
	rest := c.scanner.finish()
	if c.scanner.spoiled {
		return false
	}
	c.finishStream(a, rest)
	return true
}

// cutAtClose tells whether a stream whose end only the connection tells was closed inside an event.
func (c *call) cutAtClose(a *attempt) bool {
	return a.answer.CloseDelimited && c.scanner.insideEvent()
}

// passEvents passes whole events on at once.
func (c *call) passEvents(a *attempt, events []byte) {
	if len(events) == 0 {
		return
	}
	if a.outcome.FirstByte == 0 {
		c.firstByte(a)
		c.proxy.options.Selector.FirstEvent(a.choice, a.outcome.Load)
	}
	c.commit(a)
	if c.holdsBack(a) && c.turn.passed+int64(len(events)) >= a.answer.ContentLength {
		c.turn.last = append(c.turn.last, events[len(events)-1])
		events = events[:len(events)-1]
	}
	if c.turn != nil {
		c.turn.passed += int64(len(events))
	}
	c.write(a, events)
	c.flush(a)
}

// holdsBack tells whether the last byte of the answer waits for the stores. In an answer of untold length that is the byte
// that ends it, which goes out when the request returns.
func (c *call) holdsBack(a *attempt) bool {
	return c.turn != nil && c.turn.remembered && a.answer.ContentLength > 0
}

// finishStream ends a stream whose last byte has come, with an event that no blank line ended. A remembered turn is made safe
// before the client has all of it.
func (c *call) finishStream(a *attempt, rest []byte) {
	c.passEvents(a, rest)
	c.finished(a)
	c.commit(a)
	c.done(a)
	if c.turn == nil {
		return
	}
	c.turn.settled = true
	end := c.turn.end(true, &c.scanner)
	if !c.turn.remembered {
		c.proxy.settler.settle(c.turn.key, end)
		return
	}
	if err := endTurn(c.context, c.proxy.options.Programs, c.turn.key, end); err != nil {
		// The client sees a cut answer, so the turn doesn't count; its tokens do.
		end.Complete, end.Output = false, nil
		if err != errUnknownTurn {
			c.proxy.settler.settle(c.turn.key, end)
		}
		abort()
	}
	if len(c.turn.last) > 0 {
		c.write(a, c.turn.last)
	}
}

// streamCut deals with a stream that broke off: it is taken up at another endpoint if that is allowed and can be done
// without a gap.
func (c *call) streamCut(a *attempt) (again bool) {
	if !c.committed {
		c.scanner.restart()
		return c.broken(a)
	}
	a.outcome.Result = c.brokenResult(a)
	c.ran(a.outcome.Result)
	if !c.resumable(a.answer) || !c.mayTryAgain() {
		abort()
	}
	c.scanner.restart()
	return true
}

// resumable tells whether another endpoint can go on where an answer broke off: each event has an id, and no length was told.
func (c *call) resumable(answer *upstream.Response) bool {
	return c.facts.Route.Resumable && c.scanner.lastID != "" && !c.scanner.unnumbered && answer.ContentLength < 0
}
