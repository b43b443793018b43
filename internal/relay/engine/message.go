package engine

import (
	"net/textproto"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// Message is a message that a front submits. The core copies Body: the caller may reuse it once Submit returns.
type Message struct {
	ID           string // unique in its front; while a message is pending or has ended recently, another with its id is a duplicate
	Key          string // by which the partner recognizes a retry
	Class        int    // index into the settings' classes
	Partner      int    // number of the partner system that receives it
	Tenant       int    // index into the settings' tenants; below 0 if it belongs to none
	Deadline     time.Time
	Resubmitted  bool // the client has submitted it before
	Body         []byte
	Header       textproto.MIMEHeader // of the client's request; only for an inspector
	ExtraHeaders []string             // headers to send with it, names and values alternating; set by an inspector
	MayHaveRunAt time.Time            // start of an attempt before a hand-back that may have run; zero if none
}

// Verdict is the kind of answer to a submitted message.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // the message is in the journal, and has exactly one end even if the process is killed
	Busy                    // refused; the message may be submitted again after RetryAfter
	Failed                  // given up for good
	Rejected                // rejected by an inspector; see Reason
)

// Reply is the answer to a submitted message.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration // with Busy
	Status     int           // with Rejected; see Ruling.Status
	Reason     string        // why the message was rejected; only with Rejected

	ref    uint64 // number of the message that this submission has added; 0 if it added none
	halted bool   // refused only because the relay is halted for a change of policy
}

// Notice tells a front's client how an accepted message has ended.
type Notice struct {
	ID           string
	Delivered    bool          // only if Front.NotifiesDeliveries
	HandedBack   bool          // it may be submitted again after RetryAfter; if neither Delivered nor HandedBack is set, it was given up
	RetryAfter   time.Duration // with HandedBack
	Class        int
	Deadline     time.Time
	Body         []byte
	MayHaveRunAt time.Time // start of the first attempt that may have run; zero if none

	ref uint64
}

// message is a message that is being decided on, is pending, or has ended and has an outstanding notice.
type message struct {
	ref        uint64 // its number in this process; never reused
	submission uint64 // its number among the submissions; 0 if it was resumed from the journal
	front      *frontState
	entry      *journal.Entry // shared by the core and the journal; see Journal
	reply      chan Reply     // nil once the submission is answered
	refusal    *Reply         // the answer, if the message is not accepted
	attempt    *Attempt       // in flight or waiting for a lease; nil if none
}

// notice returns the notice of a message that has ended.
func (m *message) notice() Notice {
	n := Notice{ID: m.entry.ID, Delivered: m.entry.Notice.Delivered, HandedBack: m.entry.Notice.HandedBack, RetryAfter: m.entry.Notice.RetryAfter,
		Class: m.entry.Class, Deadline: m.entry.Deadline, Body: m.entry.Body, ref: m.ref}
	if m.entry.MayHaveRun {
		n.MayHaveRunAt = m.entry.MayHaveRunAt
	}
	return n
}

// add registers a message under a new number, and under its front and id.
func (c *Core) add(f *frontState, e *journal.Entry) *message {
	c.lastRef++
	m := &message{ref: c.lastRef, front: f, entry: e}
	c.messages[m.ref], c.messagesByID[f.name+" "+e.ID] = m, m
	if c.recorder != nil {
		c.recorder.Message(capture.Message{Ref: m.ref, Front: f.name, ID: e.ID})
	}
	return m
}

// drop forgets a message. If its id meanwhile belongs to another message, that one stays.
func (c *Core) drop(m *message) {
	delete(c.messages, m.ref)
	if k := m.front.name + " " + m.entry.ID; c.messagesByID[k] == m {
		delete(c.messagesByID, k)
	}
}

// arrivedEvent returns the module's Arrived event for a message.
func (c *Core) arrivedEvent(m *message) control.Event {
	ev := control.Event{Kind: control.Arrived, ID: m.ref, Destination: m.front.number<<20 + m.entry.Destination,
		Class: m.entry.Class, Tenant: m.entry.Tenant, Deadline: c.moduleTime(m.entry.Deadline), Resubmitted: m.entry.Resubmitted,
		Attempt: m.entry.Attempts, MayHaveRun: m.entry.MayHaveRun}
	if ev.MayHaveRun {
		ev.RanAt, ev.Endpoint = c.moduleTime(m.entry.MayHaveRunAt), c.destinationNumber(m.front, m.entry.MayHaveRunOn)
	}
	return ev
}

// finish forgets a message that has ended without a notice.
func (c *Core) finish(m *message, result string) {
	c.recordFinish(m)
	c.drop(m)
	c.notifyEnd(m, result)
}

// end ends a message as the module has decided: a refusal hands it back, a failure gives it up.
func (c *Core) end(m *message, a control.Action) {
	if m.reply != nil { // still in the turn of its arrival: the submission itself is refused, so no notice is needed
		if m.refusal = (&Reply{Verdict: Failed}); a.Kind == control.Refuse {
			m.refusal = &Reply{Verdict: Busy, RetryAfter: a.Duration}
		}
		return
	}
	n := journal.Notice{HandedBack: a.Kind == control.Refuse, RetryAfter: a.Duration}
	c.addOutstanding(m, n)
	c.journal.EndWithNotice(m.entry, n)
	if n.HandedBack {
		c.notifyEnd(m, endHandedBack)
	} else {
		c.notifyEnd(m, endGivenUp)
	}
}
