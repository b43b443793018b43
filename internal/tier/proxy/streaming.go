package proxy

import (
	"errors"
	"io"

	"mastusher/internal/tier/upstream"
)

// forwardStream forwards a stream event by event. It returns true if the stream is to be resumed at another endpoint.
func (c *clientRequest) forwardStream(a *attempt, buffer []byte) (retry bool) {
	for {
		n, err := a.response.Read(buffer)
		if n > 0 && (!c.reserveOutput(n) || !c.scanEvents(a, buffer[:n])) {
			return c.handleStreamInterrupted(a)
		}
		if errors.Is(err, io.EOF) && c.finishAtEOF(a) {
			return false
		}
		if err != nil {
			return c.handleStreamInterrupted(a)
		}
	}
}

// scanEvents forwards the events that data completes. It returns false if the attempt timed out before its first event, or if the
// stream is unforwardable.
func (c *clientRequest) scanEvents(a *attempt, data []byte) bool {
	before := c.scanner.progress()
	events := c.scanner.feed(data)
	if len(events) > 0 && !a.stopTimeout() {
		c.scanner.rewind(before)
		return false
	}
	c.forwardEvents(a, events)
	return !c.scanner.unforwardable
}

// finishAtEOF handles the end of a response's body. It returns false if the stream is incomplete there.
func (c *clientRequest) finishAtEOF(a *attempt) bool {
	if c.closedInsideEvent(a) {
		return false
	}
	rest := c.scanner.finish()
	if c.scanner.unforwardable {
		return false
	}
	c.finishStream(a, rest)
	return true
}

// closedInsideEvent reports whether the end of a close-delimited stream is inside an event.
func (c *clientRequest) closedInsideEvent(a *attempt) bool {
	return a.response.CloseDelimited && c.scanner.insideEvent()
}

// forwardEvents forwards complete events immediately.
func (c *clientRequest) forwardEvents(a *attempt, events []byte) {
	if len(events) == 0 {
		return
	}
	if a.outcome.FirstByte == 0 {
		c.recordFirstByte(a)
		c.proxy.options.Selector.FirstEvent(a.selection, a.outcome.Load)
	}
	c.writeHeader(a)
	if c.withholdsLastByte(a) && c.turn.bytesForwarded+int64(len(events)) >= a.response.ContentLength {
		c.turn.withheld = append(c.turn.withheld, events[len(events)-1])
		events = events[:len(events)-1]
	}
	if c.turn != nil {
		c.turn.bytesForwarded += int64(len(events))
	}
	c.write(a, events)
	c.flush(a)
}

// withholdsLastByte reports whether the last byte of the response is withheld until the turn is committed. A response of unknown
// length ends with a final chunk, which net/http sends only after the request has been served, so none of its bytes is withheld.
func (c *clientRequest) withholdsLastByte(a *attempt) bool {
	return c.turn != nil && c.turn.stateful && a.response.ContentLength > 0
}

// finishStream ends a stream whose last byte has been received. rest is an event without a closing blank line, or empty.
func (c *clientRequest) finishStream(a *attempt, rest []byte) {
	c.forwardEvents(a, rest)
	c.recordComplete(a)
	c.writeHeader(a)
	c.finishAttempt(a)
	if c.turn == nil {
		return
	}
	c.commitCompleteTurn()
	if len(c.turn.withheld) > 0 {
		c.write(a, c.turn.withheld)
	}
}

// commitCompleteTurn commits a turn whose stream is complete. A stateful turn must be committed before the client has its whole
// response; if the commit fails, the response is aborted.
func (c *clientRequest) commitCompleteTurn() {
	c.turn.committed = true
	end := c.turn.endCommand(true, &c.scanner)
	if !c.turn.stateful {
		c.proxy.usage.commit(c.turn.key, end)
		return
	}
	err := commitTurn(c.context, c.proxy.options.Programs, c.turn.key, end)
	if err == nil {
		return
	}
	// The client sees an incomplete response, so the turn is committed as incomplete; its tokens still count.
	end.Complete, end.Output = false, nil
	if !errors.Is(err, errUnknownTurn) {
		c.proxy.usage.commit(c.turn.key, end)
	}
	abortConnection()
}

// handleStreamInterrupted handles a stream that was interrupted. It is resumed at another endpoint if that is allowed and possible
// without a gap.
func (c *clientRequest) handleStreamInterrupted(a *attempt) (retry bool) {
	if !c.headerWritten {
		c.scanner.restart()
		return c.handleIncomplete(a)
	}
	a.outcome.Result = c.incompleteResult(a)
	c.recordMayHaveRun(a.outcome.Result)
	if !c.resumable(a.response) || !c.mayRetry() {
		abortConnection()
	}
	c.scanner.restart()
	return true
}

// resumable reports whether another endpoint can continue an interrupted response: the last event has an id, and the client was sent
// no length.
func (c *clientRequest) resumable(response *upstream.Response) bool {
	return c.info.Route.Resumable && c.scanner.lastID != "" && !c.scanner.lastWithoutID && response.ContentLength < 0
}
