package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/go-kit/log/level"
)

// serverConnection is one accepted connection: a reader, and a writer while answers wait.
type serverConnection struct {
	server *Server
	socket net.Conn
	from   string
	out    outbox
	ctx    context.Context
	cancel context.CancelFunc

	mutex sync.Mutex
	open  map[uint64]context.CancelFunc // handlers at work, by the number of their call
}

func newServerConnection(server *Server, socket net.Conn) *serverConnection {
	connection := &serverConnection{
		server: server,
		socket: socket,
		from:   socket.RemoteAddr().String(),
		open:   map[uint64]context.CancelFunc{},
	}
	connection.ctx, connection.cancel = context.WithCancel(context.Background())
	connection.out.limits = server.limits
	connection.out.meter = server.handlers.meter
	connection.out.broken = func(error) { connection.close() }
	connection.out.start(socket)
	return connection
}

// close breaks the connection and ends its handlers' contexts. It may be called more than once.
func (c *serverConnection) close() {
	c.cancel()
	c.out.close()
	c.socket.Close()
}

func (c *serverConnection) read() {
	defer c.server.running.Done()
	defer c.server.remove(c)
	defer c.close()
	reader := newLineReader(c.socket, c.server.limits.lineBytes)
	for {
		text, err := reader.next()
		if err == nil {
			err = c.take(text)
		}
		if err != nil {
			c.report(err)
			return
		}
	}
}

// report logs the end of a connection when it is the other side's mistake.
func (c *serverConnection) report(err error) {
	var tooLong *TooLongError
	if errors.Is(err, ErrBadLine) || errors.As(err, &tooLong) {
		level.Warn(c.server.logger).Log("msg", "connection closed", "from", c.from, "err", err)
	}
}

// take acts on one line; an error closes the connection.
func (c *serverConnection) take(text []byte) error {
	parsed, err := parseLine(text)
	if err != nil {
		return err
	}
	switch parsed.kind {
	case callLine:
		return c.takeCall(parsed)
	case noticeLine:
		return c.takeNotice(parsed)
	case streamLine:
		return c.takeStream(parsed)
	case cancelLine:
		c.cancelCall(parsed.id)
		return nil
	default:
		return fmt.Errorf("%w: %s isn't for a server", ErrBadLine, parsed.kind)
	}
}

func (c *serverConnection) takeNotice(notice line) error {
	handle, known := c.server.handlers.notices[string(notice.method)]
	if !known {
		level.Debug(c.server.logger).Log("msg", "unknown notice", "method", string(notice.method), "from", c.from)
		return nil
	}
	err := handle(c.from, notice.body)
	if err == nil || errors.Is(err, ErrBadLine) {
		return err
	}
	level.Warn(c.server.logger).Log("msg", "notice not read", "method", string(notice.method), "from", c.from, "err", err)
	return nil
}

func (c *serverConnection) takeCall(call line) error {
	prepare, known := c.server.handlers.calls[string(call.method)]
	if !known {
		c.sendError(call.id, unknownMethod, &RemoteError{Kind: KindUnknownMethod, Message: string(call.method)})
		return nil
	}
	run, err := prepare(c.from, call.body)
	if err != nil {
		return c.refuse(call.id, string(call.method), err)
	}
	ctx, err := c.begin(call.id)
	if err != nil {
		c.sendError(call.id, string(call.method), err)
		return nil
	}
	go c.answer(ctx, call.id, string(call.method), run)
	return nil
}

// refuse answers a body that doesn't fit; one that is no JSON closes the connection.
func (c *serverConnection) refuse(id uint64, method string, err error) error {
	if errors.Is(err, ErrBadLine) {
		return err
	}
	c.sendError(id, method, &RemoteError{Kind: KindBadRequest, Message: err.Error()})
	return nil
}

func (c *serverConnection) answer(ctx context.Context, id uint64, method string, run runCall) {
	defer c.finish(id)
	answer, err := run(ctx)
	if err != nil {
		c.sendError(id, method, err)
		return
	}
	c.send(answerLine, id, method, answer)
}

func (c *serverConnection) takeStream(stream line) error {
	prepare, known := c.server.handlers.streams[string(stream.method)]
	if !known {
		c.sendError(stream.id, unknownMethod, &RemoteError{Kind: KindUnknownMethod, Message: string(stream.method)})
		return nil
	}
	run, err := prepare(stream.body)
	if err != nil {
		return c.refuse(stream.id, string(stream.method), err)
	}
	ctx, err := c.begin(stream.id)
	if err != nil {
		c.sendError(stream.id, string(stream.method), err)
		return nil
	}
	go c.stream(ctx, stream.id, string(stream.method), run)
	return nil
}

func (c *serverConnection) stream(ctx context.Context, id uint64, method string, run runStream) {
	defer c.finish(id)
	err := run(ctx, func(item any) error {
		encoded, err := encodeLine(itemLine, id, "", item, c.server.limits.lineBytes)
		if err != nil {
			return err
		}
		return c.out.pushWhenRoom(ctx, &frame{line: encoded, kind: method})
	})
	if err != nil {
		c.sendError(id, method, err)
		return
	}
	c.send(endLine, id, method, nil)
}

// begin notes a handler at work and gives its context.
func (c *serverConnection) begin(id uint64) (context.Context, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, used := c.open[id]; used {
		return nil, &RemoteError{Kind: KindBadRequest, Message: "number in use"}
	}
	if len(c.open) >= maxOpenCalls {
		return nil, &RemoteError{Kind: KindBusy, Message: "too many open calls"}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.open[id] = cancel
	c.server.running.Add(1)
	return ctx, nil
}

func (c *serverConnection) finish(id uint64) {
	c.cancelCall(id)
	c.mutex.Lock()
	delete(c.open, id)
	c.mutex.Unlock()
	c.server.running.Done()
}

func (c *serverConnection) cancelCall(id uint64) {
	c.mutex.Lock()
	cancel := c.open[id]
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *serverConnection) sendError(id uint64, method string, err error) {
	c.send(errorLine, id, method, asRemote(err))
}

// send queues an answer. A peer that lets too many answers wait loses its connection.
func (c *serverConnection) send(kind lineKind, id uint64, method string, body any) {
	encoded, err := encodeLine(kind, id, "", body, c.server.limits.lineBytes)
	if err != nil {
		encoded, err = encodeLine(errorLine, id, "", unencodable(err), c.server.limits.lineBytes)
	}
	if err != nil {
		c.close()
		return
	}
	err = c.out.push(&frame{line: encoded, kind: method})
	if errors.Is(err, ErrQueueFull) {
		level.Warn(c.server.logger).Log("msg", "connection closed: answers aren't read", "from", c.from)
		c.close()
	}
}

func unencodable(err error) *RemoteError {
	var tooLong *TooLongError
	if errors.As(err, &tooLong) {
		return &RemoteError{Kind: KindTooLong, Message: err.Error()}
	}
	return &RemoteError{Kind: KindInternal, Message: err.Error()}
}
