package proxy

import (
	"errors"
	"io"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/upstream"
)

const (
	// copyBufferBytes is the size of the buffer through which a response is copied.
	copyBufferBytes = 8 << 10
	// maxBufferedBytes is the length up to which a response is read completely before its head is forwarded. A larger value makes more
	// interrupted responses retryable, and delays the first bytes of more responses.
	maxBufferedBytes = 32 << 10
)

// forwardResponse forwards a response to the client. It returns true if the request is to be retried.
func (c *clientRequest) forwardResponse(a *attempt) (retry bool) {
	buffer := getBuffer()
	defer putBuffer(buffer)
	if cap(*buffer) < copyBufferBytes {
		*buffer = make([]byte, 0, copyBufferBytes)
	}
	if c.forwardsEvents(a.response) {
		return c.forwardStream(a, (*buffer)[:cap(*buffer)])
	}
	length := a.response.ContentLength
	if a.response.Complete() || length >= 0 && length <= maxBufferedBytes {
		return c.forwardShort(a, buffer)
	}
	if length < 0 && retryable(c.info.Route) {
		return c.forwardBuffered(a, buffer)
	}
	return c.forwardUnbuffered(a, (*buffer)[:cap(*buffer)])
}

// forwardsEvents reports whether a response is forwarded event by event: a stream, and whatever continues one.
func (c *clientRequest) forwardsEvents(response *upstream.Response) bool {
	if c.info.Route.Kind != model.Streaming || response.Status/100 != 2 {
		return false
	}
	return c.turn != nil || c.response.started || !response.Complete()
}

// forwardShort reads a short response completely and then forwards it.
func (c *clientRequest) forwardShort(a *attempt, buffer *[]byte) (retry bool) {
	data := (*buffer)[:0]
	if !a.response.Complete() {
		if int64(cap(data)) < a.response.ContentLength {
			data = make([]byte, 0, a.response.ContentLength)
		}
		data = data[:a.response.ContentLength]
		if _, err := io.ReadFull(a.response, data); err != nil {
			return c.handleIncomplete(a)
		}
		*buffer = data
		a.readEOF()
	}
	c.forwardComplete(a, data)
	return false
}

// readEOF reads the EOF of a body whose last byte has been read, so that the connection can be reused.
func (a *attempt) readEOF() {
	if !a.response.Complete() {
		var beyond [1]byte
		_, _ = a.response.Read(beyond[:])
	}
}

// forwardComplete forwards a response whose body has been read completely. It finishes the attempt before it writes the body, so that
// the connection can serve another request at the same time.
func (c *clientRequest) forwardComplete(a *attempt, data []byte) {
	c.recordComplete(a)
	c.writeHeader(a)
	c.finishAttempt(a)
	if len(data) > 0 {
		c.write(a, data)
	}
}

// forwardBuffered reads up to maxBufferedBytes of a response of unknown length before it forwards the head: until then a retryable
// request can go to another endpoint if the response is interrupted.
func (c *clientRequest) forwardBuffered(a *attempt, buffer *[]byte) (retry bool) {
	data := (*buffer)[:0]
	for len(data) < maxBufferedBytes {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := a.response.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		*buffer = data
		if errors.Is(err, io.EOF) {
			c.forwardComplete(a, data)
			return false
		}
		if err != nil {
			return c.handleIncomplete(a)
		}
	}
	if !a.stopTimeout() {
		return c.handleIncomplete(a)
	}
	c.recordFirstByte(a)
	c.writeHeader(a)
	c.write(a, data)
	return c.forwardUnbuffered(a, data[:cap(data)])
}

// forwardUnbuffered forwards a response as it arrives.
func (c *clientRequest) forwardUnbuffered(a *attempt, buffer []byte) (retry bool) {
	for {
		n, err := a.response.Read(buffer)
		if n > 0 {
			if !a.stopTimeout() {
				return c.handleInterrupted(a)
			}
			c.recordFirstByte(a)
			c.writeHeader(a)
			c.write(a, buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			c.recordComplete(a)
			c.writeHeader(a)
			return false
		}
		if err != nil {
			return c.handleInterrupted(a)
		}
		if n > 0 && a.response.Buffered() == 0 {
			c.flush(a)
		}
	}
}

// handleInterrupted handles a response that was interrupted.
func (c *clientRequest) handleInterrupted(a *attempt) (retry bool) {
	if !c.response.started {
		return c.handleIncomplete(a)
	}
	a.outcome.Result = c.incompleteResult(a)
	abortConnection()
	return false
}

// recordFirstByte records when the first byte of the body arrived.
func (c *clientRequest) recordFirstByte(a *attempt) {
	if a.outcome.FirstByte == 0 {
		a.outcome.FirstByte = c.proxy.options.Now().Sub(a.started)
	}
}

// recordComplete records that a complete response was received.
func (c *clientRequest) recordComplete(a *attempt) {
	if a.outcome.Result == NotRun {
		return
	}
	a.outcome.Result = ErrorResponse
	if a.response.Status/100 == 2 {
		a.outcome.Result = Succeeded
	}
	c.recordMayHaveRun(a.outcome.Result)
}

// writeHeader forwards the head of a response, unless that of an earlier attempt has been forwarded.
func (c *clientRequest) writeHeader(a *attempt) {
	if c.startResponse() {
		c.response.begin(a.response)
	}
}

// writeStreamHeader is writeHeader for a stream. The end of a stateful turn's stream is withheld until the turn is committed.
func (c *clientRequest) writeStreamHeader(a *attempt) {
	switch {
	case !c.startResponse():
	case c.keepsOutput():
		c.response.beginWithholdingEnd(a.response)
	default:
		c.response.begin(a.response)
	}
}

// startResponse prepares the head of the client's response. It returns false if the response has begun.
func (c *clientRequest) startResponse() bool {
	if c.response.started {
		return false
	}
	c.proxy.rejections.addServed()
	c.proxy.closeIfDraining(c.writer.Header())
	return true
}

// write forwards bytes to the client.
func (c *clientRequest) write(a *attempt, data []byte) {
	c.deliver(a, func() error { return c.response.write(data) })
}

// releaseEnd writes the end of the response, which was withheld until the turn was committed.
func (c *clientRequest) releaseEnd(a *attempt) {
	c.deliver(a, c.response.releaseEnd)
}

// flush sends buffered bytes to the client immediately.
func (c *clientRequest) flush(a *attempt) {
	c.deliver(a, c.response.flush)
	c.releaseBody(a)
}

// deliver lets send write to the client. If that fails, the client has closed its connection or was ended for not reading, and the request
// ends.
func (c *clientRequest) deliver(a *attempt, send func() error) {
	c.awaitReader()
	err := send()
	if c.lease.StopAwaiting() || err != nil {
		c.handleClientClosed(a)
	}
}

// handleClientClosed ends a request whose client has closed its connection.
func (c *clientRequest) handleClientClosed(a *attempt) {
	a.outcome.Result = ClientClosed
	abortConnection()
}
