package engine

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Item is one message of an attempt.
type Item struct {
	ID, Key string
	Class   int      // index into the settings' classes
	Body    []byte   // must not be changed
	Headers []string // sent with it, names and values alternating; fixed when the message was accepted

	ref     uint64
	attempt int // number of the message's attempt, from 0
}

// Attempt is a call to an endpoint that carries one or more messages. The core does not change its exported fields after it has passed it
// to Shell.Call.
type Attempt struct {
	To            Destination
	Items         []Item
	Timeout       time.Duration // of the whole call, from the decision on
	WriteBefore   time.Time     // its first byte must be written before that; zero if there is no bound
	PolicyVersion uint64        // version of the policy that the call carries; 0 if it carries none

	number      uint64
	scheduledAt time.Time     // start of the turn in which the module decided to make the attempt
	startAfter  time.Time     // earliest start, to respect the partner's rate limit; zero if it need not wait
	sampleBytes int           // bytes of the answer's body that the inspector wants; below 0 if it does not want the answer
	sampled     *AnswerSample // the answer as the inspector sees it, or nil; set by the attempt's goroutine

	cancel   func()       // returned by Shell.Call
	begin    func() bool  // journals the start; false if the attempt must not start. Called by the attempt's goroutine
	progress atomic.Int32 // attemptPending, attemptStarted or attemptRecalled; changed once, by the front's goroutine or the core's
}

// The values of Attempt.progress. It changes only once, from attemptPending to one of the others.
const (
	attemptPending  int32 = iota // nothing of it has been written
	attemptStarted               // its first byte may have been written
	attemptRecalled              // recalled before its first byte: nothing may be written
)

// NewAttempt returns an attempt for tools and tests of inspectors; sample is the number of bytes of the answer that the inspector wants.
func NewAttempt(to Destination, sample int, items ...Item) *Attempt {
	return &Attempt{To: to, Items: items, sampleBytes: sample}
}

// MayWrite must be called by the attempt's goroutine right before the first byte is written. It returns true at most once, after the start
// of the attempt has been journalled. If it returns false, since the attempt was recalled, its time is over or the journal failed, nothing
// may be written.
func (a *Attempt) MayWrite() bool { return a.MayWriteAt(time.Now()) }

// MayWriteAt is MayWrite at the time now, for callers with a clock of their own. An attempt is journalled here and not earlier, so that a
// message whose connection was still being opened when the process was killed is retried after the restart, whatever its class.
func (a *Attempt) MayWriteAt(now time.Time) bool {
	inTime := a.WriteBefore.IsZero() || now.Before(a.WriteBefore)
	return inTime && a.progress.CompareAndSwap(attemptPending, attemptStarted) && (a.begin == nil || a.begin())
}

// recall cancels the attempt unless its first byte may have been written.
func (a *Attempt) recall() {
	if a.progress.CompareAndSwap(attemptPending, attemptRecalled) {
		a.cancel()
	}
}

// Outcome is the result of an attempt for one of its items.
type Outcome struct {
	Result     control.Result
	RetryAfter time.Duration // with control.Throttled: how long the destination accepts nothing
	Final      bool          // the message has ended, without a notice
	Reported   bool          // the destination has reported Share and Limit
	Share      float64       // unused share of Limit, 0 to 1
	Limit      float64       // the destination's rate limit
}

// joins reports whether m can share the call of attempt. A call carries at most MaxMessagesPerCall messages of the destination's kind, its
// estimated body, with the messages in Base64, must fit into Limits.BodySize, and all of its messages must have the same headers.
func (c *Core) joins(attempt *Attempt, m *message) bool {
	perCall := 1
	if kind := slices.Index(c.settings.KindNames, attempt.To.Kind); kind >= 0 && kind < len(c.settings.Kinds) {
		perCall = c.settings.Kinds[kind].MaxMessagesPerCall
	}
	size := 0
	for _, item := range append(attempt.Items, Item{ID: m.entry.ID, Key: m.entry.Key, Body: m.entry.Body}) {
		size += 64 + 6*(len(item.ID)+len(item.Key)) + len(item.Body)*4/3
	}
	return len(attempt.Items) < perCall && size <= c.limits.BodySize && slices.Equal(attempt.Items[0].Headers, m.entry.Headers)
}

// call has the shell make an attempt, whose outcomes are posted to the queue.
func (c *Core) call(attempt *Attempt) {
	c.bindToMandate(attempt)
	front := attempt.To.front
	if c.inspector != nil {
		for i := range attempt.Items {
			attempt.sampleBytes = max(attempt.sampleBytes, c.inspector.SampleBytes(front.name, attempt.To.Partner, attempt.Items[i].Class))
		}
	}
	var entries []*journal.Entry
	for i := range attempt.Items {
		if m := c.messages[attempt.Items[i].ref]; m != nil {
			entries = append(entries, m.entry)
		}
	}
	attempt.begin = func() bool { return c.journal.Begin(entries) }
	c.recordBegin(attempt)
	attempt.cancel = c.shell.Call(front.Front, attempt, attempt.scheduledAt.Add(attempt.Timeout), func(outcomes []Outcome) {
		if attempt.sampled != nil { // the answer was complete
			c.inspector.OnAnswer(front.name, attempt, outcomes)
		}
		c.queue <- attemptEnded{attempt, outcomes}
	})
}

// closeIdle closes the idle connections to a destination.
func (c *Core) closeIdle(d *Destination) {
	d.front.Front.CloseIdle(d)
	c.recordAction(capture.Action{Kind: capture.IdleClosed, Target: d.number})
}

// attemptEnded is the event that an attempt has ended, with an outcome for each of its items.
type attemptEnded struct {
	attempt  *Attempt
	outcomes []Outcome
}

func (e attemptEnded) apply(core *Core, now time.Time) {
	attempt := e.attempt
	attempt.cancel()
	delete(core.inFlight, attempt.number)
	for i, item := range attempt.Items {
		o := e.outcomes[i]
		m := core.messages[item.ref]
		core.log.Debug("route step ended", "id", item.ID, "attempt", item.attempt, "destination", attempt.To.Name,
			"result", o.Result, "wait", o.RetryAfter, "over", o.Final,
			"share", o.Share, "limit", o.Limit)
		if m != nil && m.attempt == attempt {
			m.attempt = nil
		}
		core.moduleEvents = append(core.moduleEvents, control.Event{Kind: control.Resolved, ID: item.ref, Attempt: item.attempt,
			Endpoint: attempt.To.number, Result: o.Result, Final: o.Final, RetryAfter: o.RetryAfter,
			Reported: o.Reported, Remaining: o.Share, Limit: o.Limit})
		core.applyOutcome(m, o, now)
	}
}

// applyOutcome journals the outcome of a message's attempt; m is nil if the message has already ended.
func (c *Core) applyOutcome(m *message, o Outcome, now time.Time) {
	switch {
	case m == nil || m.entry.NoticePending: // a late outcome: the message has already ended
	case o.Result == control.Delivered && m.front.Front.NotifiesDeliveries():
		c.addOutstanding(m, journal.Notice{Delivered: true})
		c.journal.EndWithNotice(m.entry, m.entry.Notice)
		c.notifyEnd(m, endDelivered)
	case o.Result == control.Delivered || o.Final:
		c.journal.End(m.entry)
		c.remember(m, Accepted, now)
		c.finish(m, endDelivered)
	default:
		c.journal.EndAttempt(m.entry, o.Result.NeverRan())
	}
}

// inFlightNumbers returns the numbers of the attempts in flight, in ascending order.
func (c *Core) inFlightNumbers() []uint64 {
	return slices.Sorted(maps.Keys(c.inFlight))
}
