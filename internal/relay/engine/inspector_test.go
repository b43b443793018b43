package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
)

// inspector is an Inspector whose behaviour the test sets.
type inspector struct {
	arrive   func(m *Message) Ruling
	sample   int
	answered func(step *Attempt, outs []Outcome)
	ends     []End
}

func (i *inspector) OnArrival(_ string, m *Message) Ruling         { return i.arrive(m) }
func (i *inspector) SampleBytes(string, int, int) int              { return i.sample }
func (i *inspector) OnAnswer(_ string, s *Attempt, outs []Outcome) { i.answered(s, outs) }
func (i *inspector) OnEnd(_ string, e End)                         { i.ends = append(i.ends, e) }

// TestInspector_MessageResubmitted_FirstRulingStands: a pending message stays as it was first accepted, whatever the ruling on a duplicate;
// a rejected message may be submitted again.
func TestInspector_MessageResubmitted_FirstRulingStands(t *testing.T) {
	no, busy := Ruling{Verdict: Rejected, Status: 451, Reason: "no"}, Ruling{Verdict: Busy}
	for name, test := range map[string]struct {
		rulings []Ruling
		want    []Verdict
		pending int
	}{
		"accepted, then rejected": {[]Ruling{{}, no}, []Verdict{Accepted, Accepted}, 1},
		"accepted, then busy":     {[]Ruling{{}, busy}, []Verdict{Accepted, Accepted}, 1},
		"rejected, then accepted": {[]Ruling{no, {}}, []Verdict{Rejected, Accepted}, 1},
		"rejected":                {[]Ruling{no, no}, []Verdict{Rejected, Rejected}, 0},
		"busy":                    {[]Ruling{busy}, []Verdict{Busy}, 0},
	} {
		for _, apart := range []time.Duration{0, 5 * time.Millisecond} { // in one turn, and in two
			t.Run(name, func(t *testing.T) {
				relay := newHarness(t, t.TempDir(), time.Now())
				var replies []chan Reply
				var both []event
				for i, ruling := range test.rulings {
					a, reply := relay.arrival("m", 1, 7, 20*time.Second)
					a.ruling, a.msg.ExtraHeaders = ruling, []string{"X-Turn", string(rune('0' + i))}
					replies = append(replies, reply)
					if both = append(both, a); apart > 0 {
						relay.turnAfter(apart, a)
					}
				}
				if apart == 0 {
					relay.turnAfter(0, both...)
				}
				for i, reply := range replies {
					got := <-reply
					if got.Verdict != test.want[i] || got.Verdict == Rejected && (got.Status != 451 || got.Reason != "no") {
						t.Errorf("submission %d: %+v, want %v", i, got, test.want[i])
					}
				}
				if len(relay.core.messages) != test.pending {
					t.Errorf("wrong number of pending messages: %d", len(relay.core.messages))
				}
				if test.pending > 0 && test.rulings[0].Verdict == Accepted {
					if d := cmp.Diff([]string{"X-Turn", "0"}, (<-relay.front.attempts).Items[0].Headers); d != "" {
						t.Errorf("headers of the sent message are not those of the first submission: %s", d)
					}
				}
			})
		}
	}
}

// TestInspector_ShapedMessage_OutlastsKill: the journal has a message as the inspector has changed it; after a kill the inspector is not
// called again.
func TestInspector_ShapedMessage_OutlastsKill(t *testing.T) {
	dir := t.TempDir()
	relay := newHarness(t, dir, time.Now())
	a, _ := relay.arrival("m", 1, 7, 20*time.Second)
	a.msg.ExtraHeaders, a.msg.Body = []string{"X-Desk", "sports", "X-Empty", ""}, []byte("rewritten")
	relay.turnAfter(0, a)
	first := (<-relay.front.attempts).Items[0]
	restarted := newHarness(t, dir, relay.now.Add(time.Second))
	restarted.core.SetInspector(&inspector{arrive: func(*Message) Ruling { t.Error("called after the restart"); return Ruling{} }, sample: -1})
	second := (<-restarted.front.attempts).Items[0]
	if d := cmp.Diff([]any{first.Headers, string(first.Body), first.Key}, []any{second.Headers, string(second.Body), second.Key}); d != "" {
		t.Errorf("(-before +after the restart)\n%s", d)
	}
	if len(first.Headers) != 4 {
		t.Errorf("sent with headers %q, want both of the inspector's", first.Headers)
	}
}

// TestInspector_Answer_SeenBeforeModule: the module gets outcomes as the inspector has changed them, and the end of a message is reported
// once.
func TestInspector_Answer_SeenBeforeModule(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	i := &inspector{sample: 5, answered: func(s *Attempt, outs []Outcome) {
		if d := cmp.Diff(&AnswerSample{503, map[string][]string{"X-Why": {"shut"}}, []byte("maint")}, s.SampledAnswer()); d != "" {
			t.Error(d)
		}
		outs[0].Result = control.Rejected
	}}
	relay.core.SetInspector(i)
	relay.front.respond = func(s *Attempt) []Outcome {
		s.ObserveAnswer(503, map[string][]string{"X-Why": {"shut"}}, []byte("maintenance"))
		return []Outcome{{Result: control.Throttled}}
	}
	a, _ := relay.arrival("m", 1, 8, 20*time.Second)
	relay.turnAfter(0, a)
	relay.turnAfter(5*time.Millisecond, <-relay.core.queue)
	if n := <-relay.front.notices; len(n) != 1 || n[0].HandedBack {
		t.Errorf("notices %+v, want that it was given up", n)
	}
	if d := cmp.Diff([]End{{"m", "k", 8, 1, "given_up"}}, i.ends); d != "" {
		t.Error(d)
	}
}
