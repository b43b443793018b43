// Package fullrelay runs a complete relay core as a policy of package simulator: the engine.Core that `mastusher serve` runs, in virtual
// time, with a journal in memory that outlasts a crash. Only sockets, front and disk are the simulator's: Core is the engine's Shell and
// turns its calls and notices into actions. A Core is used by one simulator's goroutine.
package fullrelay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/wire"
)

// New returns a relay's core with an empty journal; it never fails.
func New(set control.Settings, seed uint64) (simulator.Policy, error) {
	return &Core{settings: set, seed: seed, journal: &journal.Memory{}, notified: map[uint64]bool{}}, nil
}

// Core is a relay's core as a simulator.Policy.
type Core struct {
	settings control.Settings
	seed     uint64
	journal  *journal.Memory
	notified map[uint64]bool // submissions whose end clients were notified of; outlasts a crash, as the clients do

	core           *engine.Core // nil: not started yet
	now            time.Duration
	actions        []control.Action
	calls          map[uint64]func([]engine.Outcome)
	listChanged    func(engine.EndpointList)
	listIndex      int64
	hasQueuedEvent bool // an event stands in the core's queue
}

var epoch = time.Unix(0, 0)

const turnInterval = 5 * time.Millisecond

// Successor makes the relay that is started after this one has crashed, on the same journal.
func (p *Core) Successor() simulator.PolicyFactory {
	return func(set control.Settings, seed uint64) (simulator.Policy, error) {
		return &Core{settings: set, seed: seed, journal: p.journal, notified: p.notified}, nil
	}
}

// Pending reports whether the journal holds the message of a submission.
func (p *Core) Pending(ticket uint64) bool {
	id := strconv.FormatUint(ticket, 10)
	for _, e := range p.journal.Entries() {
		if e.ID == id {
			return true
		}
	}
	return false
}

// startCore starts the core, which recovers what the journal holds.
func (p *Core) startCore() {
	cfg := &config.Config{Seed: p.seed, Settings: wire.Settings{Settings: p.settings}}
	for i := range 64 {
		cfg.Settings.Zones = append(cfg.Settings.Zones, zoneName(i))
	}
	for i := range p.settings.Kinds {
		cfg.Settings.KindNames = append(cfg.Settings.KindNames, kindName(i))
	}
	cfg.Limits = config.Limits{Queue: 1 << 14, BusyRetry: 500 * time.Millisecond, AnswerWithin: 300 * time.Millisecond, BodySize: 64 << 10,
		DrainSends: time.Second, DrainExit: 4 * time.Second, NoticesPerCall: 64, NoticeTimeout: time.Second, NoticeRetry: 250 * time.Millisecond,
		NoticeRetryMax: 4 * time.Second, WatchRetry: 500 * time.Millisecond, Round: turnInterval}
	core, err := engine.New(cfg, p.journal, slog.New(slog.NewTextHandler(io.Discard, nil)), p.wallTime(p.now))
	if err != nil {
		panic(err) // the simulator's settings have been validated
	}
	p.core, p.calls = core, map[uint64]func([]engine.Outcome){}
	core.SetShell(p)
	core.AddFront(frontName, noopFront{}, engine.EndpointList{})
	core.Restore(p.wallTime(p.now))
}

const frontName = "lab"

func zoneName(n int) string { return "z" + strconv.Itoa(n) }
func kindName(n int) string { return "k" + strconv.Itoa(n) }

func (p *Core) wallTime(t time.Duration) time.Time { return epoch.Add(t) }

// Step passes the events to the core, lets it take its turn, and returns its calls and answers as actions.
func (p *Core) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	p.now, p.actions = now, out
	if p.core == nil {
		p.startCore()
	}
	type submission struct {
		id    uint64
		reply <-chan engine.Reply
	}
	var arrived []submission
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case control.Listed:
			p.deliverList(e)
		case control.Arrived:
			m := engine.Message{ID: strconv.FormatUint(e.ID, 10), Key: "k", Class: e.Class, Partner: e.Destination, Deadline: p.wallTime(e.Deadline), Resubmitted: e.Resubmitted,
				Body: []byte("{}")}
			if e.MayHaveRun {
				m.MayHaveRunAt = p.wallTime(e.RanAt)
			}
			arrived = append(arrived, submission{e.ID, p.core.SubmitAt(frontName, m, p.wallTime(now))})
		case control.Resolved:
			if done := p.calls[e.ID]; done != nil {
				delete(p.calls, e.ID)
				done([]engine.Outcome{{Result: e.Result, RetryAfter: e.RetryAfter, Reported: e.Reported, Share: e.Remaining, Limit: e.Limit}})
			}
		}
	}
	p.hasQueuedEvent = false
	p.core.Step(p.wallTime(now))
	for _, h := range arrived {
		select {
		case r := <-h.reply:
			switch r.Verdict {
			case engine.Busy:
				p.actions = append(p.actions, control.Action{Kind: control.Refuse, ID: h.id, For: r.RetryAfter})
			case engine.Failed, engine.Rejected:
				p.actions = append(p.actions, control.Action{Kind: control.Fail, ID: h.id})
			}
		default:
			panic("simulator: the core has not answered in the turn of an arrival")
		}
	}
	wake := p.core.IdleFor(p.wallTime(now))
	if p.hasQueuedEvent {
		wake = min(wake, turnInterval)
	}
	return append(p.actions, control.Action{Kind: control.Wake, At: now + max(wake, time.Millisecond)})
}

func (p *Core) deliverList(e *control.Event) {
	if p.listChanged == nil {
		return
	}
	p.listIndex++
	pool := engine.EndpointList{Index: p.listIndex, Complete: e.Complete}
	for _, d := range e.Endpoints {
		pool.Destinations = append(pool.Destinations, engine.Destination{Name: fmt.Sprint("e", d.ID), Zone: zoneName(d.Zone), Kind: kindName(d.Kind),
			Partner: d.Destination, State: d.State})
	}
	p.listChanged(pool)
}

// Call appends a Send; done is called when the simulator resolves it, and the function returned cancels it.
func (p *Core) Call(_ engine.Front, s *engine.Attempt, until time.Time, done func([]engine.Outcome)) func() {
	id, _ := strconv.ParseUint(s.Items[0].ID, 10, 64)
	endpoint, _ := strconv.ParseUint(s.To.Name[1:], 10, 32)
	p.calls[id] = done
	s.MayWriteAt(p.wallTime(p.now))
	p.actions = append(p.actions, control.Action{Kind: control.Send, ID: id, Endpoint: uint32(endpoint), For: until.Sub(p.wallTime(p.now))})
	return func() {
		if p.calls[id] != nil {
			p.actions = append(p.actions, control.Action{Kind: control.Cancel, ID: id})
		}
	}
}

// Notify appends how messages ended. A duplicate notice, after a crash, is acknowledged and dropped.
func (p *Core) Notify(_ engine.Front, notices []engine.Notice, _ time.Time, done func([]bool)) func() {
	taken := make([]bool, len(notices))
	for i, n := range notices {
		taken[i] = true
		id, _ := strconv.ParseUint(n.ID, 10, 64)
		if p.notified[id] {
			continue
		}
		p.notified[id] = true
		a := control.Action{Kind: control.Fail, ID: id}
		if n.HandedBack {
			a.Kind, a.For = control.Refuse, n.RetryAfter
		}
		p.actions = append(p.actions, a)
	}
	done(taken)
	p.hasQueuedEvent = true
	return func() {}
}

// Watch has later Listed events passed to changed.
func (p *Core) Watch(_ engine.Front, _ int64, changed func(engine.EndpointList), _ func(error)) func() {
	p.listChanged = changed
	return func() {}
}

// noopFront is a front without sockets: Core does all of its work.
type noopFront struct{}

func (noopFront) Call(context.Context, *engine.Attempt) []engine.Outcome        { return nil }
func (noopFront) Notify(context.Context, []engine.Notice) []bool                { return nil }
func (noopFront) CloseIdle(*engine.Destination)                                 {}
func (noopFront) Watch(context.Context, int64, func(engine.EndpointList)) error { return nil }
func (noopFront) NotifiesDeliveries() bool                                      { return false }
