// Package fullrelay runs a complete relay core as a policy of package simulator: the engine.Core that `mastusher serve` runs, in virtual
// time, with a journal in memory that survives a crash. Only sockets, front and disk are simulated: Core implements engine.Shell and
// translates the engine's calls and notices to actions. A Core is not safe for concurrent use.
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

// New returns a relay core with an empty journal; it never fails.
func New(relaySettings control.Settings, seed uint64) (simulator.Policy, error) {
	return &Core{settings: relaySettings, seed: seed, journal: &journal.Memory{}, notified: map[uint64]bool{}}, nil
}

// Core is a relay's core as a simulator.Policy.
type Core struct {
	settings control.Settings
	seed     uint64
	journal  *journal.Memory
	notified map[uint64]bool // submissions of whose outcome the clients were notified; survives a crash, as the clients do

	core           *engine.Core // nil: not started yet
	now            time.Duration
	actions        []control.Action
	calls          map[uint64]func([]engine.Outcome) // callbacks of the calls in flight, by submission ID
	listChanged    func(engine.EndpointList)
	listIndex      int64
	hasQueuedEvent bool // an event is in the queue of core
}

var epoch = time.Unix(0, 0)

const turnInterval = 5 * time.Millisecond

// Successor returns a factory of the relay that runs on the same journal after a crash.
func (c *Core) Successor() simulator.PolicyFactory {
	return func(relaySettings control.Settings, seed uint64) (simulator.Policy, error) {
		return &Core{settings: relaySettings, seed: seed, journal: c.journal, notified: c.notified}, nil
	}
}

// Pending reports whether the journal holds the message of a submission.
func (c *Core) Pending(submission uint64) bool {
	id := strconv.FormatUint(submission, 10)
	for _, e := range c.journal.Entries() {
		if e.ID == id {
			return true
		}
	}
	return false
}

// startCore starts the core, which recovers the messages in the journal.
func (c *Core) startCore() {
	cfg := &config.Config{Seed: c.seed, Settings: wire.Settings{Settings: c.settings}}
	for i := range 64 {
		cfg.Settings.Zones = append(cfg.Settings.Zones, zoneName(i))
	}
	for i := range c.settings.Kinds {
		cfg.Settings.KindNames = append(cfg.Settings.KindNames, kindName(i))
	}
	cfg.Limits = config.Limits{Queue: 1 << 14, BusyRetry: 500 * time.Millisecond, AnswerWithin: 300 * time.Millisecond, BodySize: 64 << 10,
		DrainSends: time.Second, DrainExit: 4 * time.Second, NoticesPerCall: 64, NoticeTimeout: time.Second, NoticeRetry: 250 * time.Millisecond,
		NoticeRetryMax: 4 * time.Second, WatchRetry: 500 * time.Millisecond, Round: turnInterval}
	core, err := engine.New(cfg, c.journal, slog.New(slog.NewTextHandler(io.Discard, nil)), c.wallTime(c.now))
	if err != nil {
		panic(err) // the simulator has validated the settings
	}
	c.core, c.calls = core, map[uint64]func([]engine.Outcome){}
	core.SetShell(c)
	core.AddFront(frontName, noopFront{}, engine.EndpointList{})
	core.Restore(c.wallTime(c.now))
}

const frontName = "lab"

func zoneName(n int) string { return "z" + strconv.Itoa(n) }
func kindName(n int) string { return "k" + strconv.Itoa(n) }

func (c *Core) wallTime(t time.Duration) time.Time { return epoch.Add(t) }

// Step passes the events to the core, lets it take its turn, and returns its calls and replies as actions.
func (c *Core) Step(now time.Duration, events []control.Event, out []control.Action) []control.Action {
	c.now, c.actions = now, out
	if c.core == nil {
		c.startCore()
	}
	type submission struct {
		id    uint64
		reply <-chan engine.Reply
	}
	var arrived []submission
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case control.Listed:
			c.deliverList(event)
		case control.Arrived:
			message := engine.Message{ID: strconv.FormatUint(event.ID, 10), Key: "k", Class: event.Class, Partner: event.Destination, Deadline: c.wallTime(event.Deadline), Resubmitted: event.Resubmitted,
				Body: []byte("{}")}
			if event.MayHaveRun {
				message.MayHaveRunAt = c.wallTime(event.RanAt)
			}
			arrived = append(arrived, submission{event.ID, c.core.SubmitAt(frontName, message, c.wallTime(now))})
		case control.Resolved:
			if done := c.calls[event.ID]; done != nil {
				delete(c.calls, event.ID)
				done([]engine.Outcome{{Result: event.Result, RetryAfter: event.RetryAfter, Reported: event.Reported, Share: event.Remaining, Limit: event.Limit}})
			}
		}
	}
	c.hasQueuedEvent = false
	c.core.Step(c.wallTime(now))
	for _, a := range arrived {
		select {
		case response := <-a.reply:
			switch response.Verdict {
			case engine.Busy:
				c.actions = append(c.actions, control.Action{Kind: control.Refuse, ID: a.id, Duration: response.RetryAfter})
			case engine.Failed, engine.Rejected:
				c.actions = append(c.actions, control.Action{Kind: control.Fail, ID: a.id})
			}
		default:
			panic("simulator: the core did not reply to a submission in the turn of its arrival")
		}
	}
	wake := c.core.IdleFor(c.wallTime(now))
	if c.hasQueuedEvent {
		wake = min(wake, turnInterval)
	}
	return append(c.actions, control.Action{Kind: control.Wake, At: now + max(wake, time.Millisecond)})
}

// deliverList passes a change of the endpoint list to the core.
func (c *Core) deliverList(event *control.Event) {
	if c.listChanged == nil {
		return
	}
	c.listIndex++
	list := engine.EndpointList{Index: c.listIndex, Complete: event.Complete}
	for _, listed := range event.Endpoints {
		list.Destinations = append(list.Destinations, engine.Destination{Name: fmt.Sprint("e", listed.ID), Zone: zoneName(listed.Zone), Kind: kindName(listed.Kind),
			Partner: listed.Destination, State: listed.State})
	}
	c.listChanged(list)
}

// Call appends a Send action. The simulator resolves it through done; the returned function cancels the call.
func (c *Core) Call(_ engine.Front, attempt *engine.Attempt, until time.Time, done func([]engine.Outcome)) func() {
	id, _ := strconv.ParseUint(attempt.Items[0].ID, 10, 64)
	endpoint, _ := strconv.ParseUint(attempt.To.Name[1:], 10, 32)
	c.calls[id] = done
	attempt.MayWriteAt(c.wallTime(c.now))
	c.actions = append(c.actions, control.Action{Kind: control.Send, ID: id, Endpoint: uint32(endpoint), Duration: until.Sub(c.wallTime(c.now))})
	return func() {
		if c.calls[id] != nil {
			c.actions = append(c.actions, control.Action{Kind: control.Cancel, ID: id})
		}
	}
}

// Notify appends the outcomes of messages as actions. A duplicate notice, after a crash, is acknowledged and dropped.
func (c *Core) Notify(_ engine.Front, notices []engine.Notice, _ time.Time, done func([]bool)) func() {
	acknowledged := make([]bool, len(notices))
	for i, notice := range notices {
		acknowledged[i] = true
		id, _ := strconv.ParseUint(notice.ID, 10, 64)
		if c.notified[id] {
			continue
		}
		c.notified[id] = true
		action := control.Action{Kind: control.Fail, ID: id}
		if notice.HandedBack {
			action.Kind, action.Duration = control.Refuse, notice.RetryAfter
		}
		c.actions = append(c.actions, action)
	}
	done(acknowledged)
	c.hasQueuedEvent = true
	return func() {}
}

// Watch registers changed for Listed events.
func (c *Core) Watch(_ engine.Front, _ int64, changed func(engine.EndpointList), _ func(error)) func() {
	c.listChanged = changed
	return func() {}
}

// noopFront is a front without sockets: Core does all the work of a front.
type noopFront struct{}

func (noopFront) Call(context.Context, *engine.Attempt) []engine.Outcome        { return nil }
func (noopFront) Notify(context.Context, []engine.Notice) []bool                { return nil }
func (noopFront) CloseIdle(*engine.Destination)                                 {}
func (noopFront) Watch(context.Context, int64, func(engine.EndpointList)) error { return nil }
func (noopFront) NotifiesDeliveries() bool                                      { return false }
