package proxy

import (
	"io"
	"net/http"
	"strconv"

	"mastusher/internal/tier/model"
)

const (
	// copyBufferBytes is the size of the buffer through which an answer goes.
	copyBufferBytes = 8 << 10
	// maxBufferedBytes is the length up to which an answer is read whole before its head is passed on.
	maxBufferedBytes = 32 << 10
)

// forwardResponse passes an answer on to the client. It returns true when the request is to be sent again.
func (c *clientRequest) forwardResponse(a *attempt) (again bool) {
	buffer := getBuffer()
	defer putBuffer(buffer)
	if cap(*buffer) < copyBufferBytes {
		*buffer = make([]byte, 0, copyBufferBytes)
	}
	if c.info.Route.Kind == model.Streaming && a.response.Status/100 == 2 && (c.turn != nil || !a.response.Complete()) {
		return c.forwardStream(a, (*buffer)[:cap(*buffer)])
	}
	length := a.response.ContentLength
	if a.response.Complete() || length >= 0 && length <= maxBufferedBytes {
		return c.forwardShort(a, buffer)
	}
	if length < 0 && retryable(c.info.Route) {
		return c.forwardBuffered(a, buffer)
	}
	return c.forwardCopying(a, (*buffer)[:cap(*buffer)])
}

// forwardBuffered reads an answer of untold length, up to a bound, before its head goes out: as long as that hasn't, a
// request that may run again can go to another endpoint when the answer breaks off.
func (c *clientRequest) forwardBuffered(a *attempt, buffer *[]byte) (again bool) {
	data := (*buffer)[:0]
	for len(data) < maxBufferedBytes {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := a.response.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		*buffer = data
		if err == io.EOF {
			c.recordComplete(a)
			c.writeHeader(a)
			c.finishAttempt(a)
			c.write(a, data)
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
	return c.forwardCopying(a, data[:cap(data)])
}

// writeHeader passes on the head of an answer. An answer whose end only its connection tells goes on in chunks: so it can't look
// complete when it was broken off, also where this process ends in the middle.
func (c *clientRequest) writeHeader(a *attempt) {
	if c.headerWritten {
		return
	}
	c.headerWritten = true
	c.proxy.rejections.addServed()
	header := c.writer.Header()
	c.proxy.closeIfDraining(header)
	copyResponseHeader(header, a.response.Header)
	if a.response.ContentLength >= 0 && first(a.response.Header, "Content-Length") != "" {
		header["Content-Length"] = []string{strconv.FormatInt(a.response.ContentLength, 10)}
	}
	c.resetOnUnframedEnd(header)
	c.writer.WriteHeader(a.response.Status)
}

// resetOnUnframedEnd makes every close of the client's connection a reset where only that end tells the end of the answer: to a client of
// HTTP/1.0, if no length is told. The library closes it by itself when a write fails, and the system when this process ends.
func (c *clientRequest) resetOnUnframedEnd(header http.Header) {
	if c.request.ProtoAtLeast(1, 1) || first(header, "Content-Length") != "" {
		return
	}
	if client := clientOf(c.request); client != nil {
		client.setResetOnClose(true)
		c.resetsOnClose = true
	}
}

// allowOrderlyClose lets the client's connection end in order once the whole answer has gone out.
func (c *clientRequest) allowOrderlyClose() {
	if !c.resetsOnClose {
		return
	}
	flusher, ok := c.writer.(interface{ FlushError() error })
	if ok && flusher.FlushError() != nil {
		abortConnection()
	}
	clientOf(c.request).setResetOnClose(false)
}

// forwardShort reads a short answer to its end and passes it on in one piece.
func (c *clientRequest) forwardShort(a *attempt, buffer *[]byte) (again bool) {
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
	c.recordComplete(a)
	c.writeHeader(a)
	c.finishAttempt(a)
	if len(data) > 0 {
		c.write(a, data)
	}
	return false
}

// readEOF reads the end of a body whose last byte has been read, so that its connection can be kept.
func (a *attempt) readEOF() {
	if !a.response.Complete() {
		var beyond [1]byte
		a.response.Read(beyond[:])
	}
}

// forwardCopying passes a long answer on as it comes.
func (c *clientRequest) forwardCopying(a *attempt, buffer []byte) (again bool) {
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
		if err == io.EOF {
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

// recordFirstByte notes when the body began.
func (c *clientRequest) recordFirstByte(a *attempt) {
	if a.outcome.FirstByte == 0 {
		a.outcome.FirstByte = c.proxy.options.Now().Sub(a.started)
	}
}

// recordComplete notes that a whole answer has come.
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

// handleInterrupted deals with an answer that broke off.
func (c *clientRequest) handleInterrupted(a *attempt) (again bool) {
	if !c.headerWritten {
		return c.handleIncomplete(a)
	}
	a.outcome.Result = c.incompleteResult(a)
	abortConnection()
	return false
}

// write hands bytes on to the client. One that takes none any more has gone.
func (c *clientRequest) write(a *attempt, data []byte) {
	if _, err := c.writer.Write(data); err != nil {
		c.handleClientClosed(a)
	}
}

// flush sends what was written at once.
func (c *clientRequest) flush(a *attempt) {
	flusher, ok := c.writer.(interface{ FlushError() error })
	if ok && flusher.FlushError() != nil {
		c.handleClientClosed(a)
	}
}

// handleClientClosed ends a call whose client has gone.
func (c *clientRequest) handleClientClosed(a *attempt) {
	a.outcome.Result = ClientClosed
	abortConnection()
}
