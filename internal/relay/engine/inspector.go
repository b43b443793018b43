package engine

import (
	"bytes"
	"net/textproto"
)

// Inspector shapes messages on arrival, sees answers and is told of ends. Nothing of it runs between a decision and
// its first byte.
type Inspector interface {
	// OnArrival rules on a message that is not taken on yet, and may set its ExtraHeaders and replace its Body. It runs on the
	// front's goroutine and must not block for long.
	OnArrival(front string, m *Message) Ruling
	// SampleBytes is how many bytes of the answers to such messages OnAnswer wants to see; below 0: it need not be called.
	SampleBytes(front string, partner, class int) int
	// OnAnswer sees the answer to an attempt and may make its outcomes more careful. It runs on the attempt's goroutine.
	OnAnswer(front string, attempt *Attempt, outs []Outcome)
	// OnEnd is told of an end by the core's goroutine, and must not block.
	OnEnd(front string, e End)
}

// Ruling is what an inspector decides on a message: with Verdict Accepted, that it may be taken on.
type Ruling struct {
	Verdict Verdict
	Status  int // with Rejected: what the client is told, 4xx; 0: 422
	Reason  string
}

// End is how a message ended that was taken on.
type End struct {
	ID, Key        string
	Partner, Class int
	Result         string // delivered, handed_back, given_up or withdrawn
}

// AnswerSample is a destination's answer as an inspector is shown it.
type AnswerSample struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte // the first bytes
}

// ObserveAnswer is told of each answer by the front that makes the call; it keeps what an inspector wants of it.
func (a *Attempt) ObserveAnswer(status int, header textproto.MIMEHeader, body []byte) {
	if a.sampleBytes >= 0 {
		a.sampled = &AnswerSample{status, header, bytes.Clone(body[:min(len(body), a.sampleBytes)])}
	}
}

// SampledAnswer is the sampled answer to the attempt; nil: there was none, or nobody wants to see it.
func (a *Attempt) SampledAnswer() *AnswerSample { return a.sampled }
