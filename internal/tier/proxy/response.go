package proxy

import (
	"io"
	"net/http"
	"strconv"

	"mastusher/internal/tier/model"
)

const (
	// readBytes is the size of the buffer through which an answer goes.
	readBytes = 8 << 10
	// wholeBytes is the length up to which an answer is read whole before its head is passed on.
	wholeBytes = 32 << 10
)

// deliver passes an answer on to the client. It returns true when the request is to be sent again.
func (c *call) deliver(a *attempt) (again bool) {
	buffer := takeBuffer()
	defer returnBuffer(buffer)
	if cap(*buffer) < readBytes {
		*buffer = make([]byte, 0, readBytes)
	}
	if c.facts.Route.Kind == model.Streaming && a.answer.Status/100 == 2 && (c.turn != nil || !a.answer.Complete()) {
		return c.deliverStream(a, (*buffer)[:cap(*buffer)])
	}
	length := a.answer.ContentLength
	if a.answer.Complete() || length >= 0 && length <= wholeBytes {
		return c.deliverWhole(a, buffer)
	}
	if length < 0 && repeatable(c.facts.Route) {
		return c.deliverGathered(a, buffer)
	}
	return c.deliverParts(a, (*buffer)[:cap(*buffer)])
}

// deliverGathered reads an answer of untold length, up to a bound, before its head goes out: as long as that hasn't, a
// request that may run again can go to another endpoint when the answer breaks off.
func (c *call) deliverGathered(a *attempt, buffer *[]byte) (again bool) {
	data := (*buffer)[:0]
	for len(data) < wholeBytes {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := a.answer.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		*buffer = data
		if err == io.EOF {
			c.finished(a)
			c.commit(a)
			c.done(a)
			c.write(a, data)
			return false
		}
		if err != nil {
			return c.broken(a)
		}
	}
	if !a.inTime() {
		return c.broken(a)
	}
	c.firstByte(a)
	c.commit(a)
	c.write(a, data)
	return c.deliverParts(a, data[:cap(data)])
}

// commit passes on the head of an answer. An answer whose end only its connection tells goes on in chunks: so it can't look
// complete when it was broken off, also where this process ends in the middle.
func (c *call) commit(a *attempt) {
	if c.committed {
		return
	}
	c.committed = true
	c.proxy.refusals.addServed()
	header := c.writer.Header()
	c.proxy.closeIfDraining(header)
	copyAnswerHeader(header, a.answer.Header)
	if a.answer.ContentLength >= 0 && first(a.answer.Header, "Content-Length") != "" {
		header["Content-Length"] = []string{strconv.FormatInt(a.answer.ContentLength, 10)}
	}
	c.guardEnd(header)
	c.writer.WriteHeader(a.answer.Status)
}

// guardEnd makes every close of the client's connection a reset where only that end tells the end of the answer: to a client of
// HTTP/1.0, if no length is told. The library closes it by itself when a write fails, and the system when this process ends.
func (c *call) guardEnd(header http.Header) {
	if c.request.ProtoAtLeast(1, 1) || first(header, "Content-Length") != "" {
		return
	}
	if client := clientOf(c.request); client != nil {
		client.resetOnClose(true)
		c.guarded = true
	}
}

// releaseEnd lets the client's connection end in order once the whole answer has gone out.
func (c *call) releaseEnd() {
	if !c.guarded {
		return
	}
	flusher, ok := c.writer.(interface{ FlushError() error })
	if ok && flusher.FlushError() != nil {
		abort()
	}
	clientOf(c.request).resetOnClose(false)
}

// deliverWhole reads a short answer to its end and passes it on in one piece.
func (c *call) deliverWhole(a *attempt, buffer *[]byte) (again bool) {
	data := (*buffer)[:0]
	if !a.answer.Complete() {
		if int64(cap(data)) < a.answer.ContentLength {
			data = make([]byte, 0, a.answer.ContentLength)
		}
		data = data[:a.answer.ContentLength]
		if _, err := io.ReadFull(a.answer, data); err != nil {
			return c.broken(a)
		}
		*buffer = data
		a.readEnd()
	}
	c.finished(a)
	c.commit(a)
	c.done(a)
	if len(data) > 0 {
		c.write(a, data)
	}
	return false
}

// readEnd reads the end of a body whose last byte has been read, so that its connection can be kept.
func (a *attempt) readEnd() {
	if !a.answer.Complete() {
		var beyond [1]byte
		a.answer.Read(beyond[:])
	}
}

// deliverParts passes a long answer on as it comes.
func (c *call) deliverParts(a *attempt, buffer []byte) (again bool) {
	for {
		n, err := a.answer.Read(buffer)
		if n > 0 {
			if !a.inTime() {
				return c.cut(a)
			}
			c.firstByte(a)
			c.commit(a)
			c.write(a, buffer[:n])
		}
		if err == io.EOF {
			c.finished(a)
			c.commit(a)
			return false
		}
		if err != nil {
			return c.cut(a)
		}
		if n > 0 && a.answer.Buffered() == 0 {
			c.flush(a)
		}
	}
}

// firstByte notes when the body began.
func (c *call) firstByte(a *attempt) {
	if a.outcome.FirstByte == 0 {
		a.outcome.FirstByte = c.proxy.options.Now().Sub(a.started)
	}
}

// finished notes that a whole answer has come.
func (c *call) finished(a *attempt) {
	if a.outcome.Result == NotRun {
		return
	}
	a.outcome.Result = ErrorResponse
	if a.answer.Status/100 == 2 {
		a.outcome.Result = Succeeded
	}
	c.ran(a.outcome.Result)
}

// cut deals with an answer that broke off.
func (c *call) cut(a *attempt) (again bool) {
	if !c.committed {
		return c.broken(a)
	}
	a.outcome.Result = c.brokenResult(a)
	abort()
	return false
}

// write hands bytes on to the client. One that takes none any more has gone.
func (c *call) write(a *attempt, data []byte) {
	if _, err := c.writer.Write(data); err != nil {
		c.lost(a)
	}
}

// flush sends what was written at once.
func (c *call) flush(a *attempt) {
	flusher, ok := c.writer.(interface{ FlushError() error })
	if ok && flusher.FlushError() != nil {
		c.lost(a)
	}
}

// lost ends a call whose client has gone.
func (c *call) lost(a *attempt) {
	a.outcome.Result = ClientClosed
	abort()
}
