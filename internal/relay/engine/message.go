package engine

import (
	"net/textproto"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Message is what a front submits. The core copies Body: it belongs to the caller again once Submit returns.
type Message struct {
	ID           string // unique in its front; a second message under it is a duplicate while the first is pending or has just ended
	Key          string // by which the partner recognizes a repeat
	Class        int    // index into the settings' classes
	Partner      int    // number of the partner system that it is for
	Tenant       int    // index into the settings' tenants; below 0: it belongs to none
	Deadline     time.Time
	Resubmitted  bool // the client has submitted it before
	Body         []byte
	Header       textproto.MIMEHeader // the client's; only for an inspector
	ExtraHeaders []string             // headers to go out with it, names and values alternating: an inspector sets them
	MayHaveRunAt time.Time            // when an attempt began that may have run, before the message was handed back; zero: none
}

// Verdict is the immediate answer to a submitted message.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // the message is in the journal: it comes to exactly one end, whatever happens to the process
	Busy                    // refused: it may be submitted again, after RetryAfter
	Failed                  // given up for good
	Rejected                // by an inspector; see Reason
)

// Reply is the answer to a submitted message.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration // with Busy
	Status     int           // with Rejected; see Ruling.Status
	Reason     string        // with Rejected

	ref    uint64 // of the message that was accepted with this answer; 0: with an earlier one
	halted bool   // refused only because a change of policy is about to take hold
}

// Notice is for a front's client: how a message that was accepted has ended.
type Notice struct {
	ID           string
	Delivered    bool          // only where Front.NotifiesDeliveries
	HandedBack   bool          // it may be submitted again, after RetryAfter; if neither Delivered nor HandedBack it was given up
	RetryAfter   time.Duration // with HandedBack
	Class        int
	Deadline     time.Time
	Body         []byte
	MayHaveRunAt time.Time // when the first attempt began that may have run; zero: none

	ref uint64
}

// message is one that the relay has accepted and that has not ended, or whose notice is outstanding.
type message struct {
	ref        uint64 // its number in this process; never given to another
	submission uint64 // its number among those submitted; 0: it was there at the start
	front      *frontState
	entry      *journal.Entry // owned by the core and the journal together; see Journal
	reply      chan Reply     // nil once it is answered
	refusal    *Reply         // the answer, if the module ended it in the turn of its arrival
	attempt    *Attempt       // in flight, or waiting for a lease; nil: none
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

// arrival is a message as the module's event.
func (c *Core) arrival(m *message) control.Event {
	ev := control.Event{Kind: control.Arrived, ID: m.ref, Destination: m.front.number<<20 + m.entry.Destination,
		Class: m.entry.Class, Tenant: m.entry.Tenant, Deadline: c.clock(m.entry.Deadline), Resubmitted: m.entry.Resubmitted,
		Attempt: m.entry.Attempts, MayHaveRun: m.entry.MayHaveRun}
	if ev.MayHaveRun {
		ev.RanAt, ev.Endpoint = c.clock(m.entry.MayHaveRunAt), c.destinationNumber(m.front, m.entry.MayHaveRunOn)
	}
	return ev
}

// finish forgets a message that has ended without a notice.
func (c *Core) finish(m *message, result string) {
	c.recordFinish(m)
	c.drop(m)
	c.notifyEnd(m, result)
}

// end gives a message the one end that the module has decided: a refusal hands it back, a failure gives it up.
func (c *Core) end(m *message, a control.Action) {
	if m.reply != nil { // in the turn of its arrival: it gets a plain answer, and is not accepted
		if m.refusal = (&Reply{Verdict: Failed}); a.Kind == control.Refuse {
			m.refusal = &Reply{Verdict: Busy, RetryAfter: a.For}
		}
		return
	}
	n := journal.Notice{HandedBack: a.Kind == control.Refuse, RetryAfter: a.For}
	c.addOutstanding(m, n)
	c.journal.EndWithNotice(m.entry, n)
	if n.HandedBack {
		c.notifyEnd(m, endHandedBack)
	} else {
		c.notifyEnd(m, endGivenUp)
	}
}
