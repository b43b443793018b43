package command

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/node"
	"mastusher/internal/tier/transport"
)

// Retries of the steps of a start. Waiting costs less than ending and being restarted.
const (
	startTimeout   = 30 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// retryStart retries an operation with backoff until it succeeds, for at most startTimeout, and returns the last error. Errors that a retry
// cannot resolve are returned at once: a corrupt disk, or one whose content is rejected.
func (p *process) retryStart(ctx context.Context, step string, operation func() error) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := operation()
		if err == nil || group.IsFatal(err) {
			return err
		}
		level.Warn(p.logger).Log("msg", "start step failed, retrying", "step", step, "err", err)
		select {
		case <-bounded.Done():
			return err
		case <-time.After(backoff):
		}
	}
}

// listen opens the listener for other processes. It retries while the address is still in use by the previous process.
func (p *process) listen(ctx context.Context, address string, handlers *transport.Handlers) (server *transport.Server, err error) {
	handlers.SetMeter(p.metrics)
	handlers.SetMemory(p.memory)
	err = p.retryStart(ctx, "address of the link", func() error {
		server, err = transport.ListenOn(p.env.Network, address, handlers, p.logger)
		return err
	})
	return server, err
}

// serve serves other processes with the handlers of the role and of its membership node, and runs the node, until leave is called.
func (p *process) serve(ctx context.Context, address string, member *node.Node, handlers *transport.Handlers) (leave func(), err error) {
	member.Register(handlers)
	server, err := p.listen(ctx, address, handlers)
	if err != nil {
		return nil, err
	}
	leaveMembers := p.join(ctx, member, server)
	return func() {
		leaveMembers()
		server.Close()
	}, nil
}
