package proxy

import (
	"context"
	"encoding/base64"
	"errors"
	"time"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/model"
)

// Memory of a request, in bytes. What it takes beyond that is reserved in the class memorybudget.Large.
const (
	// exchangeBytes is what each request takes: goroutines, buffers, and the part of the response that arrives unread.
	exchangeBytes = 128 << 10
	// chunkedCopies is how often a body of unknown length is in memory while its buffer grows.
	chunkedCopies = 2
	// encodedCopies is how often a stateful turn's input is in memory as JSON while it is sent to a store: a second time if the first
	// attempt is still being written.
	encodedCopies = 2
	// freeOutputBytes is the part of a stream's output and incomplete event that exchangeBytes covers.
	freeOutputBytes = 64 << 10
	// smallOutputBytes is the memory of a stream's output from which on it counts as large.
	smallOutputBytes = 256 << 10
	// outputCopies is how often the collected output of a turn is in memory: as it is, and as JSON for a store.
	outputCopies = 3
	// unlimitedBodyDivisor gives the largest body, as a fraction of the budget, where the configuration sets no limit.
	unlimitedBodyDivisor = 8
)

// memoryWaitDivisor gives the fraction of a request's time within which it must get its memory. After that it is rejected, so that its
// client has time to retry.
const memoryWaitDivisor = 2

// errCallerStalled is the error of a body whose client made too little progress while others waited for memory.
var errCallerStalled = errors.New("client made too little progress while others waited for memory")

// memoryError is the error of a request for which there is no memory.
type memoryError struct{ cause error }

func (e *memoryError) Error() string { return "no memory for the request: " + e.cause.Error() }
func (e *memoryError) Unwrap() error { return e.cause }

// reserveMemory reserves what the request takes with a small body, or with the beginning of a large one. It returns false if there is none
// and the request has ended with an error response.
func (c *clientRequest) reserveMemory() bool {
	body := c.request.ContentLength
	if body < 0 {
		body = chunkedCopies * memorybudget.SmallBytes
	}
	if body > memorybudget.SmallBytes {
		body = 0 // readBody reserves all of it
	}
	err := c.awaitMemory(func(ctx context.Context) (err error) {
		c.lease, err = c.proxy.options.Memory.Reserve(ctx, memorybudget.Small, exchangeBytes+c.bodyMemory(body))
		return err
	})
	if err != nil {
		c.writeError(apierror.Overloaded, 0)
		return false
	}
	return true
}

// awaitMemory makes a reservation that may wait for a part of the request's time.
func (c *clientRequest) awaitMemory(reserve func(ctx context.Context) error) error {
	left := c.info.Deadline.Sub(c.proxy.options.Now())
	ctx, cancel := context.WithTimeout(c.request.Context(), left/memoryWaitDivisor)
	defer cancel()
	if err := reserve(ctx); err != nil {
		return &memoryError{cause: err}
	}
	return nil
}

// growForBody reserves the memory of a large body of up to a number of bytes.
func (c *clientRequest) growForBody(bytes int64) error {
	err := c.awaitMemory(func(ctx context.Context) error { return c.lease.Grow(ctx, memorybudget.Large, c.bodyMemory(bytes)) })
	if client := clientConnOf(c.request); err == nil && client != nil {
		client.enlargeReceiveBuffer()
	}
	return err
}

// bodyMemory returns the memory that a body of a number of bytes takes until its turn, if it is one, has begun.
func (c *clientRequest) bodyMemory(bytes int64) int64 {
	if c.keepsInput() {
		return bytes + encodedCopies*int64(base64.StdEncoding.EncodedLen(int(bytes)))
	}
	return bytes
}

// keepsInput reports whether the program stores keep the request's body.
func (c *clientRequest) keepsInput() bool {
	return c.info.Route.Stateful && c.info.Route.Kind == model.Streaming && c.info.AttemptID != ""
}

// shrinkToBody gives back what the body doesn't take any more, once it has been read or its turn has begun.
func (c *clientRequest) shrinkToBody(bytes int64) {
	c.lease.ShrinkTo(memorybudget.Large, bytes)
}

// bodyLimit returns the largest body that is accepted. A limit of 0 means that the configuration sets none.
func (c *clientRequest) bodyLimit(configured int64) int64 {
	if configured > 0 {
		return configured
	}
	return c.proxy.options.Memory.Limit() / unlimitedBodyDivisor
}

// awaitBody says that the request waits for its client's body, which may be ended to give its memory back.
func (c *clientRequest) awaitBody() {
	connection, ok := c.writer.(deadlineSetter)
	if !ok {
		return
	}
	c.lease.AwaitCaller(func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
}

// awaitReader says that the request waits for its client to read the response. If that must end, the response is aborted.
func (c *clientRequest) awaitReader() {
	connection, ok := c.writer.(deadlineSetter)
	if !ok {
		return
	}
	c.lease.AwaitCaller(func() { _ = connection.SetWriteDeadline(time.Unix(1, 0)) })
}

// releaseBody gives back the memory of a body that won't be sent again: the response has begun, can't be resumed, and the endpoint has
// got the whole request.
func (c *clientRequest) releaseBody(a *attempt) {
	if c.body == nil || !c.response.started || c.info.Route.Resumable || !a.response.RequestWritten() {
		return
	}
	putBuffer(c.body)
	c.body, c.upstream.Body = nil, nil
	c.lease.ShrinkTo(memorybudget.Large, c.largeOutput)
	c.lease.ShrinkTo(memorybudget.Lines, 0)
}

// reserveOutput reserves memory for the next bytes of an attempt's stream, as far as they are collected or withheld. It returns false if
// there is none.
func (c *clientRequest) reserveOutput(a *attempt, next int) bool {
	buffered := c.transcript.capacityFor(a.parser.outputCapacityFor(next)) + a.parser.capacityFor(next)
	needed := outputCopies*int64(buffered) - freeOutputBytes
	if needed <= c.outputReserved {
		return true
	}
	class, more := memorybudget.Small, needed-c.outputReserved
	if needed > smallOutputBytes {
		class = memorybudget.Large
	}
	if !c.lease.TryGrow(class, more) {
		a.noMemory = true
		c.proxy.options.Metrics.CountDroppedResponse(metrics.Memory)
		return false
	}
	c.outputReserved = needed
	if class == memorybudget.Large {
		c.largeOutput += more
	}
	return true
}

// reserveHead reserves memory for the head of an attempt's response, as many bytes in all. It returns false if there is none.
func (c *clientRequest) reserveHead(bytes int64) bool {
	if bytes <= c.headReserved {
		return true
	}
	if !c.lease.TryGrow(memorybudget.Small, bytes-c.headReserved) {
		return false
	}
	c.headReserved = bytes
	return true
}

// reserveChain reserves the memory of a turn's chain, which lies in memory until the response has begun.
func (c *clientRequest) reserveChain(bytes int) error {
	return c.awaitMemory(func(ctx context.Context) error { return c.lease.Grow(ctx, memorybudget.Lines, int64(bytes)) })
}
