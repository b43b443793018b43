package transport

import (
	"context"
	"errors"
)

// Call sends a request and waits for its answer until ctx ends, or for DefaultCallTimeout if ctx has no deadline. The error is a
// *RemoteError from the handler, or else a *CallError. When the caller stops waiting, the handler's context ends. Call panics if
// method is not a valid name.
func Call[Request, Answer any](ctx context.Context, pool *Pool, address, method string, request Request) (Answer, error) {
	answer := new(Answer)
	err := pool.call(ctx, address, method, request, answer)
	if err != nil {
		var none Answer // the reader may still write to *answer
		return none, err
	}
	return *answer, nil
}

// call is Call without its type parameters: it decodes the answer into answer, a pointer.
func (p *Pool) call(ctx context.Context, address, method string, request, answer any) error {
	mustBeValidMethod(method)
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	id := p.lastID.Add(1)
	encoded, err := encodeLine(callLine, id, method, request, p.limits.lineBytes)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	pending := &pendingCall{id: id, method: method, answer: answer, frame: frame{line: encoded, kind: method}, done: make(chan error, 1)}
	connection, err := p.submit(address, pending)
	if err != nil {
		releaseLine(encoded)
		return &CallError{Address: address, Method: method, Cause: err}
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return connection.abandon(pending, ctx.Err())
	}
}

// submit queues a call. If the connection has broken in the meantime, submit retries once on a new one.
func (p *Pool) submit(address string, pending *pendingCall) (*clientConnection, error) {
	for attempt := 0; ; attempt++ {
		connection, err := p.connection(address)
		if err != nil {
			return nil, err
		}
		err = connection.submit(pending)
		if err == nil || !errors.Is(err, ErrClosed) || attempt > 0 {
			return connection, err
		}
	}
}
