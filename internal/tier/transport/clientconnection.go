package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pendingCall is a call without an answer yet.
type pendingCall struct {
	id     uint64
	method string
	answer any // pointer into which the answer is decoded
	frame  frame
	done   chan error // buffered; receives exactly one result
}

// clientConnection is one connection of a pool. Its goroutine dials and reads; its outbox writes.
type clientConnection struct {
	peer     *peer
	out      outbox
	stopDial context.CancelFunc
	dialCtx  context.Context

	mutex    sync.Mutex // guards the fields below
	pending  map[uint64]*pendingCall
	socket   net.Conn
	failed   bool
	openedAt time.Time
	received atomic.Bool // whether a line was received
}

// newClientConnection returns a connection that run dials; lines are queued until then.
func newClientConnection(peer *peer) *clientConnection {
	connection := &clientConnection{peer: peer, pending: map[uint64]*pendingCall{}}
	connection.out.limits = peer.pool.limits
	connection.out.running = &peer.pool.running
	connection.out.meter = peer.pool.meter
	connection.out.onWriteError = connection.fail
	connection.dialCtx, connection.stopDial = context.WithCancel(context.Background())
	return connection
}

// run dials and reads until the connection breaks. fail ends it by closing the socket or cancelling the dial. Pool.Close waits for run.
func (c *clientConnection) run() {
	socket, err := c.peer.pool.network.Dial(c.dialCtx, newDialer(), "tcp4", c.peer.address)
	if err != nil {
		c.fail(err)
		return
	}
	if !c.setSocket(socket) {
		socket.Close()
		return
	}
	c.out.start(socket)
	c.fail(c.read(socket))
}

// setSocket stores the dialled socket, or returns false if the connection has failed in the meantime.
func (c *clientConnection) setSocket(socket net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failed {
		return false
	}
	c.socket = socket
	c.openedAt = time.Now()
	return true
}

// read handles received lines until reading or a line fails.
func (c *clientConnection) read(socket net.Conn) error {
	reader, release, err := c.peer.pool.newReader(socket)
	if err != nil {
		return err
	}
	defer release()
	for {
		text, err := reader.next()
		var refused *refusedLineError
		if errors.As(err, &refused) {
			c.failRefused(refused)
			continue
		}
		if err != nil {
			return err
		}
		if err := c.handleLine(text); err != nil {
			return err
		}
	}
}

// handleLine handles one line. The caller breaks the connection on an error.
func (c *clientConnection) handleLine(text []byte) error {
	parsed, err := parseLine(text)
	if err != nil {
		return err
	}
	if parsed.kind != answerLine && parsed.kind != errorLine {
		return fmt.Errorf("%w: client received a line of kind %s, want answer or error", ErrBadLine, parsed.kind)
	}
	c.received.Store(true)
	pending := c.removePending(parsed.id)
	if pending == nil {
		return nil // its caller has stopped waiting
	}
	result := c.decodeResult(pending, parsed)
	pending.done <- result
	if errors.Is(result, ErrBadLine) {
		return result
	}
	return nil
}

// failRefused fails the call whose answer was dropped for lack of memory.
func (c *clientConnection) failRefused(refused *refusedLineError) {
	_, id, ok := refused.call()
	if !ok {
		return
	}
	if pending := c.removePending(id); pending != nil {
		pending.done <- c.callError(pending, true, refused)
	}
}

// removePending removes and returns a pending call, so that it gets only one result; nil if there is none.
func (c *clientConnection) removePending(id uint64) *pendingCall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.pending[id]
	delete(c.pending, id)
	return pending
}

// decodeResult decodes an answer into pending.answer, or returns the decoded error of the handler.
func (c *clientConnection) decodeResult(pending *pendingCall, parsed line) error {
	var err error
	if parsed.kind == errorLine {
		remote := new(RemoteError)
		err = decode(parsed.body, remote)
		if err == nil {
			return remote
		}
	} else {
		err = decode(parsed.body, pending.answer)
	}
	if err == nil {
		return nil
	}
	return c.callError(pending, true, err)
}

// callError returns a CallError for a call on this connection.
func (c *clientConnection) callError(pending *pendingCall, mayHaveArrived bool, cause error) *CallError {
	return &CallError{Address: c.peer.address, Method: pending.method, MayHaveArrived: mayHaveArrived, Cause: cause}
}

// submit queues a call. It returns ErrClosed if the connection has broken.
func (c *clientConnection) submit(pending *pendingCall) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failed {
		return ErrClosed
	}
	if err := c.out.push(&pending.frame); err != nil {
		return err
	}
	c.pending[pending.id] = pending
	return nil
}

// abandon ends a call whose caller stops waiting, or returns its result if there is one. If the request was handed to the writer, a
// cancel is sent.
func (c *clientConnection) abandon(pending *pendingCall, cause error) error {
	if c.removePending(pending.id) == nil {
		return c.completed(pending, cause)
	}
	written := c.out.withdraw(&pending.frame)
	if written {
		c.sendCancel(pending.id)
	}
	return c.callError(pending, written, cause)
}

// completed returns the result of a call that was already removed from the pending calls. If the result is not in the call's channel
// yet, it returns a CallError with cause.
func (c *clientConnection) completed(pending *pendingCall, cause error) error {
	select {
	case err := <-pending.done:
		return err
	default:
		return c.callError(pending, true, cause)
	}
}

// sendCancel cancels a call on a best-effort basis: if the cancel is lost, the handler runs on needlessly.
func (c *clientConnection) sendCancel(id uint64) {
	encoded, err := encodeLine(cancelLine, id, "", nil, c.peer.pool.limits.lineBytes)
	if err == nil {
		c.out.pushNotice(&frame{line: encoded, kind: string(cancelLine)})
	}
}

// fail breaks the connection and fails every pending call. Only the first call has an effect.
func (c *clientConnection) fail(cause error) {
	c.mutex.Lock()
	if c.failed {
		c.mutex.Unlock()
		return
	}
	c.failed = true
	pending := c.pending
	c.pending = nil
	socket := c.socket
	useful := socket != nil && (c.received.Load() || time.Since(c.openedAt) > minUsefulLifetime)
	c.mutex.Unlock()

	c.stopDial()
	c.peer.connectionLost(c, useful)
	c.out.close()
	if socket != nil {
		socket.Close()
	}
	for _, call := range pending {
		call.done <- c.callError(call, c.out.withdraw(&call.frame), cause)
	}
}
