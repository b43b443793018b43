package engine

import (
	"bytes"
	"net/textproto"
)

// Inspector may reject or change messages on arrival, sees destinations' answers, and is notified when messages end. Its methods are called
// from several goroutines at once; none of them delays an attempt between its decision and its first byte.
type Inspector interface {
	// OnArrival decides whether a message may be accepted, and may set its ExtraHeaders and replace its Body. It is called by the front's
	// goroutine and must not block for long.
	OnArrival(front string, m *Message) Ruling
	// SampleBytes returns how many bytes of an answer's body OnAnswer needs for messages of this front, partner and class; below 0 if
	// OnAnswer need not be called for them. It is called by the core's goroutine and must not block.
	SampleBytes(front string, partner, class int) int
	// OnAnswer sees the answer to an attempt and may change its outcomes, in place, to more cautious ones. It is called by the attempt's
	// goroutine.
	OnAnswer(front string, attempt *Attempt, outcomes []Outcome)
	// OnEnd is called with the end of each message by the core's goroutine, and must not block.
	OnEnd(front string, e End)
}

// Ruling is an inspector's decision on a message. With Verdict Accepted the core may accept the message.
type Ruling struct {
	Verdict Verdict
	Status  int    // with Rejected: the HTTP status of the answer, 4xx; 0 stands for 422
	Reason  string // with Rejected: the text of the answer
}

// End is how an accepted message ended.
type End struct {
	ID, Key        string
	Partner, Class int
	Result         string // delivered, handed_back, given_up or withdrawn
}

// AnswerSample is the part of a destination's answer that an inspector sees.
type AnswerSample struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte // its first bytes, Inspector.SampleBytes at most
}

// ObserveAnswer stores a copy of the part of an answer that the inspector wants to see. The front must call it with each complete answer,
// on the attempt's goroutine before Call returns.
func (a *Attempt) ObserveAnswer(status int, header textproto.MIMEHeader, body []byte) {
	if a.sampleBytes >= 0 {
		a.sampled = &AnswerSample{status, header, bytes.Clone(body[:min(len(body), a.sampleBytes)])}
	}
}

// SampledAnswer returns the part of the answer that ObserveAnswer stored, or nil if there was no answer or no inspector wants it.
func (a *Attempt) SampledAnswer() *AnswerSample { return a.sampled }
