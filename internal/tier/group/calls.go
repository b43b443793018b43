package group

import (
	"context"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// call is one that waits for its outcome.
type call struct {
	read func() // of a read: run once it is confirmed
	done func(result any, err error)
}

// Propose has the command agreed on and returns what the machine answered. An *NotLeaderError tells whether the command
// can still be committed.
func (g *Group) Propose(ctx context.Context, command any) (any, error) {
	return g.wait(ctx, func(done func(any, error)) uint64 { return g.ProposeAsync(command, done) })
}

// Read runs view on the group's goroutine once it is certain that this member owned the group after Read was called.
func (g *Group) Read(ctx context.Context, view func()) error {
	_, err := g.wait(ctx, func(done func(any, error)) uint64 { return g.ReadAsync(view, done) })
	return err
}

// ProposeAsync has the command agreed on; done is told the outcome, on the group's goroutine or at once. The token can be given
// to Cancel.
func (g *Group) ProposeAsync(command any, done func(result any, err error)) (token uint64) {
	data, err := encodeCommand(command)
	if err != nil {
		done(nil, err)
		return 0
	}
	return g.enter(call{done: done}, func(token uint64) error {
		wrapped := appendProposed(nil, &proposed{Origin: g.origin, Token: token, Command: data})
		if !g.takeRoom(len(wrapped)+messageBytes, false) {
			return &NotLeaderError{Group: g.options.Name, Dropped: true, Cause: errTooMuchWaits}
		}
		g.input.Proposals = append(g.input.Proposals, replica.Proposal{Token: token, Data: wrapped})
		return nil
	})
}

// ReadAsync runs view once a read is confirmed, and then tells done.
func (g *Group) ReadAsync(view func(), done func(result any, err error)) (token uint64) {
	return g.enter(call{read: view, done: done}, func(token uint64) error {
		g.input.Reads = append(g.input.Reads, token)
		return nil
	})
}

// Cancel makes sure that nobody is told of a call's outcome any more.
func (g *Group) Cancel(token uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.calls, token)
}

func (g *Group) enter(entered call, queue func(token uint64) error) uint64 {
	g.mutex.Lock()
	var err error
	if g.broken != nil {
		err = &NotLeaderError{Group: g.options.Name, Dropped: true, Cause: g.broken}
	}
	g.token++
	token := g.token
	if err == nil {
		err = queue(token)
	}
	if err == nil {
		g.calls[token] = entered
	}
	g.mutex.Unlock()
	if err != nil {
		entered.done(nil, err)
		return 0
	}
	g.poke()
	return token
}

// outcome is what a call that is waited for has come to.
type outcome struct {
	result any
	err    error
}

func (g *Group) wait(ctx context.Context, start func(done func(any, error)) uint64) (any, error) {
	ended := make(chan outcome, 1)
	token := start(func(result any, err error) { ended <- outcome{result, err} })
	select {
	case o := <-ended:
		return o.result, o.err
	case <-ctx.Done():
		g.Cancel(token)
		return nil, &NotLeaderError{Group: g.options.Name, Leader: g.ownerAddress(), Cause: ctx.Err()}
	}
}

// ownerAddress is where the group's owner was last known to be; empty if it is not known.
func (g *Group) ownerAddress() string {
	status := g.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}

// answer tells the calls whose outcome is known.
func (g *Group) answer(outcomes []replica.Outcome, results map[uint64]any) {
	for _, o := range outcomes {
		g.mutex.Lock()
		ended, waits := g.calls[o.Token]
		delete(g.calls, o.Token)
		g.mutex.Unlock()
		if !waits {
			continue
		}
		if !o.Done {
			ended.done(nil, &NotLeaderError{Group: g.options.Name, Leader: g.ownerAddress(), Dropped: o.Dropped})
			continue
		}
		if ended.read != nil {
			ended.read()
		}
		ended.done(results[o.Token], nil)
	}
}

// brokenBy returns what has broken the member; nil: it works.
func (g *Group) brokenBy() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.broken
}

// fail breaks the member: all calls under way end, and nobody is its owner as far as it knows.
func (g *Group) fail(cause error) {
	level.Error(g.options.Logger).Log("msg", "replica stopped", "group", g.options.Name, "err", cause)
	g.disable(cause)
}

// disable breaks the member without a word.
func (g *Group) disable(cause error) {
	g.mutex.Lock()
	g.broken = cause
	g.release(false)
	calls := g.calls
	g.calls = map[uint64]call{}
	g.mutex.Unlock()
	status := g.Status()
	status.Leader, status.IsLeader, status.CaughtUp = "", false, nil
	g.tell(status)
	for _, ended := range calls {
		ended.done(nil, &NotLeaderError{Group: g.options.Name, Cause: cause})
	}
}
