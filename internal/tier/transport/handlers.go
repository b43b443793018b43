package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"mastusher/internal/tier/memorybudget"
)

// Handlers maps methods to their handlers. All must be registered before the server listens.
type Handlers struct {
	calls    map[string]decodeCall
	streams  map[string]decodeStream
	notices  map[string]noticeHandler
	datagram func(from string, payload []byte)
	meter    Meter
	memory   *memorybudget.Budget
}

type (
	// decodeCall, decodeStream and noticeHandler must decode the body before they return, as its buffer is reused.
	decodeCall    func(from string, body []byte) (callFunc, error)
	callFunc      func(ctx context.Context) (any, error)
	decodeStream  func(body []byte) (streamFunc, error)
	streamFunc    func(ctx context.Context, send func(any) error) error
	noticeHandler func(from string, body []byte) error
)

// NewHandlers returns an empty set.
func NewHandlers() *Handlers {
	return &Handlers{
		calls:   map[string]decodeCall{},
		streams: map[string]decodeStream{},
		notices: map[string]noticeHandler{},
	}
}

// Handle registers the handler for calls of a method. Each call runs in its own goroutine; its context ends when the caller stops
// waiting or the connection breaks. An error with an ErrorKind method is returned to the caller with that kind.
func Handle[Request, Answer any](handlers *Handlers, method string, handle func(ctx context.Context, from string, request Request) (Answer, error)) {
	mustBeValidMethod(method)
	handlers.calls[method] = func(from string, body []byte) (callFunc, error) {
		var request Request
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return func(ctx context.Context) (any, error) {
			return handle(ctx, from, request)
		}, nil
	}
}

// HandleNotice registers the handler for notices of a method. The handler runs in the connection's reader, for one notice after the
// other, and must not block.
func HandleNotice[Notice any](handlers *Handlers, method string, handle func(from string, notice Notice)) {
	mustBeValidMethod(method)
	handlers.notices[method] = func(from string, body []byte) error {
		var notice Notice
		if err := decode(body, &notice); err != nil {
			return err
		}
		handle(from, notice)
		return nil
	}
}

// HandleStream registers the handler for streams of a method. send blocks while the peer does not read. The context ends with the
// connection; the stream ends when the handler returns.
func HandleStream[Request, Item any](handlers *Handlers, method string, handle func(ctx context.Context, request Request, send func(Item) error) error) {
	mustBeValidMethod(method)
	handlers.streams[method] = func(body []byte) (streamFunc, error) {
		var request Request
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return func(ctx context.Context, send func(any) error) error {
			return handle(ctx, request, func(item Item) error { return send(item) })
		}, nil
	}
}

// SetMeter sets the meter that counts what servers with these handlers send on connections. It must be called before they listen.
func (h *Handlers) SetMeter(meter Meter) { h.meter = meter }

// SetMemory sets the budget of connections and long lines for servers with these handlers. It must be called before they listen.
func (h *Handlers) SetMemory(memory *memorybudget.Budget) { h.memory = memory }

// HandleDatagram sets the handler for datagrams, which is called for one datagram after the other. The handler must not block and
// must not retain the payload.
func (h *Handlers) HandleDatagram(handle func(from string, payload []byte)) {
	h.datagram = handle
}

// mustBeValidMethod panics if a method cannot be written in a line without escapes, which is a programming error.
func mustBeValidMethod(method string) {
	if !validMethod(method) {
		panic(fmt.Sprintf("transport: invalid method %q, want printable ASCII without spaces, quotes and backslashes", method))
	}
}

// decode decodes a body. The error is ErrBadLine if the body is not JSON, and another one if it does not match the type of target.
func decode(body []byte, target any) error {
	if body == nil {
		return nil
	}
	err := json.Unmarshal(body, target)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("%w: %w", ErrBadLine, err)
	}
	return err
}
