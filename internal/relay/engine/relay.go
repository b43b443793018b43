// Package engine is the core: it owns the decision module, the messages, their attempts and the notices owed.
// It knows no wire. Fronts hand it messages and make its calls; they reach it by one queue only.
package engine

import (
	"bytes"
	"context"
	"errors"
	"net/textproto"
	"sync/atomic"
	"time"

	"mastusher/control"
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

// Destination is one endpoint of a partner.
type Destination struct {
	Name, Address string
	Zone, Kind    string
	Partner       int
	State         control.State
	Weight        float64 // as the list tells it; the settings say what it means

	front     *frontState
	number    uint32    // the module's id of it
	removedAt time.Time // when it left the list; zero: it is on it
}

// EndpointList is a list of destinations: the whole of one front's, or what has changed.
type EndpointList struct {
	Index        int64
	Complete     bool
	Destinations []Destination
}

// Item is one message of an attempt.
type Item struct {
	ID, Key string
	Class   int
	Body    []byte
	Headers []string // that go out with it, fixed when it was taken on

	ref     uint64
	attempt int
}

// Attempt is a call to an endpoint that carries one message or several.
type Attempt struct {
	To            Destination
	Items         []Item
	Timeout       time.Duration // how long the relay waits for it in all
	WriteBefore   time.Time     // nothing of it may be written from then on; zero: no bound
	PolicyVersion uint64        // version of the policy that it tells its destination; 0: it tells none

	number      uint64
	scheduledAt time.Time     // when it was decided
	startAfter  time.Time     // it waits until then, since others to its partner go first; zero: it does not
	sampleBytes int           // bytes of the answer that an inspector wants to see; below 0: it wants none of it
	sampled     *AnswerSample // what it is shown

	cancel   func()
	begin    func() bool  // writes to the journal that it begins; false: it must not
	progress atomic.Int32 // 1: its first byte may have been written; 2: it was called back before that
}

// AnswerSample is a destination's answer as an inspector is shown it.
type AnswerSample struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte // the first bytes
}

// ObserveAnswer is told of each answer by the front that makes the call; it keeps what an inspector wants of it.
func (s *Attempt) ObserveAnswer(status int, header textproto.MIMEHeader, body []byte) {
	if s.sampleBytes >= 0 {
		s.sampled = &AnswerSample{status, header, bytes.Clone(body[:min(len(body), s.sampleBytes)])}
	}
}

// SampledAnswer is the sampled answer to the attempt; nil: there was none, or nobody wants to see it.
func (s *Attempt) SampledAnswer() *AnswerSample { return s.sampled }

// MayWrite is asked right before the step's first byte goes out, and promises that it does unless it is false.
func (s *Attempt) MayWrite() bool { return s.MayWriteAt(time.Now()) }

// MayWriteAt is MayWrite on a clock of one's own. An attempt is in the journal from here on and not before: what a kill finds
// waiting for its connection is tried again after the restart, whatever its class.
func (s *Attempt) MayWriteAt(now time.Time) bool {
	return (s.WriteBefore.IsZero() || now.Before(s.WriteBefore)) && s.progress.CompareAndSwap(0, 1) && (s.begin == nil || s.begin())
}

// recall ends the step if nothing of it has been written.
func (s *Attempt) recall() {
	if s.progress.CompareAndSwap(0, 2) {
		s.cancel()
	}
}

// Outcome is how an attempt ended for one of its items.
type Outcome struct {
	Result     control.Result
	RetryAfter time.Duration // told with Full
	Final      bool          // the message is over: nothing more is owed
	Reported   bool          // Share and Limit were reported
	Share      float64
	Limit      float64
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

// Front is one wire. Its methods may block; the core calls each in a goroutine of its own, but for CloseIdle.
type Front interface {
	// Call makes an attempt and returns an outcome for each item. It writes nothing unless MayWrite, asked right before the first
	// byte, lets it. When it returns no copy is still out.
	Call(ctx context.Context, step *Attempt) []Outcome
	// Notify passes on final answers and tells which of them were taken.
	Notify(ctx context.Context, notices []Notice) []bool
	// CloseIdle closes the idle connections to a destination, or all that are too old if it is nil.
	CloseIdle(to *Destination)
	// Watch reports what has changed in the endpoint list since the index after, until it is lost or ctx ends; a
	// front without one returns nil.
	Watch(ctx context.Context, after int64, changed func(EndpointList)) error
	// NotifiesDeliveries is true if its clients are owed a notice of a delivery too.
	NotifiesDeliveries() bool
}

// ErrWatchTimeout is what Watch returns of a watch that came up and then said nothing for too long: its connection is dead, and discovery
// may well be there.
var ErrWatchTimeout = errors.New("the watch has fallen silent")

// Inspector shapes messages on arrival, sees answers and is told of ends. Nothing of it runs between a decision and
// its first byte.
type Inspector interface {
	// OnArrival rules on a message that is not taken on yet, and may set its ExtraHeaders and replace its Body. It runs on the
	// front's goroutine and must not block for long.
	OnArrival(front string, m *Message) Ruling
	// SampleBytes is how many bytes of the answers to such messages OnAnswer wants to see; below 0: it need not be called.
	SampleBytes(front string, partner, class int) int
	// OnAnswer sees the answer to a step and may make its outcomes more careful. It runs on the step's goroutine.
	OnAnswer(front string, step *Attempt, outs []Outcome)
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

// NewAttempt returns a step to show to an inspector that wants sample bytes of its answer, for tools and tests.
func NewAttempt(to Destination, sample int, items ...Item) *Attempt {
	return &Attempt{To: to, Items: items, sampleBytes: sample}
}
