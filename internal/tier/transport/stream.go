package transport

import (
	"context"
	"fmt"
	"net"
)

// Stream requests a series of items on a connection of its own and hands each to receive, in order, in the caller's
// goroutine. A slow receive delays the sender; one that blocks for longer than the TCP time-out loses the connection. Stream
// returns nil when the sender ends the series, receive's error when that fails, a *RemoteError when the handler failed, and a
// *CallError when the connection broke or ctx ended.
func Stream[Request, Item any](ctx context.Context, pool *Pool, address, method string, request Request, receive func(Item) error) error {
	return pool.stream(ctx, address, method, request, func(body []byte) (func() error, error) {
		var item Item
		if err := decode(body, &item); err != nil {
			return nil, err
		}
		return func() error { return receive(item) }, nil
	})
}

// decodeItem decodes an item and returns the function that hands it to the receiver.
type decodeItem func(body []byte) (func() error, error)

// stream is Stream without its type parameters.
func (p *Pool) stream(ctx context.Context, address, method string, request any, decodeItem decodeItem) error {
	mustBeValidMethod(method)
	callerDone := ctx.Err
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.lifetime, cancel)()
	failed := func(mayHaveArrived bool, cause error) error {
		switch {
		case callerDone() != nil:
			cause = callerDone()
		case p.lifetime.Err() != nil:
			cause = ErrClosed
		}
		return &CallError{Address: address, Method: method, MayHaveArrived: mayHaveArrived, Cause: cause}
	}
	if err := ctx.Err(); err != nil || p.lifetime.Err() != nil {
		return failed(false, err) // Pool.Close ends ctx in a goroutine of its own, which may be late
	}
	id := p.lastID.Add(1)
	encoded, err := encodeLine(streamLine, id, method, request, p.limits.lineBytes)
	if err != nil {
		return failed(false, err)
	}
	defer releaseLine(encoded)
	socket, err := p.network.Dial(ctx, newDialer(), "tcp4", address)
	if err != nil {
		return failed(false, err)
	}
	defer socket.Close()
	stop := context.AfterFunc(ctx, func() { socket.Close() })
	defer stop()
	if _, err = socket.Write(encoded.Bytes()); err != nil {
		return failed(true, err)
	}
	broken, err := p.receive(socket, id, decodeItem)
	if broken != nil {
		return failed(true, broken)
	}
	return err
}

// receive hands items to the receiver until the series ends. broken is an error of the connection, ended one of the handler
// or of the receiver.
func (p *Pool) receive(socket net.Conn, id uint64, decodeItem decodeItem) (broken, ended error) {
	reader := newLineReader(socket, p.limits.lineBytes)
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
			return fmt.Errorf("%w: of another stream", ErrBadLine), nil
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
			return fmt.Errorf("%w: %s isn't for a stream", ErrBadLine, parsed.kind), nil
		}
	}
}
