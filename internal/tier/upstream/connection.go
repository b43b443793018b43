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

// readBufferBytes is the size of a connection's read buffer: a response's head and a small body in one call.
const readBufferBytes = 4 << 10

// unlimited is the read limit while a body is read.
const unlimited = int64(1) << 62

// errHeadTooLarge is the read error of a response whose head exceeds Options.MaxHeaderBytes.
var errHeadTooLarge = errors.New("response head too large")

// connection is one connection to an endpoint. It carries one request at a time.
type connection struct {
	endpoint  *endpointConns
	socket    net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	readLeft  int64 // bytes that may still be read before the limit on a response's head is reached
	requests  int   // requests that were written to it
	idleUntil time.Time

	carriedHead bool // one of those was a HEAD, whose response has no body whatever its head says
}

// newConnection returns a connection in the slot that the endpoint has reserved for it.
func newConnection(endpoint *endpointConns, socket net.Conn) *connection {
	c := &connection{endpoint: endpoint, socket: socket, readLeft: unlimited}
	if system, ok := socket.(syscall.Conn); ok {
		c.raw, _ = system.SyscallConn()
	}
	c.reader = bufio.NewReaderSize(limitedSocket{c}, readBufferBytes)
	return c
}

// limitedSocket reads from a connection's socket within its read limit.
type limitedSocket struct{ c *connection }

// Read reads from the socket. It fails with errHeadTooLarge once the limit is reached.
func (s limitedSocket) Read(buffer []byte) (int, error) {
	if s.c.readLeft <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(buffer)) > s.c.readLeft {
		buffer = buffer[:s.c.readLeft]
	}
	n, err := s.c.socket.Read(buffer)
	s.c.readLeft -= int64(n)
	return n, err
}

// reusable reports whether an idle connection can take a request: it isn't due to close, and its peer neither closed it
// nor sent bytes that no request asked for.
func (c *connection) reusable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	if prober, ok := c.socket.(network.IdleProber); ok {
		return prober.Idle()
	}
	return c.raw == nil || isQuiet(c.raw)
}

// abortOnDone makes every read and write of the connection fail once the context ends. stop takes that back; it returns false if
// the context has ended already.
func (c *connection) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.resetOnClose()
		_ = c.socket.SetDeadline(time.Unix(1, 0))
	})
}

// resetOnClose makes the connection end with a reset when it is closed: bytes of a request that haven't arrived yet, as a link
// delays them, are then dropped. After an orderly close they would still be sent, for a caller that has gone.
func (c *connection) resetOnClose() {
	if socket, ok := c.socket.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
}
