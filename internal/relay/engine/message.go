package engine

import (
	"net/textproto"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Message is what a front hands in. Body need only hold until Submit returns.
type Message struct {
	ID, Key      string
	Class        int
	Partner      int // number of the partner system that it is for
	Tenant       int // whose it is, by its place in the settings; below 0: nobody's
	Deadline     time.Time
	Resubmitted  bool // handed in before
	Body         []byte
	Header       textproto.MIMEHeader // the client's; only for an inspector
	ExtraHeaders []string             // headers to go out with it, names and values in turn: an inspector sets them
	MayHaveRunAt time.Time            // when an attempt began that may have run, before it was handed back; zero: none
}

// Verdict is the immediate answer to a message handed in.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // the relay owes the message its end
	Busy                    // a refusal: handing it in again is harmless, after RetryAfter
	Failed                  // given up for good
	Rejected                // an inspector turned it down; see Reason
)

// Reply is the answer to a message handed in.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration
	Status     int // with Rejected
	Reason     string

	ref    uint64 // of the message that was taken on with this answer; 0: with an earlier one
	halted bool   // a change of policy is about to take hold
}

// Notice tells a front's clients how a message that was taken on has ended.
type Notice struct {
	ID           string
	Delivered    bool // only for fronts that are told of deliveries
	HandedBack   bool // may be handed in again, after RetryAfter; otherwise it was given up
	RetryAfter   time.Duration
	Class        int
	Deadline     time.Time
	Body         []byte
	MayHaveRunAt time.Time // when the first attempt began that may have run; zero: none

	ref uint64
}

// message is one that the relay has taken on and that has not ended, or whose notice is outstanding.
type message struct {
	ref        uint64
	submission uint64 // its number among those handed in; 0: it was there at the start
	front      *frontState
	entry      *journal.Entry
	reply      chan Reply // nil once it is answered
	refusal    *Reply     // the answer, if the module ended it in the turn of its arrival
	attempt    *Attempt   // out now
}

// notice is the notice of a message that has ended.
func (m *message) notice() Notice {
	n := Notice{ID: m.entry.ID, Delivered: m.entry.Notice.Delivered, HandedBack: m.entry.Notice.HandedBack, RetryAfter: m.entry.Notice.RetryAfter,
		Class: m.entry.Class, Deadline: m.entry.Deadline, Body: m.entry.Body, ref: m.ref}
	if m.entry.MayHaveRun {
		n.MayHaveRunAt = m.entry.MayHaveRunAt
	}
	return n
}

// add makes a message known under a number of its own and its front and id.
func (c *Core) add(f *frontState, e *journal.Entry) *message {
	c.lastRef++
	m := &message{ref: c.lastRef, front: f, entry: e}
	c.messages[m.ref], c.messagesByID[f.name+" "+e.ID] = m, m
	if c.recorder != nil {
		c.recorder.Message(capture.Message{Ref: m.ref, Front: f.name, ID: e.ID})
	}
	return m
}

// drop forgets a message. Another may have come under its id meanwhile: that one stays.
func (c *Core) drop(m *message) {
	delete(c.messages, m.ref)
	if k := m.front.name + " " + m.entry.ID; c.messagesByID[k] == m {
		delete(c.messagesByID, k)
	}
}

// arrival is a message as the module is told of it.
func (c *Core) arrival(m *message) control.Event {
	ev := control.Event{Kind: control.Arrived, ID: m.ref, Destination: m.front.number<<20 + m.entry.Destination,
		Class: m.entry.Class, Tenant: m.entry.Tenant, Deadline: c.clock(m.entry.Deadline), Resubmitted: m.entry.Resubmitted, Attempt: m.entry.Attempts, MayHaveRun: m.entry.MayHaveRun}
	if ev.MayHaveRun {
		ev.RanAt, ev.Endpoint = c.clock(m.entry.MayHaveRunAt), c.destinationNumber(m.front, m.entry.MayHaveRunOn)
	}
	return ev
}

// finish forgets a message that has ended and owes no notice.
func (c *Core) finish(m *message, result string) {
	c.recordFinish(m)
	c.drop(m)
	c.notifyEnd(m, result)
}

// end gives a message its one final answer.
func (c *Core) end(m *message, a control.Action) {
	if m.reply != nil { // in the turn of its arrival: a plain answer will do, and nothing is taken on
		if m.refusal = (&Reply{Verdict: Failed}); a.Kind == control.Refuse {
			m.refusal = &Reply{Verdict: Busy, RetryAfter: a.For}
		}
		return
	}
	n := journal.Notice{HandedBack: a.Kind == control.Refuse, RetryAfter: a.For}
	c.addOutstanding(m, n)
	c.journal.EndWithNotice(m.entry, n)
	if n.HandedBack {
		c.notifyEnd(m, "handed_back")
	} else {
		c.notifyEnd(m, "given_up")
	}
}
