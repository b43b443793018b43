package proxy

import (
	"errors"
	"io"

	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/upstream"
)

// forwardStream forwards a stream event by event. It returns true if the stream is to be resumed at another endpoint.
func (c *clientRequest) forwardStream(a *attempt, buffer []byte) (retry bool) {
	a.parser = newEventParser(&c.transcript, c.keepsOutput())
	if c.response.started {
		c.proxy.options.Metrics.CountResumedStream(framingOf(a.response))
	}
	for {
		n, err := a.response.Read(buffer)
		if n > 0 && (!c.reserveOutput(a, n) || !c.forwardNext(a, buffer[:n])) {
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

// framingOf returns how the end of a response's body is marked.
func framingOf(response *upstream.Response) metrics.Framing {
	switch {
	case response.ContentLength >= 0:
		return metrics.FramedByLength
	case response.CloseDelimited:
		return metrics.FramedByClose
	}
	return metrics.FramedByChunks
}

// forwardNext forwards the events that data completes. It returns false if the attempt timed out before its first event, or if the
// stream is unforwardable.
func (c *clientRequest) forwardNext(a *attempt, data []byte) bool {
	batch := a.parser.feed(data)
	if len(batch.bytes) > 0 && !a.stopTimeout() {
		return false
	}
	c.forwardEvents(a, &batch)
	if a.parser.tooLong {
		c.proxy.options.Metrics.CountDroppedResponse(metrics.EventBytes)
	}
	return !a.parser.unforwardable
}

// finishAtEOF handles the end of a response's body. It returns false if the stream is incomplete there.
func (c *clientRequest) finishAtEOF(a *attempt) bool {
	if closedInsideEvent(a) {
		return false
	}
	rest := a.parser.finish()
	if a.parser.unforwardable {
		return false
	}
	c.finishStream(a, &rest)
	return true
}

// closedInsideEvent reports whether the end of a close-delimited stream is inside an event.
func closedInsideEvent(a *attempt) bool {
	return a.response.CloseDelimited && a.parser.insideEvent()
}

// forwardEvents forwards complete events immediately.
func (c *clientRequest) forwardEvents(a *attempt, batch *eventBatch) {
	if len(batch.bytes) == 0 {
		return
	}
	if a.outcome.FirstByte == 0 {
		c.recordFirstByte(a)
		c.proxy.options.Selector.FirstEvent(a.selection, a.outcome.Load)
	}
	c.writeStreamHeader(a)
	a.events += batch.count
	c.transcript.add(batch)
	c.write(a, batch.bytes)
	c.flush(a)
}

// finishStream ends a stream whose last byte has been received. rest is an event without a closing blank line, or empty.
func (c *clientRequest) finishStream(a *attempt, rest *eventBatch) {
	c.forwardEvents(a, rest)
	c.recordComplete(a)
	c.writeStreamHeader(a)
	c.finishAttempt(a)
	if c.turn == nil {
		return
	}
	c.commitCompleteTurn()
	c.releaseEnd(a)
}

// keepsOutput reports whether the program stores keep the events that the client is sent, once it has been sent all.
func (c *clientRequest) keepsOutput() bool { return c.turn != nil && c.turn.stateful }

// commitCompleteTurn commits a turn whose stream is complete. A stateful turn must be committed before the client has its whole
// response; if the commit fails, the response is aborted.
func (c *clientRequest) commitCompleteTurn() {
	c.turn.committed = true
	end := c.turn.endCommand(true, &c.transcript)
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
	if !c.response.started {
		return c.handleIncomplete(a)
	}
	a.outcome.Result = c.incompleteResult(a)
	c.recordMayHaveRun(a.outcome.Result)
	if !c.resumable() || !c.mayRetry() {
		abortConnection()
	}
	c.info.SentTokens = c.transcript.count * tokensPerEvent(c.info.Service)
	return true
}

// resumable reports whether another endpoint can continue the client's response: the last event has an id, and the client was sent no
// length, which the events of several endpoints may not add up to.
func (c *clientRequest) resumable() bool {
	return c.info.Route.Resumable && c.transcript.resumable() && !c.response.hasLength()
}
