package transport

import (
	"context"
	"errors"
)

// Call sends a request and waits for its answer until ctx ends, or DefaultCallTimeout if ctx has no deadline. Its error is a
// *RemoteError of the handler, or else a *CallError. When the caller stops waiting, the handler's context ends. Method must
// be a valid name, or Call panics.
func Call[Request, Answer any](ctx context.Context, pool *Pool, address, method string, request Request) (Answer, error) {
	answer := new(Answer)
	err := pool.call(ctx, address, method, request, answer)
	if err != nil {
		var none Answer // answer itself may still be written to
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

// submit queues a call. A connection that broke in the meantime is replaced once.
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
