package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Handlers says what a server does by method. All are registered before the server listens.
type Handlers struct {
	calls    map[string]prepareCall
	streams  map[string]prepareStream
	notices  map[string]takeNotice
	datagram func(from string, payload []byte)
	meter    Meter
}

type (
	// Each decodes the body at once, since the read buffer is used again.
	prepareCall   func(from string, body []byte) (runCall, error)
	runCall       func(ctx context.Context) (any, error)
	prepareStream func(body []byte) (runStream, error)
	runStream     func(ctx context.Context, send func(any) error) error
	takeNotice    func(from string, body []byte) error
)

// NewHandlers gives an empty set.
func NewHandlers() *Handlers {
	return &Handlers{
		calls:   map[string]prepareCall{},
		streams: map[string]prepareStream{},
		notices: map[string]takeNotice{},
	}
}

// Handle registers what answers calls of a method. Each call runs in a goroutine of its own; its context ends when the
// caller stops waiting or the connection breaks.
func Handle[Request, Answer any](handlers *Handlers, method string, handle func(ctx context.Context, from string, request Request) (Answer, error)) {
	mustBeValid(method)
	handlers.calls[method] = func(from string, body []byte) (runCall, error) {
		var request Request
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return func(ctx context.Context) (any, error) {
			return handle(ctx, from, request)
		}, nil
	}
}

// HandleNotice registers what takes notices of a method. It runs in the connection's reader, one notice after the other,
// and must not block.
func HandleNotice[Notice any](handlers *Handlers, method string, handle func(from string, notice Notice)) {
	mustBeValid(method)
	handlers.notices[method] = func(from string, body []byte) error {
		var notice Notice
		if err := decode(body, &notice); err != nil {
			return err
		}
		handle(from, notice)
		return nil
	}
}

// HandleStream registers what sends items for as long as it likes. send waits while the other side does not read. The
// context ends with the connection; the stream ends when the handler returns.
func HandleStream[Request, Item any](handlers *Handlers, method string, handle func(ctx context.Context, request Request, send func(Item) error) error) {
	mustBeValid(method)
	handlers.streams[method] = func(body []byte) (runStream, error) {
		var request Request
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return func(ctx context.Context, send func(any) error) error {
			return handle(ctx, request, func(item Item) error { return send(item) })
		}, nil
	}
}

// Measure has a meter count what servers with these handlers send on connections; to be called before they listen.
func (h *Handlers) Measure(meter Meter) { h.meter = meter }

// HandleDatagram sets what takes datagrams, one after the other. It must not block, nor keep the payload.
func (h *Handlers) HandleDatagram(handle func(from string, payload []byte)) {
	h.datagram = handle
}

func mustBeValid(method string) {
	if !validMethod(method) {
		panic(fmt.Sprintf("link: %q can't name a method", method))
	}
}

// decode reads a body. ErrBadLine means that it is no JSON; any other error, that it doesn't fit the type.
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
