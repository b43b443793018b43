package group

import (
	"context"

	"mastusher/internal/tier/replica"
)

// pendingCall is a command or a read whose outcome is not known yet.
type pendingCall struct {
	view func() // run once a read is confirmed; nil for a command
	done func(result any, err error)
}

// Propose proposes a command, waits until it is committed and returns the state machine's result. A *NotLeaderError says whether
// the command may still be committed.
func (g *Group) Propose(ctx context.Context, command any) (any, error) {
	return g.await(ctx, func(done func(any, error)) uint64 { return g.ProposeAsync(command, done) })
}

// Read runs view on the member's goroutine once a majority has confirmed that this member was the leader after Read was called.
// An error is a *NotLeaderError.
func (g *Group) Read(ctx context.Context, view func()) error {
	_, err := g.await(ctx, func(done func(any, error)) uint64 { return g.ReadAsync(view, done) })
	return err
}

// ProposeAsync proposes a command. It calls done with the result: on the member's goroutine, or before it returns if the command
// can't be queued. The token can be passed to Cancel; it is 0 if done has been called already.
func (g *Group) ProposeAsync(command any, done func(result any, err error)) (token uint64) {
	data, err := encodeCommand(command)
	if err != nil {
		done(nil, err)
		return 0
	}
	return g.submit(pendingCall{done: done}, func(token uint64) error {
		wrapped := appendProposal(nil, &proposal{Origin: g.origin, Token: token, Command: data})
		if !g.reserve(len(wrapped)+messageOverhead, false) {
			return &NotLeaderError{Group: g.options.Name, Dropped: true, Cause: errQueueFull}
		}
		g.input.Proposals = append(g.input.Proposals, replica.Proposal{Token: token, Data: wrapped})
		return nil
	})
}

// ReadAsync runs view as Read does, and then calls done as ProposeAsync does.
func (g *Group) ReadAsync(view func(), done func(result any, err error)) (token uint64) {
	return g.submit(pendingCall{view: view, done: done}, func(token uint64) error {
		g.input.Reads = append(g.input.Reads, token)
		return nil
	})
}

// Cancel drops a pending call, so that its done is never called. The command may still be committed.
func (g *Group) Cancel(token uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.pendingCalls, token)
}

// submit assigns a token to a call, queues its input and registers it as pending. If that fails, it calls done and returns 0.
func (g *Group) submit(submitted pendingCall, queue func(token uint64) error) uint64 {
	g.mutex.Lock()
	var err error
	if g.failure != nil {
		err = &NotLeaderError{Group: g.options.Name, Dropped: true, Cause: g.failure}
	}
	g.lastToken++
	token := g.lastToken
	if err == nil {
		err = queue(token)
	}
	if err == nil {
		g.pendingCalls[token] = submitted
	}
	g.mutex.Unlock()
	if err != nil {
		submitted.done(nil, err)
		return 0
	}
	g.signal()
	return token
}

// outcome is the result of a call that Propose or Read waits for.
type outcome struct {
	result any
	err    error
}

// await starts an asynchronous call and waits for its outcome, or cancels it when ctx ends.
func (g *Group) await(ctx context.Context, start func(done func(any, error)) uint64) (any, error) {
	outcomes := make(chan outcome, 1)
	token := start(func(result any, err error) { outcomes <- outcome{result, err} })
	select {
	case ended := <-outcomes:
		return ended.result, ended.err
	case <-ctx.Done():
		g.Cancel(token)
		return nil, &NotLeaderError{Group: g.options.Name, Leader: g.leaderAddress(), Cause: ctx.Err()}
	}
}

// completeCalls calls done of the pending calls whose outcome is known.
func (g *Group) completeCalls(outcomes []replica.Outcome, results map[uint64]any) {
	for _, o := range outcomes {
		g.mutex.Lock()
		call, found := g.pendingCalls[o.Token]
		delete(g.pendingCalls, o.Token)
		g.mutex.Unlock()
		if !found {
			continue
		}
		if !o.Done {
			call.done(nil, &NotLeaderError{Group: g.options.Name, Leader: g.leaderAddress(), Dropped: o.Dropped})
			continue
		}
		if call.view != nil {
			call.view()
		}
		call.done(results[o.Token], nil)
	}
}
