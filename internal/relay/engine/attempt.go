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
	Headers []string // that go out with it, names and values alternating, fixed when it was accepted

	ref     uint64
	attempt int // number of the message's attempt, from 0
}

// Attempt is a call to an endpoint that carries one message or several. The core builds it and doesn't change its exported fields once the
// shell's Call has it.
type Attempt struct {
	To            Destination
	Items         []Item
	Timeout       time.Duration // how long the relay waits for it in all, from the decision on
	WriteBefore   time.Time     // nothing of it may be written from then on; zero: no bound
	PolicyVersion uint64        // version of the policy that the call carries; 0: it carries none

	number      uint64
	scheduledAt time.Time     // when it was decided
	startAfter  time.Time     // it waits until then, since others to its partner go first; zero: it does not
	sampleBytes int           // bytes of the answer that an inspector wants to see; below 0: it wants none of it
	sampled     *AnswerSample // what it is shown; nil: nothing. Belongs to the attempt's goroutine

	cancel   func()       // of the shell's Call
	begin    func() bool  // writes to the journal that it begins; false: it must not. Called by the attempt's goroutine
	progress atomic.Int32 // attemptPending, attemptStarted or attemptRecalled; the front's goroutine and the core's race for it
}

// The values of Attempt.progress. It leaves attemptPending once only.
const (
	attemptPending  int32 = iota // nothing of it has been written
	attemptStarted               // its first byte may have been written
	attemptRecalled              // it was called back before that
)

// NewAttempt returns an attempt to show to an inspector that wants sample bytes of its answer, for tools and tests.
func NewAttempt(to Destination, sample int, items ...Item) *Attempt {
	return &Attempt{To: to, Items: items, sampleBytes: sample}
}

// MayWrite is asked by the attempt's goroutine right before the first byte goes out. True allows that byte, once, and has the journal
// hold by then that the attempt began; false, because the attempt was recalled or its time is over, forbids to write anything.
func (a *Attempt) MayWrite() bool { return a.MayWriteAt(time.Now()) }

// MayWriteAt is MayWrite at the time now, for callers with a clock of their own. An attempt is in the journal from here on and not before:
// what a kill finds waiting for its connection is retried after the restart, whatever its class.
func (a *Attempt) MayWriteAt(now time.Time) bool {
	inTime := a.WriteBefore.IsZero() || now.Before(a.WriteBefore)
	return inTime && a.progress.CompareAndSwap(attemptPending, attemptStarted) && (a.begin == nil || a.begin())
}

// recall ends the attempt if nothing of it has been written; otherwise it does nothing.
func (a *Attempt) recall() {
	if a.progress.CompareAndSwap(attemptPending, attemptRecalled) {
		a.cancel()
	}
}

// Outcome is how an attempt ended for one of its items.
type Outcome struct {
	Result     control.Result
	RetryAfter time.Duration // with control.Throttled: before which the destination takes nothing
	Final      bool          // the message has ended, without a notice
	Reported   bool          // the destination has reported Share and Limit
	Share      float64       // of Limit that is unused, 0 to 1
	Limit      float64       // the destination's rate limit
}

// joins reports whether m fits into the call of attempt: as in the module, sends of one turn to one destination share a call. A call must
// also fit into one body, in Base64, and has one set of headers.
func (c *Core) joins(attempt *Attempt, m *message) bool {
	perCall := 1
	if kind := slices.Index(c.settings.KindNames, attempt.To.Kind); kind >= 0 && kind < len(c.settings.Kinds) {
		perCall = c.settings.Kinds[kind].PerCall
	}
	size := 0
	for _, item := range append(attempt.Items, Item{ID: m.entry.ID, Key: m.entry.Key, Body: m.entry.Body}) {
		size += 64 + 6*(len(item.ID)+len(item.Key)) + len(item.Body)*4/3
	}
	return len(attempt.Items) < perCall && size <= c.limits.BodySize && slices.Equal(attempt.Items[0].Headers, m.entry.Headers)
}

// call has the shell make an attempt. Its outcomes come back by the queue.
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
		if attempt.sampled != nil { // an answer that came complete
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

// attemptEnded is what the shell reports of an attempt: an outcome for each of its items.
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
		core.takeOutcome(m, o, now)
	}
}

// takeOutcome journals the outcome of a message's attempt; m is nil where the message has ended meanwhile.
func (c *Core) takeOutcome(m *message, o Outcome, now time.Time) {
	switch {
	case m == nil || m.entry.NoticePending: // ended before
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

// inFlightNumbers are the numbers of the attempts in flight, in ascending order.
func (c *Core) inFlightNumbers() []uint64 {
	return slices.Sorted(maps.Keys(c.inFlight))
}
