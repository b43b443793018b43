package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/journal"
)

// watchedFront is a front whose watches the test reports for, each for itself.
type watchedFront struct {
	*fakeFront
	changes chan func(EndpointList) // the callback of each watch that was started
}

func (w watchedFront) Watch(ctx context.Context, after int64, changed func(EndpointList)) error {
	w.changes <- changed
	return w.fakeFront.Watch(ctx, after, changed)
}

// TestWatch_SupersededWatchReportsLate_UndoesNothing: a watch that was superseded still has a list on its way when the next one has spoken. Complete list or not, it must undo nothing;
// before the next one has reported it counts, since the relay must follow what it has heard.
func TestWatch_SupersededWatchReportsLate_UndoesNothing(t *testing.T) {
	list := func(index int64, complete bool, state control.State) EndpointList {
		return EndpointList{Index: index, Complete: complete, Destinations: []Destination{{Name: "s-2", Zone: "a", Kind: "club-sites", Partner: 8, State: state}}}
	}
	for _, test := range []struct {
		name          string
		before, after []EndpointList // what the old watch says before the new one speaks, and after that
		want          control.State
	}{
		{"an older complete list", nil, []EndpointList{list(42, true, control.Ready)}, control.Draining},
		{"an older change", nil, []EndpointList{list(42, false, control.Ready)}, control.Draining},
		{"a later one, of a discovery that was left", nil, []EndpointList{list(99, false, control.Ready)}, control.Draining},
		{"a change before the new watch speaks", []EndpointList{list(44, false, control.Ready), list(45, false, control.Draining)}, nil, control.Draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			front := watchedFront{nil, make(chan func(EndpointList), 9)}
			relay := newHarness(t, t.TempDir(), time.Now(), func(core *Core) {
				f := core.frontsInOrder[0]
				front.fakeFront = f.Front.(*fakeFront)
				f.Front = front
			})
			old := <-front.changes
			relay.turnAfter(0, moved{"platform"})
			next := <-front.changes
			report := func(to func(EndpointList), all []EndpointList) {
				for _, p := range all {
					to(p)
					relay.turnAfter(0, relay.core.drainQueue(nil)...)
				}
			}
			report(old, test.before)
			if len(test.after) > 0 {
				report(next, []EndpointList{list(43, false, control.Draining)})
			}
			report(old, test.after)
			f := relay.core.frontsInOrder[0]
			if got := relay.core.destinations[f.listed["s-2"]].State; got != test.want {
				t.Errorf("s-2 is in state %v, want %v", got, test.want)
			}
			if report(next, []EndpointList{list(46, false, control.Removed)}); relay.core.destinations[f.listed["s-2"]].State != control.Removed {
				t.Error("reports of the new watch are ignored")
			}
		})
	}
}

// TestWatch_Lost_ReopenedByItsCause: when a watch that has ended is opened again depends on what ended it, and on nothing that the module must be asked for
// where what the relay misses soon counts as known.
func TestWatch_Lost_ReopenedByItsCause(t *testing.T) {
	broke := errors.New("reset")
	for _, test := range []struct {
		name          string
		mustSubscribe bool
		up            bool // it had reported a list
		err           error
		want          time.Duration // below 0: the module is asked
	}{
		{"asked for, silent", true, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"pushed, silent", false, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"asked for, broken", true, true, broke, -1},
		{"asked for, never up", true, false, broke, -1},
		{"pushed, broken", false, true, broke, 0},
		{"pushed, never up", false, false, broke, 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := newHarness(t, t.TempDir(), time.Now())
			<-relay.front.watches
			relay.core.settings.MustSubscribe, relay.core.settings.Peers, relay.core.settings.Index = test.mustSubscribe, 4, 1
			relay.core.limits.WatchSpread, relay.core.limits.WatchRetry = 800*time.Millisecond, 50*time.Millisecond
			f := relay.core.frontsInOrder[0]
			if test.up {
				relay.turnAfter(0, listChanged{f, f.lastWatch, EndpointList{Index: 43}})
			}
			watchEnded{f, f.lastWatch, test.err}.apply(relay.core, relay.now)
			asked := len(relay.core.moduleEvents) == 1 && relay.core.moduleEvents[0].Kind == control.ListFailed
			if got := relay.core.watchAt.Sub(relay.now); asked != (test.want < 0) || !asked && got != test.want {
				t.Errorf("opened again after %v, the module is asked %v", got, asked)
			}
		})
	}
}

// TestRestore_ClockSetBack_NarrowerTimesCount: the clock was set back while the relay was down. Times in the journal that lie in what is now the future count on the
// narrower side.
func TestRestore_ClockSetBack_NarrowerTimesCount(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	log, err := journal.Open(dir, 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	for i, id := range []string{"keyed", "safe", "of a class that is gone"} {
		e := &journal.Entry{ID: id, Front: "platform", Destination: 7 + i%2, Class: i + i/2*7, Deadline: now.Add(16 * time.Second)}
		_ = log.Accept(e)
		_ = log.Flush()
		if id == "keyed" {
			log.Schedule(e, now, "s-1")
			log.Begin([]*journal.Entry{e})
			log.EndAttempt(e, false)
		}
	}
	_ = log.Close()
	relay := newHarness(t, dir, now.Add(-time.Hour))
	// The keyed one may be handed back: its partner's endpoints all know its key, whatever the time is.
	if n := <-relay.front.notices; len(n) != 2 || n[0].ID != "of a class that is gone" || n[0].HandedBack || n[1].ID != "keyed" {
		t.Errorf("notices %+v", n)
	}
	step := <-relay.front.attempts
	if step.Items[0].ID != "safe" || len(relay.front.attempts) != 0 {
		t.Errorf("%q goes out, and %d more: want the safe one alone", step.Items[0].ID, len(relay.front.attempts))
	}
	for _, m := range relay.core.messages {
		if k := &relay.core.settings.Classes[min(m.entry.Class, 1)]; m.entry.Deadline.After(relay.now.Add(k.Deadline)) && !m.entry.NoticePending {
			t.Errorf("%s has time until %v, more than its class gives", m.entry.ID, m.entry.Deadline)
		}
	}
}

// TestSubmit_IDEndedWithNotice_RepeatsThatEnd: a duplicate of a message that has ended with a notice is answered with that end, before the notice was
// accepted and after: its client may never have heard that the message was accepted, and would wait for another end.
func TestSubmit_IDEndedWithNotice_RepeatsThatEnd(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.core.limits.EndedRetention, relay.core.limits.MaxEnded = 5*time.Second, 9
	a, first := relay.arrival("m", 0, 8, 10*time.Second)
	relay.turnAfter(0, a)
	<-first
	<-relay.front.attempts
	relay.answer(Outcome{Result: control.Rejected})
	for _, taken := range []bool{false, true} {
		if taken {
			relay.front.accepts <- true
			relay.turnAfter(5*time.Millisecond, <-relay.core.queue)
		}
		b, second := relay.arrival("m", 0, 8, 10*time.Second)
		relay.turnAfter(5*time.Millisecond, b)
		if got := <-second; got.Verdict != Failed || len(relay.front.attempts) != 0 {
			t.Errorf("given up, notice taken %v: the same id is answered %+v", taken, got)
		}
	}
}

// TestSubmit_IDEndedLately_IsNoNewMessage: an id that comes again right after its message has ended is no new message, whatever the end was; after a while it is.
func TestSubmit_IDEndedLately_IsNoNewMessage(t *testing.T) {
	for _, outcome := range []Outcome{{Result: control.Delivered}, {Result: control.NotProcessed, Final: true}} {
		relay := newHarness(t, t.TempDir(), time.Now())
		relay.core.limits.EndedRetention, relay.core.limits.MaxEnded = 5*time.Second, 2
		a, first := relay.arrival("m", 0, 8, 10*time.Second)
		relay.turnAfter(0, a)
		<-first
		<-relay.front.attempts
		relay.answer(outcome)
		resubmit := func(after time.Duration) bool {
			b, second := relay.arrival("m", 0, 8, 10*time.Second)
			b.submittedAt = relay.now.Add(after)
			relay.turnAfter(after, b)
			return (<-second).Verdict == Accepted && len(relay.core.messages) == 0
		}
		if !resubmit(time.Second) || len(relay.front.attempts) != 0 {
			t.Errorf("after %v the same id is a new message", outcome)
		}
		relay.core.remember(&message{front: relay.core.frontsInOrder[0], entry: &journal.Entry{ID: "other"}}, Accepted, relay.now.Add(6*time.Second))
		if resubmit(time.Second) {
			t.Error("ids are remembered forever")
		}
		if n := len(relay.core.endings.oldestFirst); n != 1 || len(relay.core.endings.verdicts) != 1 {
			t.Errorf("%d ids are remembered", n)
		}
	}
}
