package command

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/node"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/transport"
)

// Patience with what a start needs of the machine: an end by itself is dearer than a wait.
const (
	startPatience = 30 * time.Second
	firstPause    = 50 * time.Millisecond
	mostPause     = time.Second
)

// persist tries something until it succeeds, with growing pauses, as long as the start may take. A damaged disk doesn't get
// better.
func (p *process) persist(ctx context.Context, what string, try func() error) error {
	bounded, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for pause := firstPause; ; pause = min(2*pause, mostPause) {
		err := try()
		var damage *storage.CorruptError
		if err == nil || errors.As(err, &damage) {
			return err
		}
		level.Warn(p.logger).Log("msg", "start waits", "for", what, "err", err)
		select {
		case <-bounded.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// listen opens the process's link. Its address may still be taken by the process before.
func (p *process) listen(ctx context.Context, address string, handlers *transport.Handlers) (server *transport.Server, err error) {
	handlers.Measure(p.metrics)
	err = p.persist(ctx, "address of the link", func() error {
		server, err = transport.ListenOn(p.around.Network, address, handlers, p.logger)
		return err
	})
	return server, err
}

// serve answers what other processes ask of the role and its member, and has the member run with the others, until leave is
// called.
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
