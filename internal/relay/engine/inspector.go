package engine

import (
	"bytes"
	"net/textproto"
)

// Inspector shapes messages on arrival, sees answers and is notified of ends. None of its methods runs between a decision and its first byte;
// they are called from several goroutines at once.
type Inspector interface {
	// OnArrival rules on a message that is not accepted yet, and may set its ExtraHeaders and replace its Body. It runs on the
	// front's goroutine and must not block for long.
	OnArrival(front string, m *Message) Ruling
	// SampleBytes is how many bytes of the body of the answers to such messages OnAnswer wants to see; below 0: it need not be called. The
	// core's goroutine calls it, and it must not block.
	SampleBytes(front string, partner, class int) int
	// OnAnswer sees the answer to an attempt and may make its outcomes more careful, in place. It runs on the attempt's goroutine.
	OnAnswer(front string, attempt *Attempt, outcomes []Outcome)
	// OnEnd is called with each end by the core's goroutine, and must not block.
	OnEnd(front string, e End)
}

// Ruling is what an inspector decides on a message: with Verdict Accepted, that it may be accepted.
type Ruling struct {
	Verdict Verdict
	Status  int    // with Rejected: the HTTP status that the client gets, 4xx; 0: 422
	Reason  string // with Rejected: the text that the client gets
}

// End is how an accepted message ended.
type End struct {
	ID, Key        string
	Partner, Class int
	Result         string // delivered, handed_back, given_up or withdrawn
}

// AnswerSample is a destination's answer as an inspector is shown it.
type AnswerSample struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte // its first bytes, Inspector.SampleBytes at most
}

// ObserveAnswer is called by the front with each complete answer, on the attempt's goroutine before Call returns; it keeps a copy of what an
// inspector wants of it.
func (a *Attempt) ObserveAnswer(status int, header textproto.MIMEHeader, body []byte) {
	if a.sampleBytes >= 0 {
		a.sampled = &AnswerSample{status, header, bytes.Clone(body[:min(len(body), a.sampleBytes)])}
	}
}

// SampledAnswer returns the sampled answer to the attempt; nil: there was none, or no inspector wants to see it.
func (a *Attempt) SampledAnswer() *AnswerSample { return a.sampled }
