package transport

import (
	"context"
	"fmt"
	"net"
)

// Stream requests a series of items on its own connection and calls receive for each, in order, in the caller's goroutine. A slow
// receive delays the sender; if it blocks for longer than the TCP timeout, the connection is lost. Stream returns nil at the end of
// the series, the error of receive if that fails, a *RemoteError if the handler fails, and a *CallError if the connection breaks, ctx ends
// or there is no memory for an item.
func Stream[Request, Item any](ctx context.Context, pool *Pool, address, method string, request Request, receive func(Item) error) error {
	return pool.stream(ctx, address, method, request, func(body []byte) (func() error, error) {
		var item Item
		if err := decode(body, &item); err != nil {
			return nil, err
		}
		return func() error { return receive(item) }, nil
	})
}

// decodeItem decodes an item and returns a function that passes the item to the receiver.
type decodeItem func(body []byte) (func() error, error)

// stream is Stream without its type parameters.
func (p *Pool) stream(ctx context.Context, address, method string, request any, decodeItem decodeItem) error {
	mustBeValidMethod(method)
	callerDone := ctx.Err
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.lifetime, cancel)()
	callError := func(mayHaveArrived bool, cause error) error {
		switch {
		case callerDone() != nil:
			cause = callerDone()
		case p.lifetime.Err() != nil:
			cause = ErrClosed
		}
		return &CallError{Address: address, Method: method, MayHaveArrived: mayHaveArrived, Cause: cause}
	}
	if err := ctx.Err(); err != nil || p.lifetime.Err() != nil {
		return callError(false, err) // lifetime is checked too, as Pool.Close cancels ctx asynchronously
	}
	id := p.lastID.Add(1)
	encoded, err := encodeLine(streamLine, id, method, request, p.limits.lineBytes)
	if err != nil {
		return callError(false, err)
	}
	defer releaseLine(encoded)
	socket, err := p.network.Dial(ctx, newDialer(), "tcp4", address)
	if err != nil {
		return callError(false, err)
	}
	defer socket.Close()
	stop := context.AfterFunc(ctx, func() { socket.Close() })
	defer stop()
	if _, err = socket.Write(encoded.Bytes()); err != nil {
		return callError(true, err)
	}
	connectionErr, err := p.receive(socket, id, decodeItem)
	if connectionErr != nil {
		return callError(true, connectionErr)
	}
	return err
}

// receive passes items to the receiver until the series ends. connectionErr is an error of the connection, streamErr an error of the
// handler or the receiver.
func (p *Pool) receive(socket net.Conn, id uint64, decodeItem decodeItem) (connectionErr, streamErr error) {
	reader, release, err := p.newReader(socket)
	if err != nil {
		return err, nil
	}
	defer release()
	for {
		text, err := reader.next()
		if err != nil {
			return err, nil
		}
		parsed, err := parseLine(text)
		if err != nil {
			return err, nil
		}
		if parsed.id != id {
			return fmt.Errorf("%w: stream received a line with the number of another stream", ErrBadLine), nil
		}
		switch parsed.kind {
		case itemLine:
			deliver, err := decodeItem(parsed.body)
			if err != nil {
				return err, nil
			}
			if err := deliver(); err != nil {
				return nil, err
			}
		case endLine:
			return nil, nil
		case errorLine:
			remote := new(RemoteError)
			if err := decode(parsed.body, remote); err != nil {
				return err, nil
			}
			return nil, remote
		default:
			return fmt.Errorf("%w: stream received a line of kind %s, want item, end or error", ErrBadLine, parsed.kind), nil
		}
	}
}
