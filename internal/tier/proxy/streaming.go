package proxy

import (
	"errors"
	"io"

	"mastusher/internal/tier/upstream"
)

// forwardStream forwards a stream event by event. It returns true when the stream is to be resumed at another endpoint.
func (c *clientRequest) forwardStream(a *attempt, buffer []byte) (retry bool) {
	for {
		n, err := a.response.Read(buffer)
		if n > 0 && !c.scanEvents(a, buffer[:n]) {
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

// scanEvents forwards the events that the bytes complete. It returns false when the stream ends there: its attempt timed out
// before its first event, or what came can't be forwarded.
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

// finishAtEOF takes the end of a response's body. It returns false where that is no end of the stream.
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

// closedInsideEvent reports whether a close-delimited stream was closed inside an event.
func (c *clientRequest) closedInsideEvent(a *attempt) bool {
	return a.response.CloseDelimited && c.scanner.insideEvent()
}

// forwardEvents forwards complete events at once.
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

// withholdsLastByte reports whether the last byte of the response waits for the turn's commit. In a response of unknown length that
// is the byte that ends it, which goes out when the request returns.
func (c *clientRequest) withholdsLastByte(a *attempt) bool {
	return c.turn != nil && c.turn.stateful && a.response.ContentLength > 0
}

// finishStream ends a stream whose last byte has come, with an event that no blank line ended.
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

// commitCompleteTurn commits a turn whose stream is complete. A stateful turn must be committed before the client has all of its
// response; where that fails the response is broken off.
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
	// The client sees an incomplete response, so the turn doesn't count; its tokens do.
	end.Complete, end.Output = false, nil
	if !errors.Is(err, errUnknownTurn) {
		c.proxy.usage.commit(c.turn.key, end)
	}
	abortConnection()
}

// handleStreamInterrupted deals with a stream that broke off: it is resumed at another endpoint if that is allowed and can be
// done without a gap.
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

// resumable reports whether another endpoint can go on where a response broke off: each event has an id, and the client has no
// length.
func (c *clientRequest) resumable(response *upstream.Response) bool {
	return c.info.Route.Resumable && c.scanner.lastID != "" && !c.scanner.lastWithoutID && response.ContentLength < 0
}
