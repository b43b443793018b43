package proxy

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/program"
)

// fakeViews is a Views whose results a test sets.
type fakeViews struct {
	routes atomic.Pointer[Routes]
	ready  atomic.Bool
}

func (v *fakeViews) Routes() *Routes { return v.routes.Load() }
func (v *fakeViews) Ready() bool     { return v.ready.Load() }

// fakePrograms is a Programs that records its calls.
type fakePrograms struct {
	beforeBegin func(context.Context)                           // nil: Begin answers at once
	begin       func(program.BeginTurn) (program.Result, error) // nil: every turn is accepted
	end         func(program.EndTurn) error                     // nil: every commit is accepted
	beforeEnd   func(context.Context) error                     // nil: End answers at once
	isUnknown   func(program.EndTurn) bool                      // nil: every turn is known

	mutex     sync.Mutex
	begins    []program.BeginTurn
	shardKeys []string
	ended     chan program.EndTurn // receives each committed turn
}

func (p *fakePrograms) Begin(ctx context.Context, key string, turn program.BeginTurn) (program.Result, error) {
	if p.beforeBegin != nil {
		p.beforeBegin(ctx)
	}
	p.mutex.Lock()
	turn.Input = bytes.Clone(turn.Input)
	p.begins = append(p.begins, turn)
	p.shardKeys = append(p.shardKeys, key)
	p.mutex.Unlock()
	if p.begin == nil {
		return program.Result{Verdict: program.Accepted}, nil
	}
	return p.begin(turn)
}

func (p *fakePrograms) End(ctx context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	if p.beforeEnd != nil {
		if err := p.beforeEnd(ctx); err != nil {
			return program.Result{}, err
		}
	}
	if p.end != nil {
		if err := p.end(turn); err != nil {
			return program.Result{}, err
		}
	}
	if p.isUnknown != nil && p.isUnknown(turn) {
		return program.Result{Verdict: program.UnknownTurn}, nil
	}
	p.ended <- turn
	return program.Result{Verdict: program.Accepted}, nil
}

// fakeSelector is a Selector that selects its endpoints in order, each once per request.
type fakeSelector struct {
	endpoints []Selection
	outcomes  chan Outcome

	mutex       sync.Mutex
	infos       []RequestInfo
	firstEvents int
}

func (c *fakeSelector) Select(_ context.Context, info *RequestInfo) (Selection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.infos = append(c.infos, *info)
	for _, selection := range c.endpoints {
		if !slices.Contains(info.Excluded, selection.ID) {
			return selection, nil
		}
	}
	return Selection{}, &RejectionError{RetryAfter: 250 * time.Millisecond}
}

func (c *fakeSelector) FirstEvent(Selection, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.firstEvents++
}

func (c *fakeSelector) Done(_ Selection, outcome Outcome) { c.outcomes <- outcome }
