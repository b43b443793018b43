package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

// readBufferBytes is the size of a connection's read buffer, enough for a response's head and a small body in one read.
const readBufferBytes = 4 << 10

// unlimited is the value of connection.readLeft while a body is read.
const unlimited = int64(1) << 62

// errHeadTooLarge is the read error of a response whose head exceeds Options.MaxHeaderBytes.
var errHeadTooLarge = errors.New("response head exceeds the configured maximum size")

// connection is one connection to an endpoint. It carries one request at a time.
type connection struct {
	endpoint  *endpointConns
	socket    net.Conn
	raw       syscall.RawConn // nil: the connection isn't a socket of the operating system
	reader    *bufio.Reader
	readLeft  int64      // bytes that may still be read before reads fail with errHeadTooLarge
	head      *headGuard // of the head that is being read; nil: none is
	requests  int        // number of requests written, or being written, on it
	idleSince time.Time  // when it was last released
	probedAt  time.Time  // when it was last released or checked while idle
	idleUntil time.Time  // when it expires while idle

	carriedHead bool // one of the requests was a HEAD, whose response has no body even if its head has a Content-Length
}

// newConnection returns a connection that uses a slot reserved at the endpoint.
func newConnection(endpoint *endpointConns, socket net.Conn) *connection {
	c := &connection{endpoint: endpoint, socket: socket, readLeft: unlimited}
	if system, ok := socket.(syscall.Conn); ok {
		c.raw, _ = system.SyscallConn()
	}
	c.reader = bufio.NewReaderSize(limitedSocket{c}, readBufferBytes)
	return c
}

// limitedSocket reads from a connection's socket, at most connection.readLeft bytes, and what connection.head accepts.
type limitedSocket struct{ c *connection }

// Read reads from the socket. It fails with errHeadTooLarge once readLeft is used up, and with the errors of headGuard.
func (s limitedSocket) Read(buffer []byte) (int, error) {
	if s.c.readLeft <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(buffer)) > s.c.readLeft {
		buffer = buffer[:s.c.readLeft]
	}
	n, err := s.c.socket.Read(buffer)
	s.c.readLeft -= int64(n)
	if s.c.head != nil {
		if refused := s.c.head.accept(buffer[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// beginHead bounds what is read until endHead: the head of a response, of which a part may have been read along with the response before.
// The error is one of headGuard's.
func (c *connection) beginHead(maxBytes int64, maxFields int, reserve func(bytes int64) bool) error {
	c.readLeft = maxBytes
	c.head = &headGuard{maxFields: maxFields, reserve: reserve}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return c.head.accept(buffered)
}

// endHead ends the bounds of beginHead.
func (c *connection) endHead() {
	c.readLeft, c.head = unlimited, nil
}

// reusable reports whether an idle connection can carry another request: it hasn't expired, and the endpoint has neither closed it
// nor sent unsolicited bytes.
func (c *connection) reusable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	if prober, ok := c.socket.(network.IdleProber); ok {
		return prober.Idle()
	}
	return c.raw == nil || isIdle(c.raw)
}

// abortOnDone makes every read and write of the connection fail once the context ends, and the connection end with a reset. stop
// cancels that; it returns false if the context has ended already.
func (c *connection) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.resetOnClose()
		_ = c.socket.SetDeadline(time.Unix(1, 0))
	})
}

// resetOnClose makes the connection end with a TCP reset when it is closed: bytes of a request that haven't arrived yet, for example
// because the network delays them, are then dropped. After an orderly close they would still be delivered, though the caller is gone.
func (c *connection) resetOnClose() {
	if socket, ok := c.socket.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
}
