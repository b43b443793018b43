package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/memorybudget"
)

// serverConnection is an accepted connection. One goroutine reads; the outbox writes.
type serverConnection struct {
	server *Server
	socket net.Conn
	from   string // address of the peer
	lease  *memorybudget.Lease
	out    outbox
	ctx    context.Context // parent of the handlers' contexts; ends with the connection
	cancel context.CancelFunc

	mutex   sync.Mutex                    // guards cancels
	cancels map[uint64]context.CancelFunc // of the running handlers, by number of the call or stream
}

// newServerConnection returns an accepted connection, which can send immediately; read handles received lines.
func newServerConnection(server *Server, socket net.Conn) *serverConnection {
	connection := &serverConnection{
		server:  server,
		socket:  socket,
		from:    socket.RemoteAddr().String(),
		cancels: map[uint64]context.CancelFunc{},
	}
	connection.ctx, connection.cancel = context.WithCancel(context.Background())
	connection.out.limits = server.limits
	connection.out.running = &server.running
	connection.out.meter = server.handlers.meter
	connection.out.onWriteError = func(error) { connection.close() }
	connection.out.start(socket)
	return connection
}

// close closes the connection and cancels its handlers' contexts. It may be called more than once.
func (c *serverConnection) close() {
	c.cancel()
	c.out.close()
	c.socket.Close()
}

// read handles the lines of the connection until it breaks or Server.Close closes it. Server.Close waits for read.
func (c *serverConnection) read() {
	defer c.server.running.Done()
	defer c.server.remove(c)
	defer c.lease.Release()
	defer c.close()
	reader := newLineReader(c.socket, c.server.limits.lineBytes)
	reader.reserveFrom(c.lease, c.close)
	for {
		text, err := reader.next()
		var refused *refusedLineError
		switch {
		case err == nil:
			err = c.handleLine(text)
		case errors.As(err, &refused):
			c.refuse(refused)
			continue
		}
		if err != nil {
			c.logError(err)
			return
		}
	}
}

// refuse answers a call or stream whose line was dropped for lack of memory. A notice is lost, as on the network.
func (c *serverConnection) refuse(refused *refusedLineError) {
	kind, id, ok := refused.call()
	level.Warn(c.server.logger).Log("msg", "line refused, no memory", "kind", kind, "peer", c.from)
	if ok && (kind == callLine || kind == streamLine) {
		c.sendError(id, unknownMethod, &RemoteError{Kind: KindBusy, Message: refused.Error()})
	}
}

// logError logs the end of a connection that is caused by a protocol error of the peer.
func (c *serverConnection) logError(err error) {
	var tooLong *TooLongError
	if errors.Is(err, ErrBadLine) || errors.As(err, &tooLong) {
		level.Warn(c.server.logger).Log("msg", "closing connection, malformed line", "peer", c.from, "err", err)
	}
}

// handleLine handles one line. The caller closes the connection on an error.
func (c *serverConnection) handleLine(text []byte) error {
	parsed, err := parseLine(text)
	if err != nil {
		return err
	}
	switch parsed.kind {
	case callLine:
		return c.handleCall(parsed)
	case noticeLine:
		return c.handleNotice(parsed)
	case streamLine:
		return c.handleStream(parsed)
	case cancelLine:
		c.cancelCall(parsed.id)
		return nil
	default:
		return fmt.Errorf("%w: server received a line of kind %s, want call, notice, stream or cancel", ErrBadLine, parsed.kind)
	}
}

// handleNotice runs the handler of a notice in the reader. A notice whose body does not match the handler's type is dropped, as the
// peer may have a newer version.
func (c *serverConnection) handleNotice(notice line) error {
	handle, known := c.server.handlers.notices[string(notice.method)]
	if !known {
		level.Debug(c.server.logger).Log("msg", "unknown notice", "method", string(notice.method), "peer", c.from)
		return nil
	}
	err := handle(c.from, notice.body)
	if err == nil || errors.Is(err, ErrBadLine) {
		return err
	}
	level.Warn(c.server.logger).Log("msg", "decoding notice failed", "method", string(notice.method), "peer", c.from, "err", err)
	return nil
}

// handleCall decodes a call and starts its handler, or answers with an error.
func (c *serverConnection) handleCall(call line) error {
	prepare, known := c.server.handlers.calls[string(call.method)]
	if !known {
		c.sendError(call.id, unknownMethod, &RemoteError{Kind: KindUnknownMethod, Message: string(call.method)})
		return nil
	}
	run, err := prepare(c.from, call.body)
	if err != nil {
		return c.rejectBody(call.id, string(call.method), err)
	}
	ctx, err := c.startHandler(call.id)
	if err != nil {
		c.sendError(call.id, string(call.method), err)
		return nil
	}
	go c.runCall(ctx, call.id, string(call.method), run)
	return nil
}

// rejectBody answers a body that does not match the handler's type with an error. For a body that is not JSON it returns the error,
// which closes the connection.
func (c *serverConnection) rejectBody(id uint64, method string, err error) error {
	if errors.Is(err, ErrBadLine) {
		return err
	}
	c.sendError(id, method, &RemoteError{Kind: KindBadRequest, Message: err.Error()})
	return nil
}

// runCall runs a call's handler and sends its answer. The context ends with the connection or when the call is cancelled.
// Server.Close waits for runCall.
func (c *serverConnection) runCall(ctx context.Context, id uint64, method string, run callFunc) {
	defer c.finishHandler(id)
	answered := new(answeredHooks)
	defer answered.run()
	answer, err := run(context.WithValue(ctx, answeredKey{}, answered))
	if err != nil {
		c.sendError(id, method, err)
		return
	}
	c.send(answerLine, id, method, answer)
}

// handleStream decodes the request of a stream and starts its handler, or answers with an error.
func (c *serverConnection) handleStream(stream line) error {
	prepare, known := c.server.handlers.streams[string(stream.method)]
	if !known {
		c.sendError(stream.id, unknownMethod, &RemoteError{Kind: KindUnknownMethod, Message: string(stream.method)})
		return nil
	}
	run, err := prepare(stream.body)
	if err != nil {
		return c.rejectBody(stream.id, string(stream.method), err)
	}
	ctx, err := c.startHandler(stream.id)
	if err != nil {
		c.sendError(stream.id, string(stream.method), err)
		return nil
	}
	go c.runStream(ctx, stream.id, string(stream.method), run)
	return nil
}

// runStream runs a stream's handler, and sends its items and its end. The context ends with the connection. Server.Close waits for
// runStream.
func (c *serverConnection) runStream(ctx context.Context, id uint64, method string, run streamFunc) {
	defer c.finishHandler(id)
	err := run(ctx, func(item any) error {
		encoded, err := encodeLine(itemLine, id, "", item, c.server.limits.lineBytes)
		if err != nil {
			return err
		}
		return c.out.pushWait(ctx, &frame{line: encoded, kind: method})
	})
	if err != nil {
		c.sendError(id, method, err)
		return
	}
	c.send(endLine, id, method, nil)
}

// startHandler registers a handler as running and returns its context. The caller must call finishHandler.
func (c *serverConnection) startHandler(id uint64) (context.Context, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, used := c.cancels[id]; used {
		return nil, &RemoteError{Kind: KindBadRequest, Message: "number in use"}
	}
	if len(c.cancels) >= maxRunningHandlers {
		return nil, &RemoteError{Kind: KindBusy, Message: "too many open calls"}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancels[id] = cancel
	c.server.running.Add(1)
	return ctx, nil
}

// finishHandler cancels a handler's context and removes the handler from those that Server.Close waits for.
func (c *serverConnection) finishHandler(id uint64) {
	c.cancelCall(id)
	c.mutex.Lock()
	delete(c.cancels, id)
	c.mutex.Unlock()
	c.server.running.Done()
}

// cancelCall cancels the context of the handler with the given number, if it is running.
func (c *serverConnection) cancelCall(id uint64) {
	c.mutex.Lock()
	cancel := c.cancels[id]
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

// sendError sends an error that answers a call or ends a stream.
func (c *serverConnection) sendError(id uint64, method string, err error) {
	c.send(errorLine, id, method, toRemoteError(err))
}

// send queues an answer. The connection is closed if the queue is full, as the peer does not read its answers.
func (c *serverConnection) send(kind lineKind, id uint64, method string, body any) {
	encoded, err := encodeLine(kind, id, "", body, c.server.limits.lineBytes)
	if err != nil {
		encoded, err = encodeLine(errorLine, id, "", encodingError(err), c.server.limits.lineBytes)
	}
	if err != nil {
		c.close()
		return
	}
	err = c.out.push(&frame{line: encoded, kind: method})
	if errors.Is(err, ErrQueueFull) {
		level.Warn(c.server.logger).Log("msg", "closing connection, answers are not read", "peer", c.from)
		c.close()
	}
}

// encodingError returns the error that is sent instead of an answer that cannot be encoded.
func encodingError(err error) *RemoteError {
	var tooLong *TooLongError
	if errors.As(err, &tooLong) {
		return &RemoteError{Kind: KindTooLong, Message: err.Error()}
	}
	return &RemoteError{Kind: KindInternal, Message: err.Error()}
}
