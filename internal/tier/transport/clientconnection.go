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

// pendingCall is a call that awaits its answer.
type pendingCall struct {
	id     uint64
	method string
	answer any // pointer into which the answer is decoded
	frame  frame
	done   chan error // buffered; gets exactly one result
}

// clientConnection is one connection of a pool. Its goroutine dials and reads; the outbox writes.
type clientConnection struct {
	peer     *peer
	out      outbox
	stopDial context.CancelFunc
	dialCtx  context.Context

	mutex    sync.Mutex // guards what follows
	pending  map[uint64]*pendingCall
	socket   net.Conn
	failed   bool
	openedAt time.Time
	received atomic.Bool // a line was received
}

// newClientConnection returns a connection that is not dialled yet: lines are queued until run has.
func newClientConnection(peer *peer) *clientConnection {
	connection := &clientConnection{peer: peer, pending: map[uint64]*pendingCall{}}
	connection.out.limits = peer.pool.limits
	connection.out.running = &peer.pool.running
	connection.out.meter = peer.pool.meter
	connection.out.onWriteError = connection.fail
	connection.dialCtx, connection.stopDial = context.WithCancel(context.Background())
	return connection
}

// run dials and reads until the connection breaks, or fail closes its socket or ends its dial. Pool.Close waits for it.
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

// setSocket stores the dialled socket; false: the connection has failed meanwhile.
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

// read handles the lines of the connection until one breaks it.
func (c *clientConnection) read(socket net.Conn) error {
	reader := newLineReader(socket, c.peer.pool.limits.lineBytes)
	for {
		text, err := reader.next()
		if err != nil {
			return err
		}
		if err := c.handleLine(text); err != nil {
			return err
		}
	}
}

// handleLine handles one line; an error breaks the connection.
func (c *clientConnection) handleLine(text []byte) error {
	parsed, err := parseLine(text)
	if err != nil {
		return err
	}
	if parsed.kind != answerLine && parsed.kind != errorLine {
		return fmt.Errorf("%w: %s isn't for a caller", ErrBadLine, parsed.kind)
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

// removePending removes a pending call, so that it gets one result only.
func (c *clientConnection) removePending(id uint64) *pendingCall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.pending[id]
	delete(c.pending, id)
	return pending
}

// decodeResult decodes an answer, or a handler's error, which it returns.
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

// callError returns the error of a call on this connection.
func (c *clientConnection) callError(pending *pendingCall, mayHaveArrived bool, cause error) *CallError {
	return &CallError{Address: c.peer.address, Method: pending.method, MayHaveArrived: mayHaveArrived, Cause: cause}
}

// submit queues a call; ErrClosed means that the connection has broken.
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

// abandon gives up a call whose caller stops waiting, unless its result is there. A request that was written is cancelled.
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

// completed returns the result of a call that is no longer pending, or cause if the result is not sent yet.
func (c *clientConnection) completed(pending *pendingCall, cause error) error {
	select {
	case err := <-pending.done:
		return err
	default:
		return c.callError(pending, true, cause)
	}
}

// sendCancel is best effort: a lost cancel costs only the handler's time.
func (c *clientConnection) sendCancel(id uint64) {
	encoded, err := encodeLine(cancelLine, id, "", nil, c.peer.pool.limits.lineBytes)
	if err == nil {
		c.out.pushNotice(&frame{line: encoded, kind: string(cancelLine)})
	}
}

// fail breaks the connection and fails every pending call. It may be called more than once; the first cause counts.
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
