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

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	id     uint64
	method string
	answer any // pointer that the answer is decoded into
	frame  frame
	done   chan error // holds one result
}

// clientConnection is one connection of a pool: a reader, and a writer while something is queued.
type clientConnection struct {
	peer     *peer
	out      outbox
	stopDial context.CancelFunc
	dialCtx  context.Context

	mutex    sync.Mutex
	pending  map[uint64]*pendingCall
	socket   net.Conn
	failed   bool
	openedAt time.Time
	received atomic.Bool // a line has come back
}

func newClientConnection(peer *peer) *clientConnection {
	connection := &clientConnection{peer: peer, pending: map[uint64]*pendingCall{}}
	connection.out.limits = peer.pool.limits
	connection.out.meter = peer.pool.meter
	connection.out.broken = connection.fail
	connection.dialCtx, connection.stopDial = context.WithCancel(context.Background())
	return connection
}

// run dials and reads until the connection breaks.
func (c *clientConnection) run() {
	socket, err := c.peer.pool.network.Dial(c.dialCtx, newDialer(), "tcp4", c.peer.address)
	if err != nil {
		c.fail(err)
		return
	}
	if !c.opened(socket) {
		socket.Close()
		return
	}
	c.out.start(socket)
	c.fail(c.read(socket))
}

// opened notes the socket; false means that the connection was given up meanwhile.
func (c *clientConnection) opened(socket net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failed {
		return false
	}
	c.socket = socket
	c.openedAt = time.Now()
	return true
}

func (c *clientConnection) read(socket net.Conn) error {
	reader := newLineReader(socket, c.peer.pool.limits.lineBytes)
	for {
		text, err := reader.next()
		if err != nil {
			return err
		}
		if err := c.take(text); err != nil {
			return err
		}
	}
}

// take acts on one line; an error breaks the connection.
func (c *clientConnection) take(text []byte) error {
	parsed, err := parseLine(text)
	if err != nil {
		return err
	}
	if parsed.kind != answerLine && parsed.kind != errorLine {
		return fmt.Errorf("%w: %s isn't for a caller", ErrBadLine, parsed.kind)
	}
	c.received.Store(true)
	pending := c.claim(parsed.id)
	if pending == nil {
		return nil // its caller has stopped waiting
	}
	result := c.result(pending, parsed)
	pending.done <- result
	if errors.Is(result, ErrBadLine) {
		return result
	}
	return nil
}

// claim removes a pending call, so that it gets one result only.
func (c *clientConnection) claim(id uint64) *pendingCall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.pending[id]
	delete(c.pending, id)
	return pending
}

// result decodes an answer or a handler's error.
func (c *clientConnection) result(pending *pendingCall, parsed line) error {
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

// abandon gives up a call whose caller stops waiting, unless its result is there.
func (c *clientConnection) abandon(pending *pendingCall, cause error) error {
	if c.claim(pending.id) == nil {
		return c.settled(pending, cause)
	}
	taken := c.out.withdraw(&pending.frame)
	if taken {
		c.sendCancel(pending.id)
	}
	return c.callError(pending, taken, cause)
}

// settled gives the result of a call that is no longer pending. The result may be a moment away.
func (c *clientConnection) settled(pending *pendingCall, cause error) error {
	select {
	case err := <-pending.done:
		return err
	default:
		return c.callError(pending, true, cause)
	}
}

// sendCancel is best effort: a cancel that is lost costs only the handler's time.
func (c *clientConnection) sendCancel(id uint64) {
	encoded, err := encodeLine(cancelLine, id, "", nil, c.peer.pool.limits.lineBytes)
	if err == nil {
		c.out.pushNotice(&frame{line: encoded, kind: string(cancelLine)})
	}
}

// fail breaks the connection and gives every open call its error. It may be called more than once.
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
	useful := socket != nil && (c.received.Load() || time.Since(c.openedAt) > usefulAfter)
	c.mutex.Unlock()

	c.stopDial()
	c.peer.lost(c, useful)
	c.out.close()
	if socket != nil {
		socket.Close()
	}
	for _, open := range pending {
		open.done <- c.callError(open, c.out.withdraw(&open.frame), cause)
	}
}
